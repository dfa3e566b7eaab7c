#include "sim/check/command.h"

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <map>
#include <thread>

#include "sim/check/run.h"

ABSL_DECLARE_FLAG(std::uint64_t, first_seed);
ABSL_DECLARE_FLAG(std::uint32_t, seeds);
ABSL_DECLARE_FLAG(std::uint32_t, threads);
ABSL_FLAG(std::string, scenario, "", "check: scenario of all seeds; empty: selected by the seed");
ABSL_FLAG(std::string, without, "",
          "check: mechanism to disable, to verify that the checkers detect its absence");
ABSL_FLAG(bool, trace, false, "check: print the trace of each run");

namespace crankspur::sim {

namespace {

constexpr int kUsageError = 2;
/// Limits on the runs and violations that are printed; the others are only counted.
constexpr std::size_t kPrintedRuns = 20;
constexpr std::size_t kPrintedPerRun = 5;

int reportUsageError(const std::string& message) {
  fmt::print(stderr, "crankspur_sim check: {}\n", message);
  return kUsageError;
}

template <typename Names, typename Name>
std::string join(const Names& names, Name name) {
  std::string text;
  for (const auto& entry : names) text += (text.empty() ? "" : ", ") + std::string(name(entry));
  return text;
}

std::string mechanismList() {
  return join(mechanismNames(), [](const MechanismName& entry) { return entry.name; });
}

std::string scenarioList() {
  return join(scenarioNames(), [](const std::string& name) { return name; });
}

/// Runs all seeds on `thread_count` threads. @return results in the order of the seeds.
std::vector<RunResult> runAll(const RunOptions& common, std::uint64_t first, std::uint32_t count,
                              std::uint32_t thread_count) {
  std::vector<RunResult> results(count);
  std::atomic<std::uint32_t> next{0};
  const auto worker = [&] {
    for (std::uint32_t index = next++; index < count; index = next++) {
      RunOptions options = common;
      options.seed = first + index;
      results[index] = run(options);
    }
  };
  std::vector<std::thread> threads;
  for (std::uint32_t index = 1; index < thread_count; ++index) threads.emplace_back(worker);
  worker();
  for (std::thread& thread : threads) thread.join();
  return results;
}

void printRun(const RunResult& result) {
  fmt::print("seed {} scenario {} site {}: {} of {} requests answered, {} events, trace {:016x}\n",
             result.seed, result.scenario, result.site, result.answered, result.requests, result.events,
             result.trace_hash);
  for (const std::string& line : result.trace_lines) fmt::print("{}\n", line);
  for (std::size_t index = 0; index < std::min(result.violations.size(), kPrintedPerRun); ++index) {
    fmt::print("  violation of {}: {}\n", result.violations[index].checker, result.violations[index].what);
  }
}

int report(const std::vector<RunResult>& results, bool print_all) {
  std::size_t total = 0;
  std::size_t printed = 0;
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::map<std::string, std::size_t> by_checker;
  for (const RunResult& result : results) {
    total += result.violations.size();
    requests += result.requests;
    answered += result.answered;
    std::set<std::string> checkers;
    for (const Violation& violation : result.violations) checkers.insert(violation.checker);
    for (const std::string& checker : checkers) ++by_checker[checker];
    const bool print_violations = !result.violations.empty() && printed < kPrintedRuns;
    if (print_violations) ++printed;
    if (print_violations || print_all) printRun(result);
  }
  for (const auto& [checker, runs] : by_checker) fmt::print("runs that violate {}: {}\n", checker, runs);
  fmt::print("requests: {}, answered whole: {}\n", requests, answered);
  fmt::print("violations: {} in {} runs\n", total, results.size());
  return total > 0 ? 1 : 0;
}

}  // namespace

int runCheckCommand(const std::vector<std::string>& arguments) {
  if (!arguments.empty()) return reportUsageError("unexpected argument " + arguments.front());
  RunOptions options;
  options.scenario = absl::GetFlag(FLAGS_scenario);
  options.keep_trace_lines = absl::GetFlag(FLAGS_trace);
  const std::vector<std::string> scenarios = scenarioNames();
  const bool known = std::find(scenarios.begin(), scenarios.end(), options.scenario) != scenarios.end();
  if (!options.scenario.empty() && !known)
    return reportUsageError("--scenario takes one of " + scenarioList());
  const std::string without = absl::GetFlag(FLAGS_without);
  if (!without.empty()) {
    const auto mechanism = findMechanism(without);
    if (!mechanism) return reportUsageError("--without takes one of " + mechanismList());
    options.removed.insert(*mechanism);
  }
  const std::uint32_t seeds = absl::GetFlag(FLAGS_seeds);
  const std::uint32_t threads = absl::GetFlag(FLAGS_threads);
  if (seeds == 0 || threads == 0) return reportUsageError("--seeds and --threads must be above 0");
  return report(runAll(options, absl::GetFlag(FLAGS_first_seed), seeds, threads), options.keep_trace_lines);
}

}  // namespace crankspur::sim
