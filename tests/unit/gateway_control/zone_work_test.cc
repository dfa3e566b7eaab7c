#include "gateway_control/zone_work.h"

#include <catch2/catch.hpp>
#include <map>

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow(1h);

LoadDigest digestOf(std::vector<EngineLoad> loads) {
  LoadDigest digest;
  digest.loads = std::move(loads);
  return digest;
}

EngineLoad load(std::uint64_t engine, std::uint32_t tokens, std::uint32_t running) {
  return {"", engine, tokens, running, 0};
}

MemberRecord member(const std::string& name, const std::string& zone) {
  MemberRecord record;
  record.name = name;
  record.zone = zone;
  record.incarnation = 1;
  return record;
}

std::vector<MemberRecord> fleet(const std::map<std::string, int>& sizes) {
  std::vector<MemberRecord> members;
  for (const auto& [zone, size] : sizes) {
    for (int index = 0; index < size; ++index) members.push_back(member(zone + std::to_string(index), zone));
  }
  return members;
}

}  // namespace

TEST_CASE("a zone's work is the sum of its gateways' newest digests", "[zone_work]") {
  ZoneWork work;
  work.onDigest("a", digestOf({load(1, 100, 2), load(2, 7, 1)}), kNow);
  work.onDigest("b", digestOf({load(1, 50, 1)}), kNow);
  work.onDigest("a", digestOf({load(1, 30, 1)}), kNow + 100ms);
  const LoadDigest total = work.total("here", 3, kNow + 100ms);
  CHECK(total.zone == "here");
  CHECK(total.gateways == 3);
  REQUIRE(total.loads.size() == 1);
  CHECK(total.loads[0].engine_incarnation == 1);
  CHECK(total.loads[0].queued_tokens == 80);
  CHECK(total.loads[0].running == 2);
  // The digest of a gateway that died counts no longer.
  CHECK(work.total("here", 3, kNow + 750ms).loads[0].queued_tokens == 30);
}

TEST_CASE("each gateway hears of each other zone from one gateway there", "[zone_work]") {
  for (const auto& sizes : {std::map<std::string, int>{{"x", 18}, {"y", 17}, {"z", 16}},
                            std::map<std::string, int>{{"x", 2}, {"y", 9}, {"z", 1}}}) {
    const std::vector<MemberRecord> members = fleet(sizes);
    std::map<std::string, std::map<std::string, int>> heard;  // by receiver and the teller's zone
    std::size_t most_told = 0;
    for (const MemberRecord& teller : members) {
      const auto receivers = zoneWorkReceivers(members, teller.name);
      most_told = std::max(most_told, receivers.size());
      for (const std::string& receiver : receivers) ++heard[receiver][teller.zone];
    }
    for (const MemberRecord& receiver : members) {
      CHECK_FALSE(heard[receiver.name].contains(receiver.zone));
      CHECK(heard[receiver.name].size() == sizes.size() - 1);
      for (const auto& [zone, count] : heard[receiver.name]) CHECK(count == 1);
    }
    if (sizes.at("x") == 18) CHECK(most_told <= 4);
  }
}

TEST_CASE("a gateway that leaves is neither told nor expected to tell", "[zone_work]") {
  std::vector<MemberRecord> members = fleet({{"x", 2}, {"y", 2}});
  members[2].state = MemberState::Leaving;
  CHECK(zoneWorkReceivers(members, "x0") == std::vector<std::string>{"y1"});
  CHECK(zoneWorkReceivers(members, "x1").empty());
}
