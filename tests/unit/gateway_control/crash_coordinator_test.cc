#include "gateway_control/crash_coordinator.h"

#include <catch2/catch.hpp>

#include "internal_protocol/codec.h"

using namespace crankspur;
using namespace crankspur::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart{seconds(1000)};

CrashUpdate crashesOf(std::uint64_t request, std::uint64_t count, TimePoint last) {
  CrashUpdate update;
  for (std::uint64_t number = 0; number < count; ++number) {
    const TimePoint at = last - seconds(count - 1 - number);
    update.crashes.push_back({{request, 1}, number + 1, at - milliseconds(100), at});
  }
  return update;
}

template <typename Action>
std::vector<Action> only(const std::vector<CrashAction>& actions) {
  std::vector<Action> found;
  for (const CrashAction& action : actions) {
    if (const auto* one = std::get_if<Action>(&action)) found.push_back(*one);
  }
  return found;
}

/// A gateway whose control loop runs ten times a second.
struct Site {
  Site() { pass(seconds(10)); }

  void pass(Duration time) {
    for (const TimePoint end = now + time; now < end; now += milliseconds(100)) {
      coordinator.onRunning(now);
      if (now >= coordinator.nextTimer()) coordinator.onTimer({"a", "b"}, now);
    }
    coordinator.takeActions();
  }

  TimePoint now = kStart;
  CrashCoordinator coordinator{1, kStart};
};

}  // namespace

TEST_CASE("own evidence goes to all gateways, and what is quarantined to the store",
          "[gateway_control][crash_suspects]") {
  Site site;
  site.coordinator.onRecordRead(StoredRecord{}, site.now);
  site.coordinator.takeActions();
  site.coordinator.onOwnUpdate(crashesOf(1, 2, site.now), {"a", "b"}, site.now);
  std::vector<CrashAction> actions = site.coordinator.takeActions();
  CHECK(only<SendCrashMessage>(actions).size() == 2);
  CHECK(only<CallStore>(actions).empty());
  site.coordinator.onOwnUpdate(crashesOf(2, 3, site.now), {"a", "b"}, site.now);
  actions = site.coordinator.takeActions();
  CHECK(only<SendCrashMessage>(actions).size() == 2);
  REQUIRE(only<CallStore>(actions).size() == 1);
  CHECK(only<CallStore>(actions).front().call.kind == CrashRecordCall::Kind::read);
}

// What gateways tell each other says how long ago things happened when it was sent. A gateway that was
// stopped for seconds read it with these ages when it went on: crashes looked as if they had just happened,
// so that an answer of the engine's next start seemed to come too soon after them, and quarantines lasted
// longer there.
TEST_CASE("what waited to be read while the gateway stood still is asked for again",
          "[gateway_control][crash_suspects]") {
  Site site;
  const CrashNotes waiting = toNotes(crashesOf(1, 3, site.now), site.now);
  site.now += seconds(5);
  site.coordinator.onNotes(waiting, site.now);
  CHECK(only<NotifyTraffic>(site.coordinator.takeActions()).empty());
  site.pass(milliseconds(600));
  site.coordinator.onNotes(toNotes(crashesOf(1, 3, site.now - seconds(6)), site.now), site.now);
  const auto told = only<NotifyTraffic>(site.coordinator.takeActions());
  REQUIRE(told.size() == 1);
  CHECK(told.front().update.crashes.back().crashed_at <= site.now - seconds(6));
}

TEST_CASE("a gateway that knows nothing asks one that tells that it knows something",
          "[gateway_control][crash_suspects]") {
  Site site;
  site.coordinator.onDigest("a", CrashDigest{7}, site.now);
  const auto sent = only<SendCrashMessage>(site.coordinator.takeActions());
  REQUIRE(sent.size() == 1);
  CHECK(sent.front().member == "a");
  const auto* digest = std::get_if<CrashDigest>(&sent.front().message);
  REQUIRE(digest != nullptr);
  CHECK(digest->digest == 0);
  site.coordinator.onDigest("a", CrashDigest{0}, site.now);  // Neither knows anything.
  CHECK(site.coordinator.takeActions().empty());
}

// An innocent request had run beside a poison request three times and was quarantined; an attempt that was
// under way then ended whole, which cleared it. The store's record still named it: after all gateways had
// been killed, those that started refused it until its time was over.
TEST_CASE("the record forgets a request that was cleared", "[gateway_control][crash_suspects]") {
  Site site;
  site.coordinator.onRecordRead(StoredRecord{}, site.now);
  site.coordinator.takeActions();
  site.coordinator.onOwnUpdate(crashesOf(1, 3, site.now), {}, site.now);
  site.coordinator.onRecordRead(StoredRecord{}, site.now);
  auto calls = only<CallStore>(site.coordinator.takeActions());
  REQUIRE(calls.size() == 2);
  const std::string recorded = calls.back().call.text;
  site.coordinator.onRecordWritten(true, site.now);
  site.coordinator.takeActions();

  site.now += seconds(1);
  CrashUpdate cleared;
  SECTION("by a whole answer") {
    cleared.cleared.push_back({{1, 1}, site.now});
  }
  SECTION("by signs of life of all its back ends") {
    for (const CrashEvidence& crash : crashesOf(1, 3, site.now - seconds(1)).crashes) {
      cleared.alive.push_back({crash.backend, crash.crashed_at});
    }
  }
  site.coordinator.onOwnUpdate(cleared, {}, site.now);
  calls = only<CallStore>(site.coordinator.takeActions());
  REQUIRE(calls.size() == 1);
  CHECK(calls.front().call.kind == CrashRecordCall::Kind::read);
  site.coordinator.onRecordRead(StoredRecord{recorded, 1, seconds(1)}, site.now);
  calls = only<CallStore>(site.coordinator.takeActions());
  REQUIRE(calls.size() == 1);
  CHECK(calls.front().call.kind == CrashRecordCall::Kind::write);
  const DecodedFrame frame = decodeFrame(calls.front().call.text);
  REQUIRE(frame.message);
  CHECK(std::get<CrashNotes>(*frame.message).crashes.empty());
}

// A gateway that was stopped while a request was cleared kept its evidence: all others knew none any more,
// and had nothing to answer its digest with.
TEST_CASE("a gateway that only knows what was cleared tells that", "[gateway_control][crash_suspects]") {
  Site site;
  site.coordinator.onOwnUpdate(crashesOf(1, 1, site.now), {}, site.now);
  CrashUpdate cleared;
  cleared.cleared.push_back({{1, 1}, site.now});
  site.coordinator.onOwnUpdate(cleared, {}, site.now);
  REQUIRE(site.coordinator.digest() == 0);
  site.coordinator.takeActions();
  site.coordinator.onDigest("a", CrashDigest{7}, site.now);
  bool told = false;
  for (const SendCrashMessage& sent : only<SendCrashMessage>(site.coordinator.takeActions())) {
    const auto* notes = std::get_if<CrashNotes>(&sent.message);
    told = told || (notes != nullptr && notes->cleared.size() == 1);
  }
  CHECK(told);
}

// Of three crashes under a request one gateway saw one and another two. All of them refused it, and none
// wrote it to the store's record: after all gateways had been killed it crashed three engines more.
TEST_CASE("a quarantine that several gateways saw in part is recorded", "[gateway_control][crash_suspects]") {
  Site site;
  site.coordinator.onRecordRead(StoredRecord{}, site.now);
  site.coordinator.takeActions();
  const CrashUpdate all = crashesOf(1, 3, site.now);
  CrashUpdate own;
  own.crashes = {all.crashes[0]};
  CrashUpdate told;
  told.crashes = {all.crashes[1], all.crashes[2]};
  site.coordinator.onOwnUpdate(own, {"a"}, site.now);
  site.coordinator.takeActions();
  site.coordinator.onNotes(toNotes(told, site.now), site.now);
  CHECK(only<CallStore>(site.coordinator.takeActions()).size() == 1);
}
