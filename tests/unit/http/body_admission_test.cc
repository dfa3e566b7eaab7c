/// @file Guards against processes that exceed their memory because the bytes held for callers have no common
/// limit, and against limits that callers can use to keep others from being served.

#include "http/body_admission.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "base/random.h"

using namespace crankspur;
using namespace crankspur::http;

namespace {

constexpr std::size_t kMegabyte = 1'000'000;
constexpr std::size_t kLimit = 100 * kMegabyte;

TimePoint after(Duration time) {
  return TimePoint(std::chrono::hours(1)) + time;
}

constexpr Duration seconds(double count) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
}

struct Fixture {
  std::shared_ptr<ByteBudget> budget = std::make_shared<ByteBudget>(kLimit);
  BodyAdmission admission{budget};
  BodyId next = 1;

  BodyDecision request(std::size_t bytes, bool identified = true, Duration at = Duration(0)) {
    return admission.request(next++, bytes, identified, after(at));
  }
};

}  // namespace

TEST_CASE("bodies beyond the share for large ones wait and are admitted in order when room is free",
          "[http][body_admission]") {
  Fixture fixture;
  for (int body = 0; body < 75; ++body) REQUIRE(fixture.request(kMegabyte) == BodyDecision::Admitted);
  CHECK(fixture.request(2 * kMegabyte) == BodyDecision::Waiting);
  CHECK(fixture.request(kMegabyte) == BodyDecision::Waiting);
  fixture.admission.remove(1);
  CHECK(fixture.admission.poll(after(seconds(0.1))).admitted.empty());  // The first one needs two.
  fixture.admission.remove(2);
  CHECK(fixture.admission.poll(after(seconds(0.1))).admitted == std::vector<BodyId>{76});
  fixture.admission.remove(3);
  CHECK(fixture.admission.poll(after(seconds(0.1))).admitted == std::vector<BodyId>{77});
  CHECK(fixture.budget->used() == 75 * kMegabyte);
}

TEST_CASE("a small body is admitted at once while large ones wait", "[http][body_admission]") {
  Fixture fixture;
  for (int body = 0; body < 75; ++body) REQUIRE(fixture.request(kMegabyte) == BodyDecision::Admitted);
  REQUIRE(fixture.request(kMegabyte) == BodyDecision::Waiting);
  CHECK(fixture.request(BodyAdmission::kSmallBytes) == BodyDecision::Admitted);
}

TEST_CASE("bodies of clients without a key use a quarter of the budget at most", "[http][body_admission]") {
  Fixture fixture;
  for (int body = 0; body < 25; ++body) REQUIRE(fixture.request(kMegabyte, false) == BodyDecision::Admitted);
  CHECK(fixture.request(kMegabyte, false) == BodyDecision::Waiting);
  CHECK(fixture.admission.poll(after(Duration(0))).admitted.empty());
  CHECK(fixture.request(kMegabyte, true) == BodyDecision::Admitted);
  const ByteReservation held = fixture.admission.remove(1);
  CHECK(fixture.admission.poll(after(Duration(0))).admitted.empty());  // Its request has not ended.
}

TEST_CASE("a body that can never be held is refused at once", "[http][body_admission]") {
  Fixture fixture;
  CHECK(fixture.request(76 * kMegabyte, true) == BodyDecision::Refused);
  CHECK(fixture.request(26 * kMegabyte, false) == BodyDecision::Refused);
  CHECK(fixture.budget->used() == 0);
}

TEST_CASE("a body without a declared size grows while there is room", "[http][body_admission]") {
  Fixture fixture;
  REQUIRE(fixture.request(kMegabyte) == BodyDecision::Admitted);
  CHECK(fixture.admission.grow(1, 70 * kMegabyte));
  CHECK_FALSE(fixture.admission.grow(1, 76 * kMegabyte));
  CHECK(fixture.budget->used() == 70 * kMegabyte);
  ByteReservation held = fixture.admission.remove(1);
  held.resize(10);
  CHECK(fixture.budget->used() == 10);
}

TEST_CASE("a body that does not arrive is evicted only while others wait", "[http][body_admission]") {
  Fixture fixture;
  REQUIRE(fixture.request(70 * kMegabyte) == BodyDecision::Admitted);
  fixture.admission.onReceived(1, 70 * kMegabyte - 1, after(seconds(0.1)));
  CHECK(fixture.admission.poll(after(seconds(20))).evicted.empty());
  REQUIRE(fixture.request(kMegabyte * 10, true, seconds(20)) == BodyDecision::Waiting);
  CHECK(fixture.admission.poll(after(seconds(20.6))).evicted == std::vector<BodyId>{1});
}

TEST_CASE("a request that waited too long is refused", "[http][body_admission]") {
  Fixture fixture;
  REQUIRE(fixture.request(75 * kMegabyte) == BodyDecision::Admitted);
  REQUIRE(fixture.request(kMegabyte) == BodyDecision::Waiting);
  CHECK(fixture.admission.poll(after(seconds(0.9))).refused.empty());
  CHECK(fixture.admission.poll(after(seconds(1.0))).refused == std::vector<BodyId>{2});
  CHECK_FALSE(fixture.admission.hasWaiting());
}

namespace {

/// Callers that send bodies at different speeds, some of them without end, against one budget.
class Simulation {
public:
  explicit Simulation(std::uint64_t seed) : random_(seed) {}

  void run() {
    for (int step = 0; step < kSteps; ++step) {
      now_ += BodyAdmission::kPollInterval;
      if (random_.chance(0.6)) arrive();
      receive();
      apply(admission_.poll(now_));
      CHECK(budget_->used() <= kLimit);
      checkWaiting();
    }
    CHECK(admitted_ > 0);
    CHECK(evicted_stalled_ > 0);
  }

private:
  static constexpr int kSteps = 2'000;

  struct Caller {
    std::size_t bytes = 0;
    std::size_t received = 0;
    std::size_t bytes_per_second = 0;
    bool identified = false;
    bool reading = false;
    TimePoint since{};
  };

  void arrive() {
    Caller caller;
    const bool small = random_.chance(0.25);
    caller.bytes = small ? random_.uniform(1, 16'000) : random_.uniform(100'000, 12 * kMegabyte);
    caller.identified = random_.chance(0.67);
    const bool stalls = !small && random_.chance(0.25);
    caller.bytes_per_second = stalls ? random_.uniform(0, 20'000) : random_.uniform(200'000, 20 * kMegabyte);
    caller.since = now_;
    const BodyId id = next_++;
    const BodyDecision decision = admission_.request(id, caller.bytes, caller.identified, now_);
    CHECK(decision != BodyDecision::Refused);
    if (small) CHECK(decision == BodyDecision::Admitted);
    caller.reading = decision == BodyDecision::Admitted;
    if (caller.reading) checkNotOvertaking(id, caller);
    callers_[id] = caller;
  }

  void receive() {
    for (auto next = callers_.begin(); next != callers_.end();) {
      const auto current = next++;
      Caller& caller = current->second;
      if (!caller.reading) continue;
      const double part = double(caller.bytes_per_second) * toSeconds(BodyAdmission::kPollInterval);
      caller.received = std::min(caller.bytes, caller.received + static_cast<std::size_t>(part));
      if (part > 0) admission_.onReceived(current->first, caller.received, now_);
      if (caller.received < caller.bytes) continue;
      admission_.remove(current->first);
      ++admitted_;
      callers_.erase(current);
    }
  }

  void apply(const BodyOutcomes& outcomes) {
    for (const BodyId id : outcomes.admitted) {
      checkNotOvertaking(id, callers_[id]);
      callers_[id].reading = true;
    }
    for (const BodyId id : outcomes.evicted) {
      CHECK(callers_[id].bytes_per_second < 32 * 1024);
      ++evicted_stalled_;
      admission_.remove(id);
      callers_.erase(id);
    }
    for (const BodyId id : outcomes.refused) {
      admission_.remove(id);
      callers_.erase(id);
    }
  }

  /// No large body of the same kind that arrived before is still waiting.
  void checkNotOvertaking(BodyId id, const Caller& admitted) {
    if (admitted.bytes <= BodyAdmission::kSmallBytes) return;
    for (const auto& [other, caller] : callers_) {
      CHECK((other >= id || caller.reading || caller.identified != admitted.identified));
    }
  }

  void checkWaiting() {
    for (const auto& [id, caller] : callers_) {
      if (!caller.reading) CHECK(now_ - caller.since <= BodyAdmission::kMaxWait);
    }
  }

  RandomSource random_;
  std::shared_ptr<ByteBudget> budget_ = std::make_shared<ByteBudget>(kLimit);
  BodyAdmission admission_{budget_};
  std::map<BodyId, Caller> callers_;
  BodyId next_ = 1;
  TimePoint now_ = after(Duration(0));
  int admitted_ = 0;
  int evicted_stalled_ = 0;
};

}  // namespace

TEST_CASE("simulated bodies stay within the budget, and none that arrives in time is evicted",
          "[http][body_admission]") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    Simulation(seed).run();
  }
}
