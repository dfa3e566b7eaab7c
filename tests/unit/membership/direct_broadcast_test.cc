#include "membership/direct_broadcast.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "membership/membership.h"

using namespace crankspur;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart(1h);
constexpr int kRouters = 340;
constexpr int kRegions = 4;

MemberRecord router(int index) {
  MemberRecord record;
  record.name = fmt::format("router-{}", index);
  record.address = record.name + ":1";
  record.region = fmt::format("region-{}", index % kRegions);
  return record;
}

/// Node 0, with all other nodes seeded from the machine list.
std::unique_ptr<Membership> makeNode() {
  auto node = makeMembership(router(0), {}, 1, kStart);
  std::vector<MemberRecord> machines;
  for (int index = 1; index < kRouters; ++index) machines.push_back(router(index));
  node->seed(machines, kStart);
  node->takeOutgoing();
  return node;
}

/// @return receivers of direct messages that carry a record of the engine.
std::set<std::string> receiversOf(Membership& node, const std::string& engine) {
  std::set<std::string> receivers;
  for (const OutgoingGossip& gossip : node.takeOutgoing()) {
    const auto* message = std::get_if<PingAck>(&gossip.message);
    if (message == nullptr || message->sequence != 0) continue;
    for (const EngineRecord& record : message->engines) {
      if (record.name == engine) receivers.insert(gossip.member);
    }
  }
  return receivers;
}

}  // namespace

TEST_CASE("a directly announced record is sent to all of the region and two members of each other region",
          "[direct_facts]") {
  const auto node = makeNode();
  node->announceEngineDirectly({"engine-1", 7, true, false}, kStart);
  std::map<std::string, int> by_region;
  for (const std::string& name : receiversOf(*node, "engine-1")) {
    ++by_region[router(std::stoi(name.substr(name.find('-') + 1))).region];
  }
  CHECK(by_region["region-0"] == kRouters / kRegions - 1);
  for (const char* region : {"region-1", "region-2", "region-3"}) CHECK(by_region[region] == 2);
}

TEST_CASE("further records wait for the byte rate and are then sent in one message", "[direct_facts]") {
  const auto node = makeNode();
  node->announceEngineDirectly({"engine-1", 7, true, false}, kStart);
  node->takeOutgoing();
  node->announceEngineDirectly({"engine-2", 7, true, false}, kStart + 10ms);
  node->announceEngineDirectly({"engine-3", 7, true, false}, kStart + 20ms);
  CHECK(receiversOf(*node, "engine-2").empty());
  // One record to 90 receivers uses 3 s of the rate of 4,000 bytes per second.
  TimePoint now = kStart + 20ms;
  std::set<std::string> second;
  while (second.empty() && now < kStart + 10s) {
    now = std::max(now, node->nextTimer());
    node->onTimer(now);
    for (const OutgoingGossip& gossip : node->takeOutgoing()) {
      const auto* message = std::get_if<PingAck>(&gossip.message);
      if (message != nullptr && message->engines.size() == 2) second.insert(gossip.member);
    }
  }
  CHECK(second.size() == kRouters / kRegions - 1 + 2 * (kRegions - 1));
  CHECK(now - kStart > 2s);
  CHECK(now - kStart < 4s);
}

TEST_CASE("a receiver applies the record and disseminates it", "[direct_facts]") {
  const auto receiver = makeMembership(router(1), {}, 2, kStart);
  receiver->seed({router(0)}, kStart);
  PingAck message;
  message.sender = "router-0";
  message.engines = {{"engine-1", 7, true, false}};
  receiver->onAck(message, kStart);
  const auto changes = receiver->takeEngineChanges();
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].leaving);
  receiver->onTimer(kStart);
  bool disseminated = false;
  for (const OutgoingGossip& gossip : receiver->takeOutgoing()) {
    if (const auto* ping = std::get_if<Ping>(&gossip.message))
      disseminated = disseminated || !ping->engines.empty();
  }
  CHECK(disseminated);
}
