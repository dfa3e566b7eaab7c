/// @file Exhaustive check of claim groups: all interleavings of a few claimants, epoch changes and restarts
/// in a group of three, where each message is delivered at any later time or never.

#include <absl/container/flat_hash_set.h>

#include <catch2/catch.hpp>

#include "base/hash.h"
#include "sim/claim/claim_group_world.h"

using namespace crankspur;
using namespace crankspur::claim_model;

namespace {

struct Exploration {
  std::size_t states = 0;
  std::size_t states_with_one_run = 0;  ///< States in which the key's work ran once.
  bool ran_twice = false;
  bool complete = false;  ///< Every reachable state was visited.
};

/// Explores depth first until every state was visited, the work ran twice, or the limit is reached. Visited
/// states are identified by a 64-bit hash.
Exploration explore(const Scenario& scenario, std::size_t limit) {
  Exploration exploration;
  absl::flat_hash_set<std::uint64_t> seen;
  std::vector<World> open{initialWorld(scenario)};
  seen.insert(hashBytes(digest(open.front())));
  while (!open.empty()) {
    const World world = std::move(open.back());
    open.pop_back();
    ++exploration.states;
    if (world.runs > 1) {
      exploration.ran_twice = true;
      return exploration;
    }
    exploration.states_with_one_run += world.runs == 1 ? 1 : 0;
    if (exploration.states >= limit) return exploration;
    for (World& next : successors(world, scenario)) {
      if (seen.insert(hashBytes(digest(next))).second) open.push_back(std::move(next));
    }
  }
  exploration.complete = true;
  return exploration;
}

constexpr std::size_t kStateLimit = 5'000'000;

/// @return a scenario with these counts and defaults for the other fields.
Scenario makeScenario(int claimants, int changes, int restarts) {
  Scenario scenario;
  scenario.claimants = claimants;
  scenario.changes = changes;
  scenario.restarts = restarts;
  return scenario;
}

Scenario withoutRelease(Scenario scenario) {
  scenario.releases = false;
  return scenario;
}

Scenario laterClaimant(Scenario scenario) {
  scenario.later_claimant = true;
  return scenario;
}

struct Case {
  std::string name;
  Scenario scenario;
};

/// Scenarios that are small enough for every test run.
std::vector<Case> smallCases() {
  std::vector<Case> cases;
  cases.push_back({"two claimants with release, and a restart", makeScenario(2, 0, 1)});
  cases.push_back({"two claimants and an epoch change", withoutRelease(makeScenario(2, 1, 0))});
  cases.push_back({"a claimant with release, an epoch change and a restart", makeScenario(1, 1, 1)});
  cases.push_back({"a claimant, a later one, an epoch change and a restart",
                   laterClaimant(withoutRelease(makeScenario(2, 1, 1)))});
  cases.push_back({"a young group and a claim from before it", withoutRelease(makeScenario(2, 1, 0))});
  cases.back().scenario.recent_group = true;
  cases.back().scenario.earlier_claim = true;
  return cases;
}

/// Larger scenarios, which take minutes on one core.
std::vector<Case> largeCases() {
  std::vector<Case> cases;
  cases.push_back({"two claimants, an epoch change and a restart", withoutRelease(makeScenario(2, 1, 1))});
  cases.push_back({"a claimant, a later one, an epoch change and the loss of a majority",
                   laterClaimant(withoutRelease(makeScenario(2, 1, 2)))});
  return cases;
}

void checkAll(const std::vector<Case>& cases) {
  for (const Case& test_case : cases) {
    const Exploration exploration = explore(test_case.scenario, kStateLimit);
    INFO(test_case.name << ": " << exploration.states << " states"
                        << (exploration.complete ? "" : ", not all"));
    CHECK_FALSE(exploration.ran_twice);
    CHECK(exploration.complete);
    CHECK(exploration.states_with_one_run > 0);
  }
}

}  // namespace

TEST_CASE("a claim group grants a key at most once in every interleaving", "[claim][model]") {
  checkAll(smallCases());
}

TEST_CASE("a claim group grants a key at most once in larger scenarios", "[.long][claim]") {
  checkAll(largeCases());
}

TEST_CASE("a claim group grants a key at most once with releases across an epoch change", "[.long][claim]") {
  checkAll({{"two claimants with release and an epoch change", makeScenario(2, 1, 0)}});
}

TEST_CASE("two epoch changes that race grant no key twice in the first two million states",
          "[.long][claim]") {
  const Exploration exploration = explore(laterClaimant(withoutRelease(makeScenario(2, 2, 0))), 2'000'000);
  CHECK_FALSE(exploration.ran_twice);
  CHECK(exploration.states_with_one_run > 0);
}

TEST_CASE("each safeguard of claim groups is needed", "[claim][model]") {
  struct Removal {
    RemovedSafeguard removed;
    Scenario scenario;
  };
  std::vector<Removal> removals = {{RemovedSafeguard::Sealing, makeScenario(2, 1, 0)},
                                   {RemovedSafeguard::Carrying, makeScenario(2, 1, 0)},
                                   {RemovedSafeguard::Incarnations, makeScenario(2, 0, 1)},
                                   {RemovedSafeguard::Quarantine, makeScenario(2, 1, 2)},
                                   {RemovedSafeguard::Table, makeScenario(1, 0, 0)}};
  removals.back().scenario.recent_group = true;
  removals.back().scenario.earlier_claim = true;
  for (Removal& removal : removals) {
    removal.scenario.releases = false;
    removal.scenario.removed = removal.removed;
    INFO("without " << static_cast<int>(removal.removed));
    CHECK(explore(removal.scenario, kStateLimit).ran_twice);
  }
}
