#include "gateway_control/serving_set.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "gateway_control/serving_timings.h"

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kStrong = 250;
constexpr std::uint32_t kWeak = 50;
const std::string kOwn = "a-strong-0";

/// A fleet of three zones, each with two strong gateways and eighteen weak ones, as one of them sees it.
class Fleet {
public:
  explicit Fleet(std::size_t strong = 2, std::size_t weak = 18) : set(kOwn, ServingOptions()) {
    for (const std::string zone : {"a", "b", "c"}) {
      for (std::size_t index = 0; index < strong; ++index) add(zone, "strong", index, kStrong);
      for (std::size_t index = 0; index < weak; ++index) add(zone, "weak", index, kWeak);
    }
    updateMembers();
  }

  void add(const std::string& zone, const std::string& kind, std::size_t index, std::uint32_t capacity) {
    MemberRecord record;
    record.name = zone + "-" + kind + "-" + std::to_string(index);
    record.zone = zone;
    record.incarnation = 7;
    record.capacity = capacity;
    members[record.name] = record;
  }

  void updateMembers() {
    std::vector<MemberRecord> records;
    for (const auto& [name, record] : members) records.push_back(record);
    set.onMembers(records, now);
  }

  /// Lets time pass; those that serve and are not muted tell so.
  void run(Duration time) {
    for (const TimePoint end = now + time; now < end; now += kServingRefreshInterval) {
      for (const std::string& name : set.serving()) {
        if (!muted.contains(name)) set.onNotice(name, notices[name], now);
      }
      set.refresh(now);
    }
  }

  std::size_t widthOf(const std::string& zone) const { return set.servingInZone(zone).size(); }
  bool serves(const std::string& name) const { return set.serves(name); }

  TimePoint now{1h};
  std::map<std::string, MemberRecord> members;
  std::map<std::string, ServingNotice> notices;
  std::set<std::string> muted;
  ServingSet set;
};

}  // namespace

TEST_CASE("in a small fleet all gateways serve", "[serving_set]") {
  Fleet fleet(2, 2);
  CHECK(fleet.set.allServe());
  for (const auto& [name, record] : fleet.members) CHECK(fleet.serves(name));
  Fleet larger(2, 3);
  CHECK_FALSE(larger.set.allServe());
}

TEST_CASE("the strongest gateways of each zone serve", "[serving_set]") {
  const Fleet fleet;
  CHECK(fleet.set.serving().size() == 6);
  for (const std::string zone : {"a", "b", "c"}) {
    CHECK(fleet.serves(zone + "-strong-0"));
    CHECK(fleet.serves(zone + "-strong-1"));
    for (const std::string& name : fleet.set.servingInZone(zone)) CHECK(name.front() == zone.front());
  }
}

TEST_CASE("gateways of equal strength work out the same set", "[serving_set]") {
  Fleet one(0, 20);
  ServingSet other("b-weak-3", ServingOptions());
  std::vector<MemberRecord> records;
  for (auto found = one.members.rbegin(); found != one.members.rend(); ++found) {
    records.push_back(found->second);
  }
  other.onMembers(records, one.now);
  CHECK(one.set.serving() == other.serving());
  CHECK(one.widthOf("b") == 2);
}

TEST_CASE("a gateway that membership has lost serves no longer", "[serving_set]") {
  Fleet fleet;
  fleet.run(2s);
  fleet.members.erase("b-strong-1");
  fleet.muted.insert("b-strong-1");
  fleet.updateMembers();
  fleet.run(4s);
  fleet.updateMembers();
  CHECK(fleet.widthOf("b") == 2);
  CHECK_FALSE(fleet.serves("b-strong-1"));
}

TEST_CASE("a gateway whose notices come serves on though membership calls it dead", "[serving_set]") {
  Fleet fleet;
  fleet.run(2s);
  fleet.members.erase("b-strong-1");
  fleet.updateMembers();
  CHECK(fleet.serves("b-strong-1"));
  fleet.run(2s);
  CHECK(fleet.serves("b-strong-1"));
}

TEST_CASE("a gateway that falls silent is passed over before membership has lost it", "[serving_set]") {
  Fleet fleet;
  fleet.run(3s);
  fleet.muted.insert("a-strong-1");
  fleet.run(1'600ms);
  CHECK_FALSE(fleet.serves("a-strong-1"));
  CHECK(fleet.widthOf("a") == 2);
  SECTION("and serves again once it tells something") {
    fleet.muted.clear();
    fleet.set.onNotice("a-strong-1", {}, fleet.now);
    fleet.run(400ms);
    CHECK_FALSE(fleet.serves("a-strong-1"));
    fleet.run(4s);
    CHECK(fleet.serves("a-strong-1"));
  }
}

TEST_CASE("a gateway that hears nobody does not take all others for dead", "[serving_set]") {
  Fleet fleet;
  fleet.run(3s);
  const std::vector<std::string> before = fleet.set.serving();
  for (const std::string& name : before) {
    if (name != kOwn) fleet.muted.insert(name);
  }
  fleet.run(1'200ms);  // No longer heard by now, and silence is not concluded.
  for (int step = 0; step < 30; ++step) {
    fleet.now += kServingRefreshInterval;
    fleet.set.onNotice(kOwn, {}, fleet.now);
    fleet.set.refresh(fleet.now);
  }
  CHECK(fleet.set.serving() == before);
}

TEST_CASE("what a suspected gateway tells itself goes before the suspicion", "[serving_set]") {
  Fleet fleet;
  fleet.run(1s);
  fleet.members["b-strong-0"].state = MemberState::Suspect;
  fleet.updateMembers();
  CHECK(fleet.serves("b-strong-0"));
  fleet.members["c-weak-0"].state = MemberState::Suspect;
  fleet.members["c-strong-0"].state = MemberState::Suspect;
  fleet.muted.insert("c-strong-0");
  fleet.updateMembers();
  fleet.run(4s);
  CHECK_FALSE(fleet.serves("c-strong-0"));
  CHECK_FALSE(fleet.serves("c-weak-0"));
  CHECK(fleet.widthOf("c") == 2);
}

TEST_CASE("a gateway that stops is left out at once", "[serving_set]") {
  Fleet fleet;
  fleet.run(1s);
  ServingNotice leaving;
  leaving.leaving = true;
  fleet.set.onNotice("a-strong-1", leaving, fleet.now);
  fleet.set.refresh(fleet.now);
  CHECK_FALSE(fleet.serves("a-strong-1"));
  fleet.set.leave();
  fleet.set.refresh(fleet.now);
  CHECK_FALSE(fleet.serves(kOwn));
  CHECK(fleet.widthOf("a") == 2);
}

TEST_CASE("a zone that has lost all its gateways uses those of the others", "[serving_set]") {
  Fleet fleet;
  std::erase_if(fleet.members, [](const auto& item) { return item.second.zone == "c"; });
  fleet.updateMembers();
  CHECK(fleet.set.servingInZone("c") == fleet.set.serving());
  CHECK(fleet.set.servingInZone("") == fleet.set.serving());
}

TEST_CASE("as many serve as the traffic told needs, and for a while more", "[serving_set]") {
  Fleet fleet;
  for (const std::string name : {"a-strong-0", "a-strong-1"}) fleet.notices[name].requests_per_second = 190;
  fleet.run(1s);
  CHECK(fleet.widthOf("a") == 2);
  CHECK(fleet.widthOf("b") == 2);
  // A moment's 600 a second change nothing. For longer they are more than two strong ones carry, and ten weak
  // ones.
  for (const std::string name : {"a-strong-0", "a-strong-1"}) fleet.notices[name].requests_per_second = 300;
  fleet.run(400ms);
  CHECK(fleet.widthOf("a") == 2);
  fleet.run(1'600ms);
  CHECK(fleet.widthOf("a") > 10);
  CHECK(fleet.widthOf("b") == 2);
  for (auto& [name, notice] : fleet.notices) notice.requests_per_second = 20;
  fleet.run(4s);
  CHECK(fleet.widthOf("a") > 10);
  fleet.run(40s);
  CHECK(fleet.widthOf("a") == 2);
}

TEST_CASE("a set whose gateways all fall behind widens within seconds and narrows slowly", "[serving_set]") {
  Fleet fleet(0, 20);
  fleet.run(1s);
  const std::vector<std::string> first = fleet.set.servingInZone("a");
  for (const std::string& name : first) fleet.notices[name] = {40, true, false};
  fleet.run(2s);
  const std::size_t widened = fleet.widthOf("a");
  CHECK(widened > 2);
  CHECK(widened <= 6);
  for (auto& [name, notice] : fleet.notices) notice.pressed = false;
  fleet.run(4s);
  CHECK(fleet.widthOf("a") >= widened);
  CHECK(fleet.widthOf("a") <= 6);
  fleet.run(60s);
  CHECK(fleet.widthOf("a") == 2);
}

TEST_CASE("a gateway that falls behind alone is replaced while it does", "[serving_set]") {
  Fleet fleet;
  fleet.run(1s);
  fleet.notices["a-strong-1"] = {30, true, false};
  fleet.run(1s);
  CHECK_FALSE(fleet.serves("a-strong-1"));
  CHECK(fleet.widthOf("a") == 2);
  // Without clients it no longer falls behind, which proves nothing yet.
  fleet.set.onNotice("a-strong-1", {0, false, false}, fleet.now);
  fleet.run(2s);
  CHECK_FALSE(fleet.serves("a-strong-1"));
  fleet.notices["a-strong-1"] = {};
  fleet.run(4s);
  CHECK(fleet.serves("a-strong-1"));
}
