#include "router/fleet_orders.h"

#include <catch2/catch.hpp>

using namespace crankspur;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart(1h);

Bundle bundleOf(const std::string& weights, std::uint32_t parallel) {
  Bundle bundle;
  ModelPolicy model;
  model.name = "m";
  model.weights_version = weights;
  model.pools = {"pool"};
  bundle.models.push_back(model);
  bundle.knobs.parallel_weight_loads = parallel;
  return bundle;
}

std::vector<EngineView> enginesOf(int count, const std::string& weights) {
  std::vector<EngineView> engines;
  for (int index = 0; index < count; ++index) {
    EngineView engine;
    engine.name = "e" + std::to_string(index);
    engine.region = "region";
    engine.pool = "pool";
    engine.incarnation = 5;
    engine.models = {{"m", weights, {}}};
    engines.push_back(engine);
  }
  return engines;
}

}  // namespace

TEST_CASE("new weights are loaded in waves of the configured size until all engines have them",
          "[fleet_orders]") {
  const Bundle bundle = bundleOf("w2", 3);
  auto engines = enginesOf(10, "w1");
  FleetOrders orders;
  std::size_t sent = 0;
  TimePoint now = kStart;
  for (int wave = 0; wave < 10 && sent < 10; ++wave, now += 10s) {
    const auto due = orders.due(bundle, engines, now);
    CHECK(due.size() <= 3);
    CHECK(orders.running() <= 3);
    sent += due.size();
    CHECK(orders.due(bundle, engines, now + 1s).empty());
    for (const FleetOrder& order : due) {
      for (EngineView& engine : engines) {
        if (engine.name == order.engine) engine.models[0].weights_version = "w2";
      }
    }
  }
  CHECK(sent == 10);
  CHECK(orders.due(bundle, engines, now).empty());
}

TEST_CASE("at most half of the engines that serve a model load at once", "[fleet_orders]") {
  FleetOrders orders;
  CHECK(orders.due(bundleOf("w2", 10), enginesOf(4, "w1"), kStart).size() == 2);
  FleetOrders single_engine;
  CHECK(single_engine.due(bundleOf("w2", 10), enginesOf(1, "w1"), kStart).size() == 1);
}

TEST_CASE("a refused order, a restart and an order without effect permit another load", "[fleet_orders]") {
  const Bundle bundle = bundleOf("w2", 1);
  auto engines = enginesOf(2, "w1");
  FleetOrders orders;
  const auto first = orders.due(bundle, engines, kStart);
  REQUIRE(first.size() == 1);
  SECTION("refused") {
    orders.onFailed(first[0]);
  }
  SECTION("restarted") {
    for (EngineView& engine : engines) {
      if (engine.name == first[0].engine) engine.incarnation = 6;
    }
  }
  SECTION("without effect") {
    CHECK(orders.due(bundle, engines, kStart + 1min).empty());
  }
  CHECK(orders.due(bundle, engines, kStart + 6min).size() == 1);
}

TEST_CASE(
    "engines without models load those of their pool, engines of other pools and dead engines receive no "
    "orders",
    "[fleet_orders]") {
  auto engines = enginesOf(3, "w2");
  engines[0].models.clear();
  engines[1].pool = "other";
  engines[1].models.clear();
  engines[2].models[0].weights_version = "w1";
  engines[2].state = EngineState::Dead;
  FleetOrders orders;
  const auto due = orders.due(bundleOf("w2", 3), engines, kStart);
  REQUIRE(due.size() == 1);
  CHECK(due[0].engine == "e0");
}

TEST_CASE("adapters are loaded once the weights are current", "[fleet_orders]") {
  Bundle bundle = bundleOf("w2", 3);
  bundle.models[0].adapters = {"a1", "a2"};
  auto engines = enginesOf(1, "w2");
  engines[0].models[0].adapters = {"a1"};
  FleetOrders orders;
  const auto due = orders.due(bundle, engines, kStart);
  REQUIRE(due.size() == 1);
  CHECK(due[0].kind == FleetOrderKind::LoadAdapter);
  CHECK(due[0].adapter == "a2");
}
