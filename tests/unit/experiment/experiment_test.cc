#include <catch2/catch.hpp>
#include <sstream>

#include "sim/experiment/measures.h"

using namespace crankspur;
using namespace crankspur::experiment;
using namespace std::chrono_literals;

namespace {

RunOptions shortRun(const std::string& policy) {
  RunOptions options;
  options.site = *findSite("tallow_creek");
  options.policy = policy;
  options.length = 6s;
  options.warm_up = 2s;
  return options;
}

}  // namespace

TEST_CASE("a workload written to a file is read back unchanged", "[experiment]") {
  WorkloadOptions options;
  options.length = 5s;
  options.shift_at = 2s;
  const std::vector<Arrival> arrivals = generateWorkload(*findSite("parts_desk"), options);
  REQUIRE(arrivals.size() > 50);
  std::stringstream file;
  writeWorkload(file, arrivals);
  const auto read = readWorkload(file);
  REQUIRE(read);
  REQUIRE(read->size() == arrivals.size());
  for (std::size_t index = 0; index < arrivals.size(); ++index) {
    CHECK((*read)[index].at == arrivals[index].at);
    CHECK((*read)[index].tenant == arrivals[index].tenant);
    CHECK(promptText((*read)[index]) == promptText(arrivals[index]));
  }
}

TEST_CASE("a malformed workload file is refused", "[experiment]") {
  for (const char* text : {"12 0", "x 0 10 1:2", "5 0 10 1-2", "9 0 10 1:2\n5 0 10 1:2"}) {
    INFO(text);
    std::istringstream file(text);
    CHECK_FALSE(readWorkload(file));
  }
}

TEST_CASE("requests of a tenant do not depend on the rate of another", "[experiment]") {
  WorkloadOptions quiet;
  quiet.length = 5s;
  WorkloadOptions noisy = quiet;
  noisy.noisy_factor = 10;
  const auto promptsOf = [](const WorkloadOptions& options, std::uint32_t tenant) {
    std::vector<std::string> prompts;
    for (const Arrival& arrival : generateWorkload(*findSite("tallow_creek"), options)) {
      if (arrival.tenant == tenant) prompts.push_back(promptText(arrival));
    }
    return prompts;
  };
  CHECK(promptsOf(quiet, 5) == promptsOf(noisy, 5));
  CHECK(promptsOf(noisy, kNoisyTenant).size() > 4 * promptsOf(quiet, kNoisyTenant).size());
}

TEST_CASE("a run is reproducible from its seed, and the cost policy beats round robin", "[experiment]") {
  const RunOptions options = shortRun("cost");
  const Measures first = measure(options, run(options));
  const Measures second = measure(options, run(options));
  CHECK(first.p95_ms == second.p95_ms);
  CHECK(first.hit_rate == second.hit_rate);
  CHECK(first.refused_share == 0);
  const RunOptions round_robin_options = shortRun("round_robin");
  const Measures round_robin = measure(round_robin_options, run(round_robin_options));
  CHECK(first.reuse_rate > round_robin.reuse_rate);
  CHECK(first.wasted_per_request < round_robin.wasted_per_request);
}

TEST_CASE("quantiles use the nearest-rank method", "[experiment]") {
  CHECK(quantileOf({}, 0.5) == 0);
  CHECK(quantileOf({3, 1, 2}, 0.5) == 2);
  CHECK(quantileOf({4, 3, 2, 1}, 0.95) == 4);
}
