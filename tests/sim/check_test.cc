/// @file The simulation itself: a fixed set of seeds is clean, a seed replays exactly, and each checker is
/// able to fail when the mechanism it watches is taken away.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "sim/check/run.h"

using namespace crankspur::sim;

namespace {

RunResult runOne(std::uint64_t seed, const std::string& scenario, const RemovedMechanisms& removed = {}) {
  RunOptions options;
  options.seed = seed;
  options.scenario = scenario;
  options.removed = removed;
  return run(options);
}

std::string describe(const RunResult& result) {
  std::string text = result.scenario + " seed " + std::to_string(result.seed);
  for (const Violation& violation : result.violations)
    text += "\n" + violation.checker + ": " + violation.what;
  return text;
}

}  // namespace

TEST_CASE("a seed gives the same trace twice and another seed gives another", "[sim]") {
  const RunResult first = runOne(7, "pair");
  const RunResult again = runOne(7, "pair");
  const RunResult other = runOne(8, "pair");
  REQUIRE(first.requests > 0);
  CHECK(first.trace_hash == again.trace_hash);
  CHECK(first.events == again.events);
  CHECK(first.trace_hash != other.trace_hash);
}

TEST_CASE("keeping the trace's lines does not change the run", "[sim]") {
  RunOptions options;
  options.seed = 3;
  options.scenario = "router_restart";
  const RunResult without_lines = run(options);
  options.keep_trace_lines = true;
  const RunResult with_lines = run(options);
  CHECK(without_lines.trace_hash == with_lines.trace_hash);
  CHECK(without_lines.trace_lines.empty());
  CHECK_FALSE(with_lines.trace_lines.empty());
}

TEST_CASE("each scenario at today's sites is clean on a fixed seed", "[sim]") {
  for (const std::string& scenario : scenarioNames()) {
    if (scenario == "large") continue;
    const RunResult result = runOne(11, scenario);
    INFO(describe(result));
    CHECK(result.violations.empty());
    CHECK(result.answered > 0);
  }
}

TEST_CASE("a quiet fleet serves everything", "[sim]") {
  const RunResult result = runOne(21, "quiet");
  INFO(describe(result));
  CHECK(result.violations.empty());
}
