/// @file The load pattern of an overload: for some seconds, requests arrive faster than the engines can
/// prefill their prompts, and then at the rate of before.

#include <deque>

#include "unit/gateway/gateway_fixture.h"

using namespace crankspur;
using namespace crankspur::gateway;

namespace {

/// Tokens of a prompt that nothing else shares, and the engine's time for it.
constexpr std::uint32_t kPromptTokens = 3'000;
constexpr Duration kPrefillTime = milliseconds(100);
constexpr Duration kStep = milliseconds(1);

/// One engine that prefills prompts in the order of their arrival and then ends the response.
class OverloadedEngine {
public:
  OverloadedEngine() {
    fixture_.backends = {makeBackend(3, "lm")};
    fixture_.backends.front().slots = 16;
    fixture_.publish();
  }

  /// Requests arrive at this rate for the given time.
  void run(Duration time, double requests_per_second) {
    for (const TimePoint end = fixture_.now + time; fixture_.now < end;) {
      fixture_.advance(kStep);
      execute(fixture_.actions);
      finishPrefill();
      owed_ += requests_per_second * toSeconds(kStep);
      for (; owed_ >= 1; owed_ -= 1) send();
    }
  }

  /// Counts since the last call.
  struct Counts {
    int sent = 0;
    int in_time = 0;
    int late = 0;
    int refused = 0;
  };
  Counts takeCounts() { return std::exchange(counts_, Counts()); }

private:
  struct Waiting {
    ExchangeId exchange;
    TimePoint arrived_at;
  };

  void send() {
    IncomingRequest incoming = GatewayFixture::request("answer");
    const std::uint64_t part = ++parts_;
    incoming.client->prompt = {{part, kPromptTokens}};
    incoming.client->prompt_tokens = kPromptTokens;
    ++counts_.sent;
    fixture_.send(std::move(incoming));
    execute(fixture_.actions);
  }

  void execute(const std::vector<GatewayAction>& actions) {
    for (const GatewayAction& action : actions) {
      if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
        if (queue_.empty()) began_at_ = fixture_.now;
        queue_.push_back({dispatch->exchange, fixture_.now});
      }
      if (std::holds_alternative<Refuse>(action)) ++counts_.refused;
    }
  }

  void finishPrefill() {
    if (queue_.empty() || fixture_.now < began_at_ + kPrefillTime) return;
    const Waiting done = queue_.front();
    queue_.pop_front();
    began_at_ = fixture_.now;
    const Duration target = fixture_.configuration.routes[3].first_byte_target;
    (fixture_.now - done.arrived_at <= target + kPrefillTime ? counts_.in_time : counts_.late) += 1;
    fixture_.gateway.onHead(done.exchange, 200, genuineResponse(), fixture_.now);
    fixture_.gateway.onEnd(done.exchange, fixture_.now);
    execute(fixture_.takeActions());
  }

  GatewayFixture fixture_;
  std::deque<Waiting> queue_;
  TimePoint began_at_{};
  double owed_ = 0;
  std::uint64_t parts_ = 100;
  Counts counts_;
};

}  // namespace

// While every request is accepted, the queue grows until all responses are late, and it is still long when
// the overload has ended: nothing is served in time although the engine works all the time.
TEST_CASE("what an overloaded engine can serve in time is served in time", "[gateway][overload]") {
  OverloadedEngine engine;
  engine.run(seconds(3), 7);
  const OverloadedEngine::Counts before = engine.takeCounts();
  CHECK(before.refused == 0);
  CHECK(before.late == 0);

  engine.run(seconds(8), 20);  // Twice what the engine can prefill.
  const OverloadedEngine::Counts during = engine.takeCounts();
  CHECK(during.in_time >= 8 * 10 * 8 / 10);
  CHECK(during.late <= during.in_time / 10);

  engine.run(seconds(1), 7);  // Within 3 s, the load of before is served again.
  engine.takeCounts();
  engine.run(seconds(3), 7);
  const OverloadedEngine::Counts after = engine.takeCounts();
  CHECK(after.refused == 0);
  CHECK(after.late == 0);
}

TEST_CASE("a request that would start too late is refused at once, with the time until queues are shorter",
          "[gateway][overload]") {
  GatewayFixture fixture;
  fixture.publish();
  LoadDigest digest;
  for (const Backend& backend : fixture.backends) {
    digest.loads.push_back({"", backend.view.incarnation, 60'000, 1, 0});  // 2 s of work.
  }
  fixture.gateway.onPeerLoad("other", digest, fixture.now);
  fixture.send("review");
  const Refuse refusal = fixture.only<Refuse>();
  CHECK(refusal.status == 503);
  CHECK(refusal.cause == RequestCause::queues_too_long);
  CHECK(refusal.retry_after > seconds(1));
  REQUIRE(fixture.observer.ended.size() == 1);
  CHECK(fixture.observer.ended.front().total == Duration(0));
}

// The prefill of a long prompt may take longer than the target. Refused for that, it would never be served.
TEST_CASE("a long prompt is not refused while engines are free", "[gateway][overload]") {
  GatewayFixture fixture;
  fixture.publish();
  IncomingRequest incoming = GatewayFixture::request("review");
  incoming.client->prompt = {{11, 60'000}};  // 2 s at the assumed rate; the target is 0.4 s.
  incoming.client->prompt_tokens = 60'000;
  fixture.send(std::move(incoming));
  CHECK(fixture.has<Dispatch>());
}
