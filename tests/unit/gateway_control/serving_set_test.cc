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

/// A fleet of three zones as seen by one gateway. By default each zone has two gateways of high capacity and
/// eighteen of low capacity.
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

  /// Advances the time; serving gateways that are not muted send notices.
  void run(Duration time) {
    for (const TimePoint end = now + time; now < end; now += kServingRefreshInterval) {
      for (const std::string& name : set.serving()) {
        if (!muted.contains(name)) set.onNotice(name, notices[name], now);
      }
      set.refresh(now);
    }
  }

  std::size_t servingCount(const std::string& zone) const { return set.servingInZone(zone).size(); }
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

TEST_CASE("the gateways of highest capacity serve in each zone", "[serving_set]") {
  const Fleet fleet;
  CHECK(fleet.set.serving().size() == 6);
  for (const std::string zone : {"a", "b", "c"}) {
    CHECK(fleet.serves(zone + "-strong-0"));
    CHECK(fleet.serves(zone + "-strong-1"));
    for (const std::string& name : fleet.set.servingInZone(zone)) CHECK(name.front() == zone.front());
  }
}

TEST_CASE("all members compute the same set if capacities are equal", "[serving_set]") {
  Fleet fleet(0, 20);
  ServingSet other("b-weak-3", ServingOptions());
  std::vector<MemberRecord> records;
  for (auto found = fleet.members.rbegin(); found != fleet.members.rend(); ++found) {
    records.push_back(found->second);
  }
  other.onMembers(records, fleet.now);
  CHECK(fleet.set.serving() == other.serving());
  CHECK(fleet.servingCount("b") == 2);
}

TEST_CASE("a gateway that membership has removed and that sends no notices does not serve", "[serving_set]") {
  Fleet fleet;
  fleet.run(2s);
  fleet.members.erase("b-strong-1");
  fleet.muted.insert("b-strong-1");
  fleet.updateMembers();
  fleet.run(4s);
  fleet.updateMembers();
  CHECK(fleet.servingCount("b") == 2);
  CHECK_FALSE(fleet.serves("b-strong-1"));
}

TEST_CASE("a gateway that sends notices continues to serve although membership removed it", "[serving_set]") {
  Fleet fleet;
  fleet.run(2s);
  fleet.members.erase("b-strong-1");
  fleet.updateMembers();
  CHECK(fleet.serves("b-strong-1"));
  fleet.run(2s);
  CHECK(fleet.serves("b-strong-1"));
}

TEST_CASE("a gateway whose notices stop is excluded before membership removes it", "[serving_set]") {
  Fleet fleet;
  fleet.run(3s);
  fleet.muted.insert("a-strong-1");
  fleet.run(1'600ms);
  CHECK_FALSE(fleet.serves("a-strong-1"));
  CHECK(fleet.servingCount("a") == 2);
  SECTION("and serves again after its notices resume") {
    fleet.muted.clear();
    fleet.set.onNotice("a-strong-1", {}, fleet.now);
    fleet.run(400ms);
    CHECK_FALSE(fleet.serves("a-strong-1"));
    fleet.run(4s);
    CHECK(fleet.serves("a-strong-1"));
  }
}

TEST_CASE("a gateway that receives no notices does not exclude all others", "[serving_set]") {
  Fleet fleet;
  fleet.run(3s);
  const std::vector<std::string> before = fleet.set.serving();
  for (const std::string& name : before) {
    if (name != kOwn) fleet.muted.insert(name);
  }
  fleet.run(1'200ms);  // No notice is current by now, and no timeout is recorded.
  for (int step = 0; step < 30; ++step) {
    fleet.now += kServingRefreshInterval;
    fleet.set.onNotice(kOwn, {}, fleet.now);
    fleet.set.refresh(fleet.now);
  }
  CHECK(fleet.set.serving() == before);
}

TEST_CASE("the notice of a suspected gateway takes precedence over the suspicion", "[serving_set]") {
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
  CHECK(fleet.servingCount("c") == 2);
}

TEST_CASE("a gateway that shuts down is excluded immediately", "[serving_set]") {
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
  CHECK(fleet.servingCount("a") == 2);
}

TEST_CASE("a zone without gateways uses those of the other zones", "[serving_set]") {
  Fleet fleet;
  std::erase_if(fleet.members, [](const auto& item) { return item.second.zone == "c"; });
  fleet.updateMembers();
  CHECK(fleet.set.servingInZone("c") == fleet.set.serving());
  CHECK(fleet.set.servingInZone("") == fleet.set.serving());
}

TEST_CASE("the set grows with the reported traffic and shrinks after a delay", "[serving_set]") {
  Fleet fleet;
  for (const std::string name : {"a-strong-0", "a-strong-1"}) fleet.notices[name].requests_per_second = 190;
  fleet.run(1s);
  CHECK(fleet.servingCount("a") == 2);
  CHECK(fleet.servingCount("b") == 2);
  // 600 requests per second for a moment change nothing. Sustained, they exceed the capacity of two strong
  // gateways and of ten weak ones.
  for (const std::string name : {"a-strong-0", "a-strong-1"}) fleet.notices[name].requests_per_second = 300;
  fleet.run(400ms);
  CHECK(fleet.servingCount("a") == 2);
  fleet.run(1'600ms);
  CHECK(fleet.servingCount("a") > 10);
  CHECK(fleet.servingCount("b") == 2);
  for (auto& [name, notice] : fleet.notices) notice.requests_per_second = 20;
  fleet.run(4s);
  CHECK(fleet.servingCount("a") > 10);
  fleet.run(40s);
  CHECK(fleet.servingCount("a") == 2);
}

TEST_CASE("a set whose gateways are all overloaded grows within seconds and shrinks slowly",
          "[serving_set]") {
  Fleet fleet(0, 20);
  fleet.run(1s);
  const std::vector<std::string> first = fleet.set.servingInZone("a");
  for (const std::string& name : first) fleet.notices[name] = {40, true, false};
  fleet.run(2s);
  const std::size_t grown = fleet.servingCount("a");
  CHECK(grown > 2);
  CHECK(grown <= 6);
  for (auto& [name, notice] : fleet.notices) notice.pressed = false;
  fleet.run(4s);
  CHECK(fleet.servingCount("a") >= grown);
  CHECK(fleet.servingCount("a") <= 6);
  fleet.run(60s);
  CHECK(fleet.servingCount("a") == 2);
}

TEST_CASE("a gateway that alone is overloaded is replaced while it is", "[serving_set]") {
  Fleet fleet;
  fleet.run(1s);
  fleet.notices["a-strong-1"] = {30, true, false};
  fleet.run(1s);
  CHECK_FALSE(fleet.serves("a-strong-1"));
  CHECK(fleet.servingCount("a") == 2);
  // Without clients it is not overloaded any more, which does not prove that it has recovered.
  fleet.set.onNotice("a-strong-1", {0, false, false}, fleet.now);
  fleet.run(2s);
  CHECK_FALSE(fleet.serves("a-strong-1"));
  fleet.notices["a-strong-1"] = {};
  fleet.run(4s);
  CHECK(fleet.serves("a-strong-1"));
}
