/// @file Guards against a fleet of gateways that repeats more requests than its retry budget allows: each
/// process that started had its whole share of the budget, whatever its predecessor had used of it, a repeat
/// that waited for a back end was counted when it was decided and not when it was sent, and a budget that
/// followed the requests of a past window was there twice when callers moved to another gateway.

#include <algorithm>
#include <memory>
#include <vector>

#include "unit/gateway/gateway_fixture.h"

using namespace crankspur;
using namespace crankspur::gateway;

namespace {

constexpr std::size_t kGateways = 3;
constexpr RetryBudgetSettings kBudget{0.2, seconds(10), 20};
constexpr std::uint64_t kSeed = 7;

/// Gateways whose back ends fail each request while `fails`. Each of the gateways can be killed and started
/// again.
class FailingFleet {
public:
  explicit FailingFleet(std::size_t gateways = kGateways, const RetryBudgetSettings& budget = kBudget)
      : budget_(budget), gateways_(gateways), snapshot_(makeSnapshot(static_cast<std::uint32_t>(gateways))) {
    for (std::size_t index = 0; index < gateways; ++index) start(index);
  }

  /// Replaces the process of a gateway by a new one.
  void start(std::size_t index) {
    GatewaySettings settings;
    settings.retry_budget = budget_;
    gateways_[index] = std::make_unique<Gateway>(settings, kSeed, noopObserver());
    gateways_[index]->onSnapshot(snapshot_, now_);
  }

  /// Gives all gateways a snapshot by which so many of them share the slack of the budget.
  void publish(std::uint32_t share_divisor) {
    snapshot_ = makeSnapshot(share_divisor);
    for (const auto& gateway : gateways_) gateway->onSnapshot(snapshot_, now_);
  }

  /// Sends a request, and answers all its dispatches at once.
  void send(std::size_t index) {
    Gateway& gateway = *gateways_[index];
    requests_.push_back(now_);
    gateway.onRequest(++last_client_, GatewayFixture::request("look"), now_);
    std::size_t dispatches = 0;
    for (std::vector<GatewayAction> actions = gateway.takeActions(); !actions.empty();
         actions = gateway.takeActions()) {
      for (const GatewayAction& action : actions) {
        const auto* dispatch = std::get_if<Dispatch>(&action);
        if (dispatch == nullptr) continue;
        if (++dispatches > 1) repeats_.push_back(now_);
        gateway.onHead(dispatch->exchange, fails ? 500 : 200, genuineResponse(), now_);
        gateway.onEnd(dispatch->exchange, now_);
      }
    }
  }

  void advance(Duration time) { now_ += time; }

  bool fails = true;

  /// @return by how many repeats the worst window exceeds the budget; negative: none does.
  double worstExcess() const {
    double worst = -budget_.slack;
    for (const TimePoint from : repeats_) {
      const double requests =
          std::max({countFrom(requests_, from), countFrom(requests_, from - budget_.window),
                    countFrom(requests_, from - budget_.window / 2)});
      worst = std::max(worst, countFrom(repeats_, from) - budget_.ratio * requests - budget_.slack);
    }
    return worst;
  }

  /// @return the repeats since then, divided by the requests since then.
  double repeatedShare(TimePoint since) const {
    const auto count = [since](const std::vector<TimePoint>& times) {
      return static_cast<double>(
          std::count_if(times.begin(), times.end(), [since](TimePoint at) { return at >= since; }));
    };
    return count(repeats_) / count(requests_);
  }

  TimePoint now() const { return now_; }
  std::size_t gateways() const { return gateways_.size(); }

private:
  static std::shared_ptr<const GatewaySnapshot> makeSnapshot(std::uint32_t share_divisor) {
    auto snapshot = std::make_shared<GatewaySnapshot>();
    snapshot->configuration = std::make_shared<const Configuration>(makeConfiguration());
    for (EngineSlot slot = 1; slot <= 6; ++slot) snapshot->backends.push_back(makeBackend(slot, "app"));
    snapshot->own_zone = "here";
    snapshot->own_region = "coast";
    snapshot->share_divisor = share_divisor;
    snapshot->peer_count = share_divisor - 1;
    return snapshot;
  }

  /// @return the number of times in the window that begins at `from`.
  double countFrom(const std::vector<TimePoint>& times, TimePoint from) const {
    return static_cast<double>(std::count_if(times.begin(), times.end(), [this, from](TimePoint at) {
      return at >= from && at < from + budget_.window;
    }));
  }

  RetryBudgetSettings budget_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::shared_ptr<const GatewaySnapshot> snapshot_;
  std::vector<TimePoint> requests_;
  std::vector<TimePoint> repeats_;
  ClientId last_client_ = 0;
  TimePoint now_{seconds(1000)};
};

/// Sends requests at random times, 60 a second.
/// @param choose which gateway gets the request of that number.
template <typename Choose>
void sendRequests(FailingFleet& fleet, RandomSource& random, int count, const Choose& choose) {
  constexpr double kMeanMicroseconds = 16'667;
  for (int sent = 0; sent < count; ++sent) {
    fleet.send(choose(sent));
    fleet.advance(Duration(static_cast<std::int64_t>(random.exponential(kMeanMicroseconds))));
  }
}

/// A gateway with a retry budget of one repeat in ten seconds, two back ends and room for two requests at
/// each.
GatewaySettings oneRepeat() {
  GatewaySettings settings;
  settings.retry_budget = {0, seconds(10), 1.5};
  return settings;
}

}  // namespace

// Back ends fail for longer than a window, while the gateways are killed one after the other: each lives for
// 4.5 s. Before the failures all of them have run for a window.
TEST_CASE("gateways that are restarted in turn stay within the retry budget of the fleet",
          "[gateway][retry_budget]") {
  FailingFleet fleet;
  constexpr int kRequestsPerRestart = 45;  // 30 a second.
  std::size_t restarted = 0;
  for (int sent = 0; sent < 20 * kRequestsPerRestart; ++sent) {
    fleet.send(static_cast<std::size_t>(sent) % kGateways);
    fleet.advance(milliseconds(33));
    const bool restarts = sent > 8 * kRequestsPerRestart && sent % kRequestsPerRestart == 0;
    if (restarts) fleet.start(restarted++ % kGateways);
  }
  CHECK(fleet.worstExcess() <= 0);
}

// A gateway counts the requests of the window that ends with a repeat. The windows by which the budget is
// judged have fewer by chance.
TEST_CASE("gateways that use up the retry budget stay within it in every window", "[gateway][retry_budget]") {
  const std::uint64_t seed = GENERATE(range(1, 40));
  CAPTURE(seed);
  FailingFleet fleet;
  RandomSource random(seed);
  constexpr int kRequests = 3'600;
  sendRequests(fleet, random, kRequests, [&](int sent) {
    fleet.fails = sent > kRequests / 3;
    return random.uniform(0, kGateways - 1);
  });
  CHECK(fleet.worstExcess() <= 0);
}

// A limit that refuses all repeats would keep every budget.
TEST_CASE("gateways whose back ends fail use the retry budget of the fleet", "[gateway][retry_budget]") {
  const std::uint64_t seed = GENERATE(range(1, 6));
  CAPTURE(seed);
  FailingFleet fleet;
  RandomSource random(seed);
  const bool moves = GENERATE(false, true);
  CAPTURE(moves);
  constexpr int kRequests = 3'600;
  constexpr int kRequestsPerMove = 120;
  TimePoint failing_since{};
  sendRequests(fleet, random, kRequests, [&](int sent) {
    fleet.fails = sent >= kRequests / 3;
    if (sent == kRequests / 3) failing_since = fleet.now();
    if (moves) return std::size_t(sent / kRequestsPerMove) % kGateways;
    return std::size_t{random.uniform(0, kGateways - 1)};
  });
  CHECK(fleet.repeatedShare(failing_since) >= 0.85 * kBudget.ratio);
}

// Each gateway allowed itself a share of the requests that it had in the window before, and then a share of
// those that it had since: the gateways that callers left had used their shares, and the one that they moved
// to had theirs once more.
TEST_CASE("callers that move from one gateway to another leave the retry budget of the fleet as it is",
          "[gateway][retry_budget]") {
  const std::uint64_t seed = GENERATE(range(1, 20));
  CAPTURE(seed);
  FailingFleet fleet;
  RandomSource random(seed);
  constexpr int kRequests = 3'000;
  constexpr int kFirstFailing = 1'200;
  constexpr int kFirstMoved = kFirstFailing + 120;
  const int requests_per_move = GENERATE(120, 300, 1'800);  // 2 s, 5 s, all.
  sendRequests(fleet, random, kRequests, [&](int sent) {
    fleet.fails = sent >= kFirstFailing;
    if (sent < kFirstMoved) return std::size_t{random.uniform(0, kGateways - 1)};
    return std::size_t((sent - kFirstMoved) / requests_per_move) % kGateways;
  });
  CHECK(fleet.worstExcess() <= 0);
}

// A process used the share of its past requests in a burst. Its successor had that of the present ones.
TEST_CASE("gateways that are killed after a burst of repeats stay within the retry budget of the fleet",
          "[gateway][retry_budget]") {
  const std::uint64_t seed = GENERATE(range(1, 20));
  CAPTURE(seed);
  FailingFleet fleet;
  RandomSource random(seed);
  constexpr int kRequests = 2'400;
  constexpr int kFirstFailing = 1'200;
  constexpr int kKilled = kFirstFailing + 120;
  sendRequests(fleet, random, kRequests, [&](int sent) {
    fleet.fails = sent >= kFirstFailing;
    for (std::size_t index = 0; sent == kKilled && index < kGateways; ++index) fleet.start(index);
    return random.uniform(0, kGateways - 1);
  });
  CHECK(fleet.worstExcess() <= 0);
}

// Killed gateways leave the list. Each of the others took the shares of two, although those of the killed
// ones had been used.
TEST_CASE("gateways that leave the list with their slack used up leave none of it to the others",
          "[gateway][retry_budget]") {
  FailingFleet fleet(6, {0, seconds(10), 24});
  fleet.advance(seconds(30));
  const auto send_to = [&fleet](std::size_t first, std::size_t count) {
    for (int sent = 0; sent < 200; ++sent) {
      fleet.send(first + static_cast<std::size_t>(sent) % count);
      fleet.advance(milliseconds(10));
    }
  };
  send_to(0, 5);
  fleet.publish(1);
  send_to(5, 1);
  CHECK(fleet.worstExcess() <= 0);
}

// A gateway that has just started knows of no others.
TEST_CASE("gateways that start together do not have the slack of the fleet each", "[gateway][retry_budget]") {
  FailingFleet fleet(60, {0, seconds(10), 60});
  fleet.publish(1);
  for (std::size_t sent = 0; sent < 1'200; ++sent) {
    if (sent == 600) fleet.publish(60);  // After 6 s.
    fleet.send(sent % fleet.gateways());
    fleet.advance(milliseconds(10));
  }
  CHECK(fleet.worstExcess() <= 0);
}

// The repeat is decided at the end of one slice of the window and sent in the next one. 10.05 s later, the
// slice of the decision was out of the window already.
TEST_CASE("a repeat counts towards the retry budget when it is sent", "[gateway][retry_budget]") {
  GatewayFixture fixture(oneRepeat());
  fixture.publish();
  fixture.now = TimePoint{milliseconds(1'000'950)};
  std::vector<Dispatch> running;
  for (int count = 0; count < 4; ++count) {
    fixture.send("look");
    running.push_back(fixture.last);
  }
  fixture.last = running.front();
  fixture.notRun();  // The other back end is full: the repeat waits.
  CHECK_FALSE(fixture.has<Dispatch>());
  fixture.advance(milliseconds(300));
  const auto other = std::find_if(running.begin(), running.end(), [&](const Dispatch& dispatch) {
    return dispatch.address != running.front().address;
  });
  fixture.last = *other;
  fixture.head(200);
  fixture.end();
  REQUIRE(fixture.has<Dispatch>());  // The repeat is sent, at 1001.25 s.
  fixture.advance(milliseconds(9'800));
  fixture.send("look");
  fixture.notRun();
  CHECK_FALSE(fixture.has<Dispatch>());
}
