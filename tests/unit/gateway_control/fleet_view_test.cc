#include "gateway_control/fleet_view.h"

#include <catch2/catch.hpp>

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart(1h);

ListedBackend listed(const std::string& id, const std::string& address = "10.0.0.1:80") {
  ListedBackend backend;
  backend.id = id;
  backend.pool = "pool";
  backend.address = address;
  backend.slots = 4;
  backend.models = {{"m", "1", {}}};
  return backend;
}

Backend only(FleetView& fleet, const std::string& id, TimePoint now) {
  for (const Backend& backend : fleet.backends(now)) {
    if (backend.view.name == id) return backend;
  }
  FAIL("no back end " << id);
  return {};
}

EngineState stateOf(FleetView& fleet, const std::string& id, TimePoint now) {
  return only(fleet, id, now).view.state;
}

}  // namespace

TEST_CASE("a back end that drains or is missing from a complete list takes no new requests immediately",
          "[fleet_view]") {
  FleetView fleet;
  fleet.onListed(listed("a"), kStart);
  fleet.onListed(listed("b", "10.0.0.2:80"), kStart);
  CHECK(stateOf(fleet, "a", kStart) == EngineState::Live);
  ListedBackend draining = listed("a");
  draining.draining = true;
  fleet.onListed(draining, kStart + 1s);
  CHECK(stateOf(fleet, "a", kStart + 1s) == EngineState::Leaving);
  fleet.onFullList({"a"}, kStart + 2s);
  CHECK(stateOf(fleet, "b", kStart + 2s) == EngineState::Leaving);
}

TEST_CASE("a back end reported as unresponsive counts as such until it responds or the report expires",
          "[fleet_view][silence]") {
  FleetView fleet;
  fleet.onListed(listed("a"), kStart);
  CHECK(only(fleet, "a", kStart).unresponsive_since == TimePoint{});
  fleet.onUnresponsive("a", kStart + 1s, kStart + 2s);
  CHECK(only(fleet, "a", kStart + 2s).unresponsive_since == kStart + 1s);
  CHECK(only(fleet, "a", kStart + 2s).view.state == EngineState::Live);
  SECTION("response received") {
    CHECK(fleet.onResponsive("a", kStart + 3s));
    CHECK_FALSE(fleet.onResponsive("a", kStart + 3s));
    CHECK(only(fleet, "a", kStart + 3s).unresponsive_since == TimePoint{});
  }
  SECTION("reported again: the first time is kept") {
    fleet.onUnresponsive("a", kStart + 3s, kStart + 3500ms);
    CHECK(only(fleet, "a", kStart + 5s).unresponsive_since == kStart + 1s);
  }
  SECTION("not reported again") {
    const TimePoint expiry = fleet.nextChange(kStart + 2s);
    REQUIRE(expiry < kStart + 10s);
    CHECK(only(fleet, "a", expiry).unresponsive_since == TimePoint{});
  }
}

TEST_CASE("a back end whose entry disappears around a platform failure stays live for a grace period",
          "[fleet_view]") {
  FleetView fleet;
  fleet.onListed(listed("a"), kStart);
  fleet.onListed(listed("b", "10.0.0.2:80"), kStart);
  fleet.onPlatformFailure(kStart + 5s);
  fleet.onFullList({}, kStart + 6s);
  CHECK(stateOf(fleet, "a", kStart + 6s) == EngineState::Live);
  fleet.onListed(listed("a"), kStart + 7s);
  CHECK(fleet.nextChange(kStart + 7s) < kStart + 9s);
  CHECK(stateOf(fleet, "a", kStart + 9s) == EngineState::Live);
  CHECK(stateOf(fleet, "b", kStart + 9s) == EngineState::Leaving);
}

// Each further failure of a call, to the store or another gateway, started the grace period again: a back end
// that had left without an announcement got requests for as long as calls failed.
TEST_CASE("repeated platform failures do not prolong the use of a back end whose entry has disappeared",
          "[fleet_view][departures]") {
  constexpr Duration kDepartureLimit = 2s;
  FleetView fleet;
  fleet.onListed(listed("a"), kStart);
  fleet.onPlatformFailure(kStart + 900ms);
  fleet.onRemoved("a", kStart + 1s);
  for (int failure = 1; failure <= 10; ++failure) fleet.onPlatformFailure(kStart + 1s + failure * 500ms);
  CHECK(stateOf(fleet, "a", kStart + 1s + kDepartureLimit) == EngineState::Leaving);
}

TEST_CASE("the change of an unlisted back end states how long it was kept in use", "[fleet_view]") {
  FleetView fleet;
  fleet.onListed(listed("a"), kStart);
  fleet.onListed(listed("b", "10.0.0.2:80"), kStart);
  fleet.backends(kStart);
  fleet.takeChanges();
  fleet.onRemoved("a", kStart + 1s);
  fleet.backends(kStart + 1s);
  REQUIRE(fleet.takeChanges().size() == 1);
  fleet.onPlatformFailure(kStart + 5s);
  fleet.onRemoved("b", kStart + 6s);
  const TimePoint leaves_at = fleet.nextChange(kStart + 6s);
  fleet.backends(leaves_at);
  const std::vector<FleetChange> changes = fleet.takeChanges();
  REQUIRE(changes.size() == 1);
  CHECK(changes.front().kept == leaves_at - (kStart + 6s));
}

TEST_CASE("a new back end at the same address replaces the previous one", "[fleet_view]") {
  FleetView fleet;
  fleet.onListed(listed("old"), kStart);
  fleet.onListed(listed("new"), kStart + 1s);
  CHECK(stateOf(fleet, "old", kStart + 1s) == EngineState::Dead);
  CHECK(stateOf(fleet, "new", kStart + 1s) == EngineState::Live);
  fleet.onListed(listed("old"), kStart + 2s);
  CHECK(stateOf(fleet, "new", kStart + 2s) == EngineState::Live);
}

// Guards against live back ends that get no requests: the complete list that a new process reads is sorted by
// id, and the entry of a crashed start stays listed for some time beside that of the next one.
TEST_CASE(
    "of two entries at one address the one that was written later is used, in whatever order they are read",
    "[fleet_view]") {
  FleetView fleet;
  ListedBackend ended = listed("ended");
  ended.entry_version = 10;
  ListedBackend restarted = listed("restarted");
  restarted.entry_version = 20;
  const bool ended_is_read_last = GENERATE(true, false);
  fleet.onListed(ended_is_read_last ? restarted : ended, kStart);
  fleet.onListed(ended_is_read_last ? ended : restarted, kStart);
  CHECK(stateOf(fleet, "ended", kStart) == EngineState::Dead);
  CHECK(stateOf(fleet, "restarted", kStart) == EngineState::Live);
  SECTION("the earlier entry is written once more") {
    ended.entry_version = 30;
    fleet.onListed(ended, kStart + 1s);
    CHECK(stateOf(fleet, "restarted", kStart + 1s) == EngineState::Live);
  }
  SECTION("the earlier entry lapses and is listed again") {
    fleet.onRemoved("ended", kStart + 1s);
    fleet.onListed(ended, kStart + 2s);
    CHECK(stateOf(fleet, "ended", kStart + 2s) == EngineState::Dead);
    CHECK(stateOf(fleet, "restarted", kStart + 2s) == EngineState::Live);
  }
}

// Guards against back ends that stay hidden for good: an entry that was taken for a later start at the
// address of a live one was remembered after it had lapsed.
TEST_CASE("a back end is used again once the entry that superseded it is removed", "[fleet_view]") {
  FleetView fleet;
  fleet.onListed(listed("live"), kStart);
  fleet.onListed(listed("mistaken"), kStart);
  CHECK(stateOf(fleet, "live", kStart) == EngineState::Dead);
  fleet.onRemoved("mistaken", kStart + 3s);
  CHECK(stateOf(fleet, "live", kStart + 3s) == EngineState::Live);
  CHECK(stateOf(fleet, "mistaken", kStart + 3s) == EngineState::Leaving);
}

TEST_CASE("observed weights take precedence over a list that lags behind", "[fleet_view]") {
  FleetView fleet;
  fleet.onListed(listed("a"), kStart);
  fleet.onWeights("a", "m", "3", kStart + 1s);
  fleet.onListed(listed("a"), kStart + 2s);
  CHECK(only(fleet, "a", kStart + 2s).view.weightsOf("m") == "3");
  fleet.onListed(listed("a"), kStart + 10s);
  CHECK(only(fleet, "a", kStart + 10s).view.weightsOf("m") == "1");
}

TEST_CASE("an unreachable back end is avoided for longer after each failure", "[fleet_view]") {
  FleetView fleet;
  fleet.onListed(listed("a"), kStart);
  const EngineView view = only(fleet, "a", kStart).view;
  TimePoint now = kStart;
  Duration avoided{0};
  for (int failure = 0; failure < 3; ++failure) {
    fleet.onUnreachable(view.slot, view.incarnation, now);
    CHECK(stateOf(fleet, "a", now) == EngineState::Ejected);
    const TimePoint back = fleet.nextChange(now);
    CHECK(back - now > avoided);
    avoided = back - now;
    now = back;
    CHECK(stateOf(fleet, "a", now) == EngineState::Live);
  }
  fleet.onUnreachable(view.slot, view.incarnation + 1, now);
  CHECK(stateOf(fleet, "a", now) == EngineState::Live);
}

TEST_CASE("the slot of a removed back end is reused only after a delay", "[fleet_view]") {
  FleetView fleet;
  fleet.onListed(listed("a"), kStart);
  const EngineSlot slot = only(fleet, "a", kStart).view.slot;
  fleet.onRemoved("a", kStart);
  CHECK(fleet.backends(kStart + 31s).empty());
  fleet.onListed(listed("b"), kStart + 32s);
  CHECK(only(fleet, "b", kStart + 32s).view.slot != slot);
  fleet.onListed(listed("c", "10.0.0.3:80"), kStart + 11min);
  CHECK(only(fleet, "c", kStart + 11min).view.slot == slot);
}

TEST_CASE("a store from the configuration stays live although the platform does not list it",
          "[fleet_view]") {
  FleetView fleet;
  ListedBackend store = listed("store", "10.0.0.9:80");
  store.is_kv_store = true;
  fleet.onListed(store, kStart);
  fleet.onListed(listed("a"), kStart);
  fleet.onFullList({"a"}, kStart + 1s);
  CHECK(stateOf(fleet, "store", kStart + 2s) == EngineState::Live);
  CHECK(only(fleet, "store", kStart + 2s).is_kv_store);
  fleet.onRemoved("store", kStart + 3s);
  CHECK(stateOf(fleet, "store", kStart + 3s) == EngineState::Leaving);
}
