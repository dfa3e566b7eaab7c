#include "placement/placement.h"

#include <catch2/catch.hpp>
#include <map>

using namespace crankspur;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{Duration(1'000'000'000)};

class FixedWork : public OutstandingWork {
public:
  std::uint32_t pendingTokens(EngineSlot engine) const override { return at(pending, engine); }
  std::uint32_t inFlight(EngineSlot engine) const override { return at(in_flight, engine); }
  std::map<EngineSlot, std::uint32_t> pending;
  std::map<EngineSlot, std::uint32_t> in_flight;

private:
  static std::uint32_t at(const std::map<EngineSlot, std::uint32_t>& values, EngineSlot engine) {
    const auto found = values.find(engine);
    return found == values.end() ? 0 : found->second;
  }
};

/// A fleet of `count` engines that serve model "large" at weights "w1" to tenant "yard".
struct Fleet {
  explicit Fleet(EngineSlot count) {
    auto bundle = std::make_shared<Bundle>();
    TenantPolicy tenant;
    tenant.name = "yard";
    tenant.models = {"large"};
    bundle->tenants.push_back(tenant);
    ModelPolicy model;
    model.name = "large";
    model.weights_version = "w1";
    model.pools = {"gpu"};
    bundle->models.push_back(model);
    snapshot.bundle = bundle;
    for (EngineSlot slot = 0; slot < count; ++slot) {
      EngineView engine;
      engine.slot = slot;
      engine.name = "engine" + std::to_string(slot);
      engine.address = "10.0.0." + std::to_string(slot);
      engine.pool = "gpu";
      engine.incarnation = 100 + slot;
      engine.models = {{"large", "w1", {"legal"}}};
      engine.load.measured_at = kStart;
      engine.load.batch_limit = 16;
      engine.load.cache_blocks_total = 10000;
      snapshot.engines.push_back(engine);
      index->setIncarnation(slot, engine.incarnation);
    }
    for (std::uint64_t block = 1; block <= 100; ++block) blocks.push_back(block * 0x9e3779b97f4a7c15ULL);
    request.tenant = "yard";
    request.model = "large";
    request.blocks = blocks;
    request.prompt_tokens = 1600;
    request.max_tokens = 100;
    request.deadline = 5s;
  }
  PlacementDecision choose(PlacementPolicy& policy) {
    return policy.choose(request, snapshot, *index, work, random, kStart);
  }
  RoutingSnapshot snapshot;
  std::unique_ptr<PrefixIndex> index = makePrefixIndex(10'000);
  FixedWork work;
  RandomSource random{1};
  std::vector<BlockHash> blocks;
  PlacementRequest request;
};

std::vector<std::unique_ptr<PlacementPolicy>> allPolicies() {
  std::vector<std::unique_ptr<PlacementPolicy>> policies;
  policies.push_back(makeCostPlacement());
  policies.push_back(makeRoundRobinPlacement());
  policies.push_back(makeLeastLoadPlacement());
  policies.push_back(makePromptHeadHashPlacement());
  return policies;
}

}  // namespace

TEST_CASE("no policy chooses an engine that may not serve the request", "[placement]") {
  Fleet fleet(8);
  fleet.snapshot.engines[0].state = EngineState::Leaving;
  fleet.snapshot.engines[1].state = EngineState::Dead;
  fleet.snapshot.engines[2].state = EngineState::Ejected;
  fleet.snapshot.engines[3].models = {{"large", "w0", {}}};
  fleet.snapshot.engines[4].pool = "elsewhere";
  fleet.snapshot.engines[5].incarnation = 0;
  fleet.request.excluded = {6};
  CHECK(eligibleEngines(fleet.request, fleet.snapshot) == std::vector<EngineSlot>{7});
  for (const auto& policy : allPolicies()) {
    INFO(policy->name());
    for (EngineSlot slot = 0; slot < 8; ++slot)
      fleet.index->correct(slot, 100 + slot, fleet.blocks, 0, kStart);
    const PlacementDecision decision = fleet.choose(*policy);
    REQUIRE(decision.found);
    CHECK(decision.engine == 7);
    CHECK(decision.incarnation == 107);
    CHECK(decision.weights_version == "w1");
    CHECK(decision.import_from.empty());
  }
}

TEST_CASE("no engine is found for a model the tenant may not use, or without a bundle", "[placement]") {
  Fleet fleet(2);
  for (const auto& policy : allPolicies()) {
    PlacementRequest unknown_tenant = fleet.request;
    unknown_tenant.tenant = "stranger";
    CHECK_FALSE(
        policy->choose(unknown_tenant, fleet.snapshot, *fleet.index, fleet.work, fleet.random, kStart).found);
    PlacementRequest unknown = fleet.request;
    unknown.model = "unknown";
    CHECK_FALSE(
        policy->choose(unknown, fleet.snapshot, *fleet.index, fleet.work, fleet.random, kStart).found);
    RoutingSnapshot empty;
    CHECK_FALSE(policy->choose(fleet.request, empty, *fleet.index, fleet.work, fleet.random, kStart).found);
  }
}

TEST_CASE("a resumption's weights version overrides the bundle's", "[placement]") {
  Fleet fleet(3);
  fleet.snapshot.engines[1].models = {{"large", "w0", {}}};
  fleet.request.weights_version = "w0";
  CHECK(eligibleEngines(fleet.request, fleet.snapshot) == std::vector<EngineSlot>{1});
}

TEST_CASE("cost placement prefers the engine with the cached prefix unless its queue costs more",
          "[placement]") {
  Fleet fleet(4);
  const auto policy = makeCostPlacement();
  fleet.index->correct(2, 102, fleet.blocks, 0, kStart);
  const PlacementDecision near = fleet.choose(*policy);
  CHECK(near.engine == 2);
  CHECK(near.cached_blocks == 100);
  CHECK_FALSE(near.candidates.empty());

  SECTION("reported queue") {
    fleet.snapshot.engines[2].load.queued_tokens = 100'000;
    CHECK(fleet.choose(*policy).engine != 2);
  }
  SECTION("pending work that no load report includes yet") {
    fleet.work.pending[2] = 100'000;
    CHECK(fleet.choose(*policy).engine != 2);
  }
}

TEST_CASE("cost placement estimates the time to the first token", "[placement]") {
  Fleet fleet(1);
  fleet.snapshot.engines[0].load.queued_tokens = 8000;
  fleet.snapshot.engines[0].load.prefill_tokens_per_second = 8000;
  const PlacementDecision decision = fleet.choose(*makeCostPlacement());
  CHECK(decision.expected_first_token >= 1100ms);
  CHECK(decision.expected_first_token <= 1400ms);
}

TEST_CASE("blocks are imported when that is faster than computing them", "[placement]") {
  Fleet fleet(3);
  const auto policy = makeCostPlacement();
  fleet.index->correct(1, 101, fleet.blocks, 0, kStart);
  fleet.work.pending[1] = 100'000;
  const PlacementDecision decision = fleet.choose(*policy);
  REQUIRE(decision.engine != 1);
  CHECK(decision.import_from == fleet.snapshot.engines[1].address);
  CHECK(decision.import_blocks == 100);
  CHECK(decision.cached_blocks == 0);

  SECTION("not from a dead engine") {
    fleet.snapshot.engines[1].state = EngineState::Dead;
    CHECK(fleet.choose(*policy).import_from.empty());
  }
  SECTION("not when only a few blocks are held") {
    fleet.index->setIncarnation(1, 102);
    fleet.index->correct(1, 102, std::span(fleet.blocks).first(2), 0, kStart);
    CHECK(fleet.choose(*policy).import_from.empty());
  }
}

TEST_CASE(
    "blocks are imported from a confirmed holder rather than from an engine that has yet to compute them",
    "[placement]") {
  Fleet fleet(4);
  const auto policy = makeCostPlacement();
  fleet.index->recordPlacement(0, 100, fleet.blocks, kStart);
  fleet.work.pending[0] = 100'000;
  SECTION("even if the confirmed holder has fewer blocks") {
    fleet.index->correct(2, 102, std::span(fleet.blocks).first(90), 0, kStart);
    fleet.work.pending[2] = 100'000;
    const PlacementDecision decision = fleet.choose(*policy);
    CHECK(decision.import_from == fleet.snapshot.engines[2].address);
    CHECK(decision.import_blocks == 90);
  }
  SECTION("except when there is no confirmed holder") {
    const PlacementDecision decision = fleet.choose(*policy);
    CHECK(decision.import_from == fleet.snapshot.engines[0].address);
    CHECK(decision.import_blocks == 100);
  }
}

TEST_CASE("the decision names a second holder in case the chosen engine has evicted its prefix",
          "[placement]") {
  Fleet fleet(3);
  const auto policy = makeCostPlacement();
  fleet.index->correct(0, 100, fleet.blocks, 0, kStart);
  fleet.work.pending[2] = 100'000;

  SECTION("for the blocks that both hold") {
    fleet.index->correct(2, 102, std::span(fleet.blocks).first(80), 0, kStart);
    const PlacementDecision decision = fleet.choose(*policy);
    REQUIRE(decision.engine == 0);
    CHECK(decision.import_from == fleet.snapshot.engines[2].address);
    CHECK(decision.import_blocks == 80);
  }
  SECTION("never more blocks than the chosen engine is assumed to hold") {
    fleet.index->setIncarnation(0, 200);
    fleet.snapshot.engines[0].incarnation = 200;
    fleet.index->correct(0, 200, std::span(fleet.blocks).first(98), 0, kStart);
    fleet.index->correct(2, 102, fleet.blocks, 0, kStart);
    const PlacementDecision decision = fleet.choose(*policy);
    REQUIRE(decision.engine == 0);
    CHECK(decision.import_from == fleet.snapshot.engines[2].address);
    CHECK(decision.import_blocks == 98);
  }
  SECTION("not when the second holder has too few blocks") {
    fleet.index->correct(2, 102, std::span(fleet.blocks).first(4), 0, kStart);
    CHECK(fleet.choose(*policy).import_from.empty());
  }
  SECTION("not when no other engine holds the prefix") {
    CHECK(fleet.choose(*policy).import_from.empty());
  }
}

TEST_CASE("the only eligible engine of a large, sampled fleet is found", "[placement]") {
  Fleet fleet(200);
  for (EngineView& engine : fleet.snapshot.engines) {
    if (engine.slot != 150) engine.state = EngineState::Leaving;
  }
  CHECK(fleet.choose(*makeCostPlacement()).engine == 150);
}

TEST_CASE("reported queues are scaled by the observed share of uncached prompt tokens", "[placement]") {
  Fleet fleet(2);
  fleet.snapshot.engines[0].load.queued_tokens = 8000;
  fleet.snapshot.engines[1].load.queued_tokens = 8000;
  const auto policy = makeCostPlacement();
  const Duration before = fleet.choose(*policy).expected_first_token;
  for (int response = 0; response < 300; ++response) policy->observe({0, 1000, 950, 0ms, 0ms}, kStart);
  CHECK(fleet.choose(*policy).expected_first_token < before - 300ms);
}
