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
std::vector<Action> actionsOfType(const std::vector<CrashAction>& actions) {
  std::vector<Action> found;
  for (const CrashAction& action : actions) {
    if (const auto* match = std::get_if<Action>(&action)) found.push_back(*match);
  }
  return found;
}

/// A gateway whose control loop runs ten times a second.
struct CrashFixture {
  CrashFixture() { advance(seconds(10)); }

  void advance(Duration time) {
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

TEST_CASE("own evidence is sent to all gateways, and quarantined requests are written to the store",
          "[gateway_control][crash_suspects]") {
  CrashFixture fixture;
  fixture.coordinator.onRecordRead(StoredRecord{}, fixture.now);
  fixture.coordinator.takeActions();
  fixture.coordinator.onOwnUpdate(crashesOf(1, 2, fixture.now), {"a", "b"}, fixture.now);
  std::vector<CrashAction> actions = fixture.coordinator.takeActions();
  CHECK(actionsOfType<SendCrashMessage>(actions).size() == 2);
  CHECK(actionsOfType<CallStore>(actions).empty());
  fixture.coordinator.onOwnUpdate(crashesOf(2, 3, fixture.now), {"a", "b"}, fixture.now);
  actions = fixture.coordinator.takeActions();
  CHECK(actionsOfType<SendCrashMessage>(actions).size() == 2);
  REQUIRE(actionsOfType<CallStore>(actions).size() == 1);
  CHECK(actionsOfType<CallStore>(actions).front().call.kind == RecordCall::Kind::read);
}

// Notes between gateways hold ages as of when they were sent. If a gateway that was stopped for seconds
// applied notes that were queued meanwhile, crashes would seem to have just happened: a response from the
// engine after its restart would seem to come too soon after them, and quarantines would last longer on that
// gateway.
TEST_CASE(
    "notes that were queued while the gateway was stopped are dropped and their evidence is accepted when "
    "sent again",
    "[gateway_control][crash_suspects]") {
  CrashFixture fixture;
  const CrashNotes waiting = toNotes(crashesOf(1, 3, fixture.now), fixture.now);
  fixture.now += seconds(5);
  fixture.coordinator.onNotes(waiting, fixture.now);
  CHECK(actionsOfType<NotifyTraffic>(fixture.coordinator.takeActions()).empty());
  fixture.advance(milliseconds(600));
  fixture.coordinator.onNotes(toNotes(crashesOf(1, 3, fixture.now - seconds(6)), fixture.now), fixture.now);
  const auto received = actionsOfType<NotifyTraffic>(fixture.coordinator.takeActions());
  REQUIRE(received.size() == 1);
  CHECK(received.front().update.crashes.back().crashed_at <= fixture.now - seconds(6));
}

TEST_CASE("a gateway without evidence requests it from the sender of a digest with evidence",
          "[gateway_control][crash_suspects]") {
  CrashFixture fixture;
  fixture.coordinator.onDigest("a", CrashDigest{7}, fixture.now);
  const auto sent = actionsOfType<SendCrashMessage>(fixture.coordinator.takeActions());
  REQUIRE(sent.size() == 1);
  CHECK(sent.front().member == "a");
  const auto* digest = std::get_if<CrashDigest>(&sent.front().message);
  REQUIRE(digest != nullptr);
  CHECK(digest->digest == 0);
  fixture.coordinator.onDigest("a", CrashDigest{0}, fixture.now);  // Neither has evidence.
  CHECK(fixture.coordinator.takeActions().empty());
}

// A harmless request that ran beside a poison request three times is quarantined, and then cleared by an
// attempt that ends with a complete response. If the store's record still named it, gateways that start after
// all have been killed would reject it until the quarantine expires.
TEST_CASE("a cleared request is removed from the record", "[gateway_control][crash_suspects]") {
  CrashFixture fixture;
  fixture.coordinator.onRecordRead(StoredRecord{}, fixture.now);
  fixture.coordinator.takeActions();
  fixture.coordinator.onOwnUpdate(crashesOf(1, 3, fixture.now), {}, fixture.now);
  fixture.coordinator.onRecordRead(StoredRecord{}, fixture.now);
  auto calls = actionsOfType<CallStore>(fixture.coordinator.takeActions());
  REQUIRE(calls.size() == 2);
  const std::string recorded = calls.back().call.text;
  fixture.coordinator.onRecordWritten(true, fixture.now);
  fixture.coordinator.takeActions();

  fixture.now += seconds(1);
  CrashUpdate cleared;
  SECTION("by a complete response") {
    cleared.cleared.push_back({{1, 1}, fixture.now});
  }
  SECTION("by evidence that all its back ends are live") {
    for (const CrashEvidence& crash : crashesOf(1, 3, fixture.now - seconds(1)).crashes) {
      cleared.signs_of_life.push_back({crash.backend, crash.crashed_at});
    }
  }
  fixture.coordinator.onOwnUpdate(cleared, {}, fixture.now);
  calls = actionsOfType<CallStore>(fixture.coordinator.takeActions());
  REQUIRE(calls.size() == 1);
  CHECK(calls.front().call.kind == RecordCall::Kind::read);
  fixture.coordinator.onRecordRead(StoredRecord{recorded, 1, seconds(1)}, fixture.now);
  calls = actionsOfType<CallStore>(fixture.coordinator.takeActions());
  REQUIRE(calls.size() == 1);
  CHECK(calls.front().call.kind == RecordCall::Kind::write);
  const DecodedFrame frame = decodeFrame(calls.front().call.text);
  REQUIRE(frame.message);
  CHECK(std::get<CrashNotes>(*frame.message).crashes.empty());
}

// A gateway that was stopped while a request was cleared keeps its evidence. The others hold no evidence
// then, but have to respond to its digest with the clearance.
TEST_CASE("a gateway that has only clearances sends them in response to a digest",
          "[gateway_control][crash_suspects]") {
  CrashFixture fixture;
  fixture.coordinator.onOwnUpdate(crashesOf(1, 1, fixture.now), {}, fixture.now);
  CrashUpdate cleared;
  cleared.cleared.push_back({{1, 1}, fixture.now});
  fixture.coordinator.onOwnUpdate(cleared, {}, fixture.now);
  REQUIRE(fixture.coordinator.digest() == 0);
  fixture.coordinator.takeActions();
  fixture.coordinator.onDigest("a", CrashDigest{7}, fixture.now);
  bool received = false;
  for (const SendCrashMessage& sent : actionsOfType<SendCrashMessage>(fixture.coordinator.takeActions())) {
    const auto* notes = std::get_if<CrashNotes>(&sent.message);
    received = received || (notes != nullptr && notes->cleared.size() == 1);
  }
  CHECK(received);
}

// Of three crashes under one request, one gateway observes one and another gateway two. If all gateways
// reject the request but none writes it to the store's record, it crashes three more engines after all
// gateways have been killed.
TEST_CASE("a quarantine that several gateways saw in part is recorded", "[gateway_control][crash_suspects]") {
  CrashFixture fixture;
  fixture.coordinator.onRecordRead(StoredRecord{}, fixture.now);
  fixture.coordinator.takeActions();
  const CrashUpdate all = crashesOf(1, 3, fixture.now);
  CrashUpdate own;
  own.crashes = {all.crashes[0]};
  CrashUpdate received;
  received.crashes = {all.crashes[1], all.crashes[2]};
  fixture.coordinator.onOwnUpdate(own, {"a"}, fixture.now);
  fixture.coordinator.takeActions();
  fixture.coordinator.onNotes(toNotes(received, fixture.now), fixture.now);
  CHECK(actionsOfType<CallStore>(fixture.coordinator.takeActions()).size() == 1);
}

// All observers of a quarantined request learn of the quarantine at about the same time. If each of them
// wrote the record, the writes would conflict; if only the first of them did, nobody would record the request
// after that gateway has crashed.
TEST_CASE("observers of later crashes leave the record to the first one and check it after a delay",
          "[gateway_control][crash_suspects]") {
  CrashFixture fixture;
  fixture.coordinator.onRecordRead(StoredRecord{}, fixture.now);
  fixture.coordinator.takeActions();
  const CrashUpdate all = crashesOf(1, 3, fixture.now);
  CrashUpdate own;
  own.crashes = {all.crashes[1]};
  CrashUpdate received;
  received.crashes = {all.crashes[0], all.crashes[2]};
  fixture.coordinator.onOwnUpdate(own, {"a"}, fixture.now);
  fixture.coordinator.takeActions();
  fixture.coordinator.onNotes(toNotes(received, fixture.now), fixture.now);
  CHECK(actionsOfType<CallStore>(fixture.coordinator.takeActions()).empty());

  fixture.now += milliseconds(300);
  fixture.coordinator.onTimer({"a"}, fixture.now);
  auto calls = actionsOfType<CallStore>(fixture.coordinator.takeActions());
  REQUIRE(calls.size() == 1);
  CHECK(calls.front().call.kind == RecordCall::Kind::read);
  SECTION("the first observer has recorded the request") {
    const std::string recorded = encodeFrame(toNotes(all, fixture.now));
    fixture.coordinator.onRecordRead(StoredRecord{recorded, 1, Duration(0)}, fixture.now);
    CHECK(actionsOfType<CallStore>(fixture.coordinator.takeActions()).empty());
  }
  SECTION("the first observer crashed before") {
    fixture.coordinator.onRecordRead(StoredRecord{}, fixture.now);
    calls = actionsOfType<CallStore>(fixture.coordinator.takeActions());
    REQUIRE(calls.size() == 1);
    CHECK(calls.front().call.kind == RecordCall::Kind::write);
  }
}

// Every gateway receives the evidence against a quarantined request. A call to the store by each of them
// would be hundreds of calls at once in a large fleet.
TEST_CASE("a gateway that observed none of the crashes makes no call to the store",
          "[gateway_control][crash_suspects]") {
  CrashFixture fixture;
  fixture.coordinator.onRecordRead(StoredRecord{}, fixture.now);
  fixture.coordinator.takeActions();
  fixture.coordinator.onNotes(toNotes(crashesOf(1, 3, fixture.now), fixture.now), fixture.now);
  CHECK(actionsOfType<CallStore>(fixture.coordinator.takeActions()).empty());
  fixture.now += seconds(4);
  fixture.coordinator.onTimer({"a"}, fixture.now);
  CHECK(actionsOfType<CallStore>(fixture.coordinator.takeActions()).empty());
}
