#include "gateway_control/weight_rollout.h"

#include <catch2/catch.hpp>

#include "base/random.h"
#include "gateway_control/fleet_view.h"

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart(1h);
constexpr Duration kReportTimeout = 700ms;

/// State of a simulated back end.
struct Runner {
  std::string id;
  std::uint64_t version = 1;
  std::uint64_t orders_taken = 0;
  std::uint64_t loading = 0;  ///< Version that it loads.
  bool unresponsive = false;  ///< Known to be unresponsive.
  bool uncallable = false;    ///< Listed with an address that accepts no call.
  TimePoint loaded_at{};
};

/// Back ends that execute the calls of a roll-out in steps of its tick. A share of the responses to orders is
/// lost; half of the orders concerned are executed all the same.
class Fleet {
public:
  explicit Fleet(int count, double lost) : lost_(lost) {
    for (int index = 0; index < count; ++index) runners_.push_back({"r" + std::to_string(index)});
  }

  std::vector<Backend> backends() const {
    std::vector<Backend> all;
    for (const Runner& runner : runners_) {
      Backend backend;
      backend.view.name = runner.id;
      backend.view.address = runner.id;
      backend.view.pool = "pool";
      backend.view.incarnation = 1;
      backend.view.models = {{"m", std::to_string(runner.version), {}}};
      if (runner.unresponsive) backend.unresponsive_since = kStart;
      all.push_back(backend);
    }
    return all;
  }

  void step(WeightRollout& rollout, TimePoint now) {
    std::size_t loading = 0;
    for (Runner& runner : runners_) {
      if (runner.loading != 0 && now >= runner.loaded_at) {
        runner.version = std::exchange(runner.loading, 0);
      }
      loading += runner.loading != 0 ? 1 : 0;
    }
    max_loading = std::max(max_loading, loading);
    failUnansweredReports(rollout, now);
    for (const RolloutAction& action : rollout.due(backends(), now)) execute(rollout, action, now);
  }

  bool all(std::uint64_t version) const {
    return std::all_of(runners_.begin(), runners_.end(), [version](const Runner& runner) {
      return runner.uncallable || runner.version == version;
    });
  }
  std::vector<Runner>& runners() { return runners_; }

  std::size_t max_loading = 0;
  std::size_t orders = 0;
  std::size_t calls_to_unresponsive = 0;
  std::size_t calls_to_uncallable = 0;

private:
  void failUnansweredReports(WeightRollout& rollout, TimePoint now) {
    std::erase_if(unanswered_, [&](const auto& report) {
      const bool timed_out = now >= report.second;
      if (timed_out) rollout.onReport(report.first, std::nullopt, now);
      return timed_out;
    });
  }

  Runner& find(const std::string& id) {
    return *std::find_if(runners_.begin(), runners_.end(),
                         [&id](const Runner& runner) { return runner.id == id; });
  }

  void execute(WeightRollout& rollout, const RolloutAction& action, TimePoint now) {
    Runner& runner = find(action.backend);
    if (runner.unresponsive) ++calls_to_unresponsive;
    if (runner.uncallable) {
      ++calls_to_uncallable;
      unanswered_.emplace_back(runner.id, now + kReportTimeout);
      return;
    }
    if (action.kind == RolloutAction::Kind::Report) {
      WeightsReport report;
      report.orders_taken = runner.orders_taken;
      report.order_running = runner.loading != 0;
      report.models = {{"m", std::to_string(runner.version), {}}};
      return rollout.onReport(runner.id, report, now);
    }
    ++orders;
    CHECK(action.version > runner.version);
    const bool lost = random_.chance(lost_);
    const bool taken = runner.loading == 0 && action.expected_orders_taken == runner.orders_taken;
    const bool executed = taken && (!lost || random_.chance(0.5));
    if (executed) {
      ++runner.orders_taken;
      runner.loading = action.version;
      runner.loaded_at = now + 600ms;
    }
    const OrderResponse response = taken ? OrderResponse::Begun : OrderResponse::Conflict;
    rollout.onOrderResponse(runner.id, lost ? OrderResponse::Unknown : response, now);
  }

  double lost_;
  RandomSource random_{7};
  std::vector<Runner> runners_;
  std::vector<std::pair<std::string, TimePoint>> unanswered_;  ///< Back end, and when its call times out.
};

}  // namespace

TEST_CASE("new weights reach all back ends within the limit, with few concurrent loads", "[weight_rollout]") {
  WeightRollout rollout({8s, 2});
  Fleet fleet(12, 0);
  CHECK(rollout.onNamed({"m", 2, {}}, kStart));
  CHECK_FALSE(rollout.onNamed({"m", 2, {}}, kStart));
  TimePoint now = kStart;
  for (; now < kStart + 8s && !fleet.all(2); now += kRolloutTick) fleet.step(rollout, now);
  CHECK(fleet.all(2));
  CHECK(fleet.orders == 12);
  CHECK(fleet.max_loading <= 6);
  CHECK_FALSE(rollout.pending(fleet.backends()));
}

TEST_CASE(
    "in a large fleet the number of concurrent loads grows with its size, so that new weights are not late",
    "[weight_rollout]") {
  WeightRollout rollout({10s, 2});
  Fleet fleet(90, 0);
  rollout.onNamed({"m", 2, {}}, kStart);
  TimePoint now = kStart;
  for (; now < kStart + 6s && !fleet.all(2); now += kRolloutTick) fleet.step(rollout, now);
  CHECK(fleet.all(2));
  CHECK(fleet.max_loading >= 18);
  CHECK(fleet.max_loading <= 30);
}

TEST_CASE("an unresponsive engine takes no load slot of a responsive one", "[weight_rollout]") {
  WeightRollout rollout({10s, 2});
  Fleet fleet(90, 0);
  for (std::size_t index = 0; index < 24; ++index) fleet.runners()[index].unresponsive = true;
  rollout.onNamed({"m", 2, {}}, kStart);
  TimePoint now = kStart;
  for (; now < kStart + 6s; now += kRolloutTick) fleet.step(rollout, now);
  CHECK(fleet.calls_to_unresponsive == 0);
  CHECK(std::count_if(fleet.runners().begin(), fleet.runners().end(),
                      [](const Runner& runner) { return runner.version == 2; }) == 66);
  // They get their orders once they respond again.
  for (Runner& runner : fleet.runners()) runner.unresponsive = false;
  for (; now < kStart + 10s; now += kRolloutTick) fleet.step(rollout, now);
  CHECK(fleet.all(2));
}

TEST_CASE("orders whose responses are lost are sent again until they take effect", "[weight_rollout]") {
  WeightRollout rollout({8s, 2});
  Fleet fleet(12, 0.5);
  rollout.onNamed({"m", 2, {}}, kStart);
  TimePoint now = kStart;
  for (; now < kStart + 20s && !fleet.all(2); now += kRolloutTick) fleet.step(rollout, now);
  CHECK(fleet.all(2));
  CHECK(fleet.orders >= 12);
}

TEST_CASE("versions named in quick succession reach all back ends", "[weight_rollout]") {
  WeightRollout rollout({8s, 2});
  Fleet fleet(12, 0);
  TimePoint now = kStart;
  for (std::uint64_t version = 2; version <= 5; ++version) {
    rollout.onNamed({"m", version, {}}, now);
    for (const TimePoint until = now + 3s; now < until; now += kRolloutTick) fleet.step(rollout, now);
    for (const Runner& runner : fleet.runners()) CHECK(runner.version + 2 >= version);
  }
  for (const TimePoint until = now + 8s; now < until; now += kRolloutTick) fleet.step(rollout, now);
  CHECK(fleet.all(5));
  CHECK(fleet.orders < 48);
}

TEST_CASE("weights newer than named are never replaced, and a removed back end is not waited for",
          "[weight_rollout]") {
  WeightRollout rollout({8s, 1});
  Fleet fleet(2, 0);
  fleet.runners()[0].version = 9;
  rollout.onNamed({"m", 2, {}}, kStart);
  fleet.step(rollout, kStart);
  CHECK(rollout.busy());
  fleet.runners().pop_back();
  for (TimePoint now = kStart; now < kStart + 2s; now += kRolloutTick) fleet.step(rollout, now);
  CHECK(fleet.runners()[0].version == 9);
  CHECK(fleet.orders == 0);
  CHECK_FALSE(rollout.busy());
}

// Guards against an entry of another writer that nobody can call and that lists old weights: it comes first
// in the order, and must not take up the time of the back ends that load the new ones.
TEST_CASE("new weights reach all back ends within the limit although some listed ones accept no call",
          "[weight_rollout][odd_rows]") {
  WeightRollout rollout({8s, 2});
  Fleet fleet(12, 0);
  for (const std::size_t index : {0U, 5U}) {
    fleet.runners()[index].uncallable = true;
    fleet.runners()[index].version = 0;
  }
  rollout.onNamed({"m", 2, {}}, kStart);
  TimePoint now = kStart;
  for (; now < kStart + 8s && !fleet.all(2); now += kRolloutTick) fleet.step(rollout, now);
  CHECK(fleet.all(2));
  CHECK(fleet.orders == 10);
  CHECK(fleet.calls_to_uncallable > 0);
  const std::size_t before = fleet.calls_to_uncallable;
  for (const TimePoint end = now + 60s; now < end; now += kRolloutTick) fleet.step(rollout, now);
  // Each call times out and is followed by a delay of 0.4 s.
  CHECK(fleet.calls_to_uncallable - before <= 2 * 60s / (kReportTimeout + 400ms) + 2);
}
