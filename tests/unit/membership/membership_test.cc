#include "membership/membership.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include "membership/engine_record_table.h"
#include "membership/state_exchange.h"

using namespace crankspur;
using namespace std::chrono_literals;

namespace {

/// Delivers gossip between nodes on a virtual clock.
class VirtualNetwork {
public:
  explicit VirtualNetwork(MembershipOptions options = {}) : options_(options) {}

  void start(const std::string& name, const std::string& zone, const std::vector<std::string>& seeds) {
    MemberRecord self{name, name, zone, "region", 1000 + ++starts_, MemberState::Alive, 0};
    nodes_[name] = makeMembership(self, options_, starts_, now_);
    std::vector<MemberRecord> machines;
    for (const std::string& seed : seeds) machines.push_back({seed, seed, zoneOf(seed), "region"});
    nodes_[name]->seed(machines, now_);
    setTimer(name, now_);
    zones_[name] = zone;
  }
  void stop(const std::string& name) {
    nodes_.erase(name);
    due_.erase({timers_.at(name), name});
    timers_.erase(name);
  }
  Membership& node(const std::string& name) { return *nodes_.at(name); }
  TimePoint now() const { return now_; }

  /// Runs until the condition holds or `limit` has passed. @return the elapsed time if the condition held.
  std::optional<Duration> runUntil(Duration limit, const std::function<bool()>& condition) {
    const TimePoint start = now_;
    while (now_ - start < limit) {
      if (condition()) return now_ - start;
      step();
    }
    return std::nullopt;
  }
  void run(Duration time) {
    runUntil(time, [] { return false; });
  }
  bool allSee(const std::function<bool(const MemberRecord&)>& counts, std::size_t wanted) {
    const auto passes = [&](const Membership& node) {
      std::size_t seen = 0;
      for (const MemberRecord& member : node.liveMembers()) seen += counts(member) ? 1 : 0;
      return seen == wanted;
    };
    // The node that failed the last check most likely still fails it, so it is checked first.
    const auto last_failed = nodes_.find(last_failed_);
    if (last_failed != nodes_.end() && !passes(*last_failed->second)) return false;
    const auto failed =
        std::find_if(nodes_.begin(), nodes_.end(), [&](const auto& node) { return !passes(*node.second); });
    if (failed != nodes_.end()) last_failed_ = failed->first;
    return failed == nodes_.end();
  }
  bool allSeeLive(std::size_t wanted) {
    return allSee([](const MemberRecord& member) { return member.state == MemberState::Alive; }, wanted);
  }

  std::function<bool(const std::string& from, const std::string& to)> is_blocked = [](auto&, auto&) {
    return false;
  };
  std::size_t messages = 0;
  std::size_t bytes = 0;
  std::size_t largest_records = 0;

private:
  static constexpr Duration kDelay = 2ms;

  struct Delivery {
    TimePoint at;
    std::string from;
    OutgoingGossip gossip;
  };

  std::string zoneOf(const std::string& name) const {
    const auto found = zones_.find(name);
    return found == zones_.end() ? "" : found->second;
  }
  static std::size_t estimateBytes(const std::vector<MemberRecord>& members, std::size_t engines) {
    std::size_t total = 24 + engines * 24;
    for (const MemberRecord& member : members) {
      total += member.name.size() + member.address.size() + member.zone.size() + member.region.size() + 24;
    }
    return total;
  }
  void collect(const std::string& from) {
    Membership& node = *nodes_.at(from);
    setTimer(from, node.nextTimer());
    for (OutgoingGossip& gossip : node.takeOutgoing()) {
      const auto measure = [this](const auto& message) {
        largest_records = std::max(largest_records, message.members.size());
        bytes += estimateBytes(message.members, message.engines.size());
      };
      std::visit(measure, gossip.message);
      ++messages;
      if (!is_blocked(from, gossip.member)) deliveries_.push_back({now_ + kDelay, from, std::move(gossip)});
    }
  }
  void setTimer(const std::string& name, TimePoint at) {
    const auto [timer, added] = timers_.try_emplace(name, at);
    if (!added) due_.erase({timer->second, name});
    timer->second = at;
    due_.insert({at, name});
  }
  void step() {
    TimePoint next = deliveries_.empty() ? now_ + 50ms : deliveries_.front().at;
    if (!due_.empty()) next = std::min(next, due_.begin()->first);
    now_ = std::max(now_, next);
    while (!deliveries_.empty() && deliveries_.front().at <= now_) {
      const Delivery delivery = std::move(deliveries_.front());
      deliveries_.pop_front();
      deliver(delivery);
    }
    std::vector<std::string> due;
    for (auto timer = due_.begin(); timer != due_.end() && timer->first <= now_; ++timer) {
      due.push_back(timer->second);
    }
    std::sort(due.begin(), due.end());
    for (const std::string& name : due) {
      nodes_.at(name)->onTimer(now_);
      collect(name);
    }
  }
  void deliver(const Delivery& delivery) {
    const auto found = nodes_.find(delivery.gossip.member);
    if (found == nodes_.end()) return;
    if (const auto* ping = std::get_if<Ping>(&delivery.gossip.message)) {
      found->second->onPing(*ping, delivery.from, now_);
    } else {
      found->second->onAck(std::get<PingAck>(delivery.gossip.message), now_);
    }
    collect(delivery.gossip.member);
  }

  MembershipOptions options_;
  TimePoint now_{1h};
  std::uint64_t starts_ = 0;
  std::map<std::string, std::unique_ptr<Membership>> nodes_;
  std::map<std::string, std::string> zones_;
  std::map<std::string, TimePoint> timers_;
  std::set<std::pair<TimePoint, std::string>> due_;  ///< The timers, ordered by time.
  std::deque<Delivery> deliveries_;  ///< The delay is constant, so they are in order of arrival.
  std::string last_failed_;
};

std::string nameOf(int index) {
  return "router-" + std::to_string(index);
}
std::string zoneOf(int index) {
  return "zone-" + std::to_string(index % 4);
}

void startAll(VirtualNetwork& network, int count) {
  for (int index = 0; index < count; ++index) network.start(nameOf(index), zoneOf(index), {nameOf(0)});
}

}  // namespace

TEST_CASE("forty nodes with one seed discover each other", "[membership]") {
  VirtualNetwork network;
  startAll(network, 40);
  CHECK(network.runUntil(30s, [&] { return network.allSeeLive(40); }).has_value());
}

TEST_CASE("a node that starts before its seed joins soon after the seed becomes reachable", "[membership]") {
  MembershipOptions options;
  options.join_interval = 100ms;
  VirtualNetwork network(options);
  network.start("b", "z1", {});
  bool seed_is_up = false;
  network.is_blocked = [&seed_is_up](auto&, auto&) { return !seed_is_up; };
  network.start("a", "z1", {"b"});
  network.run(230ms);
  seed_is_up = true;
  const auto joined = [&network] { return network.node("b").liveMembers().size() == 2; };
  const std::optional<Duration> time = network.runUntil(1s, joined);
  REQUIRE(time);
  CHECK(*time < 150ms);
}

TEST_CASE("a killed node becomes dead at all nodes and rejoins after its restart", "[membership]") {
  VirtualNetwork network;
  startAll(network, 20);
  REQUIRE(network.runUntil(30s, [&] { return network.allSeeLive(20); }));
  network.stop(nameOf(7));
  const auto time = network.runUntil(30s, [&] { return network.allSeeLive(19); });
  REQUIRE(time.has_value());
  CHECK(*time < 10s);
  network.run(5s);
  CHECK(network.allSeeLive(19));
  network.start(nameOf(7), zoneOf(7), {nameOf(1)});
  CHECK(network.runUntil(30s, [&] { return network.allSeeLive(20); }).has_value());
}

TEST_CASE("partitioned halves mark each other dead and rejoin after an hour within the traffic limit",
          "[membership]") {
  VirtualNetwork network;
  startAll(network, 24);
  REQUIRE(network.runUntil(30s, [&] { return network.allSeeLive(24); }));
  const auto half = [](const std::string& name) { return std::stoi(name.substr(7)) % 2; };
  network.is_blocked = [&](const std::string& from, const std::string& to) { return half(from) != half(to); };
  REQUIRE(network.runUntil(60s, [&] { return network.allSeeLive(12); }));
  network.run(1h);
  CHECK(network.allSeeLive(12));
  network.is_blocked = [](auto&, auto&) { return false; };
  network.bytes = 0;
  const auto time = network.runUntil(3min, [&] { return network.allSeeLive(24); });
  REQUIRE(time.has_value());
  const double bytes_per_node = static_cast<double>(network.bytes) / 24 / toSeconds(*time);
  CHECK(bytes_per_node < 18'000);
}

TEST_CASE("a falsely suspected node refutes the suspicion and stays alive", "[membership]") {
  VirtualNetwork network;
  startAll(network, 10);
  REQUIRE(network.runUntil(30s, [&] { return network.allSeeLive(10); }));
  std::uint64_t incarnation = 0;
  for (const MemberRecord& member : network.node(nameOf(1)).liveMembers()) {
    if (member.name == nameOf(3)) incarnation = member.incarnation;
  }
  Ping false_suspicion;
  false_suspicion.sender = nameOf(2);
  false_suspicion.target = nameOf(1);
  false_suspicion.members.push_back(
      {nameOf(3), nameOf(3), zoneOf(3), "region", incarnation, MemberState::Suspect, 0});
  network.node(nameOf(1)).onPing(false_suspicion, nameOf(2), network.now());
  const auto refuted = [&](const MemberRecord& member) {
    return member.name == nameOf(3) && member.incarnation > incarnation && member.state == MemberState::Alive;
  };
  CHECK(network.runUntil(20s, [&] { return network.allSee(refuted, 1); }).has_value());
  network.run(10s);
  CHECK(network.allSeeLive(10));
}

TEST_CASE("leaving marks, engine records and bundle versions reach all nodes", "[membership]") {
  VirtualNetwork network;
  startAll(network, 30);
  REQUIRE(network.runUntil(30s, [&] { return network.allSeeLive(30); }));
  network.node(nameOf(4)).leave(network.now());
  const auto leaving = [](const MemberRecord& member) { return member.state == MemberState::Leaving; };
  const auto time = network.runUntil(20s, [&] { return network.allSee(leaving, 1); });
  REQUIRE(time.has_value());
  CHECK(*time < 6s);

  network.node(nameOf(5)).announceEngine({"engine-1", 77, true, false}, network.now());
  network.node(nameOf(6)).setBundleVersion(12);
  std::map<std::string, bool> knows;
  const auto all_know = [&] {
    for (int index = 0; index < 30; ++index) {
      if (index == 5) continue;
      for (const EngineRecord& record : network.node(nameOf(index)).takeEngineChanges()) {
        knows[nameOf(index)] = record.name == "engine-1" && record.incarnation == 77 && record.leaving;
      }
    }
    return knows.size() == 29;
  };
  CHECK(network.runUntil(20s, all_know).has_value());
  const auto holder_known = [&] {
    std::size_t known = 0;
    for (int index = 0; index < 30; ++index) {
      const MemberRecord holder = network.node(nameOf(index)).newestBundleHolder();
      known += holder.name == nameOf(6) && holder.bundle_version == 12 ? 1 : 0;
    }
    return known == 30;
  };
  CHECK(network.runUntil(60s, holder_known).has_value());
}

TEST_CASE("an engine record is applied although the previous incarnation was a higher number",
          "[membership]") {
  EngineRecordTable table(2);
  CHECK(table.apply({"engine-1", 900, false, true}));
  CHECK(table.apply({"engine-1", 77, true, false}));
  CHECK_FALSE(table.apply({"engine-1", 77, true, false}));
  REQUIRE(table.find(EngineRecordTable::keyOf({"engine-1", 77, false, false})) != nullptr);
  CHECK(table.find(EngineRecordTable::keyOf({"engine-1", 77, false, false}))->leaving);
  for (std::uint64_t incarnation = 1; incarnation <= 100; ++incarnation) {
    table.apply({"engine-1", incarnation, false, false});
  }
  CHECK(table.all().size() <= 4);
  CHECK(table.apply({"engine-2", 1, false, false}));
  CHECK_FALSE(table.apply({"engine-3", 1, false, false}));
}

TEST_CASE("a record of a whole machine outlasts all its incarnations and follows the newest list",
          "[membership]") {
  EngineRecordTable table(2);
  const EngineRecord mark{"engine-1", kMachineIncarnation, true, false, 10};
  CHECK(table.apply(mark));
  for (std::uint64_t incarnation = 1; incarnation <= 100; ++incarnation) {
    table.apply({"engine-1", incarnation, false, false});
  }
  REQUIRE(table.find(EngineRecordTable::keyOf(mark)) != nullptr);
  CHECK(table.find(EngineRecordTable::keyOf(mark))->leaving);
  CHECK(table.all().size() <= 5);
  CHECK_FALSE(table.apply({"engine-1", kMachineIncarnation, false, false, 10}));
  CHECK(table.apply({"engine-1", kMachineIncarnation, false, false, 11}));
  CHECK_FALSE(table.apply(mark));
  CHECK_FALSE(table.find(EngineRecordTable::keyOf(mark))->leaving);
}

TEST_CASE("messages stay bounded while sixty nodes join and idle traffic is low", "[membership]") {
  VirtualNetwork network;
  startAll(network, 60);
  REQUIRE(network.runUntil(60s, [&] { return network.allSeeLive(60); }));
  CHECK(network.largest_records <= kRecordsPerStateMessage + 1);
  network.run(60s);
  network.bytes = 0;
  network.run(60s);
  CHECK(static_cast<double>(network.bytes) / 60 / 60 < 2'000);
}

TEST_CASE("a thundering herd converges with bounded messages within the response budget", "[membership]") {
  VirtualNetwork network;
  for (int index = 0; index < 150; ++index) {
    network.start(nameOf(index), zoneOf(index), {nameOf(0), nameOf(1), nameOf(2)});
  }
  const auto time = network.runUntil(60s, [&] { return network.allSeeLive(150); });
  REQUIRE(time.has_value());
  CHECK(*time < 15s);
  CHECK(network.largest_records <= kRecordsPerStateMessage + 2);
  CHECK(static_cast<double>(network.bytes) / 150 / toSeconds(*time) < 18'000);
}

TEST_CASE(
    "a region with a quarter of the nodes that rejoins after an hour is live everywhere within a minute",
    "[membership]") {
  VirtualNetwork network;
  startAll(network, 40);
  REQUIRE(network.runUntil(60s, [&] { return network.allSeeLive(40); }));
  const auto side = [](const std::string& name) { return std::stoi(name.substr(7)) % 4 == 0; };
  network.is_blocked = [&](const std::string& from, const std::string& to) { return side(from) != side(to); };
  network.run(1h);
  network.is_blocked = [](auto&, auto&) { return false; };
  network.bytes = 0;
  const auto time = network.runUntil(60s, [&] { return network.allSeeLive(40); });
  REQUIRE(time.has_value());
  CHECK(static_cast<double>(network.bytes) / 40 / toSeconds(*time) < 18'000);
}

TEST_CASE("one member sends no more than its response budget to any number of requesters", "[membership]") {
  const TimePoint now(1h);
  const auto node = makeMembership({"a", "a", "z", "r", 1}, {}, 1, now);
  for (int index = 0; index < 300; ++index) {
    node->seed({{nameOf(index), nameOf(index), "z", "r", 0, MemberState::Alive, 0}}, now);
  }
  node->takeOutgoing();
  std::size_t records = 0;
  for (int index = 0; index < 300; ++index) {
    Ping ping;
    ping.sender = nameOf(index);
    ping.sequence = 7;
    if (index % 2 == 0) ping.fingerprints.assign(kFingerprintBuckets, 1);
    node->onPing(ping, nameOf(index), now);
    for (const OutgoingGossip& gossip : node->takeOutgoing()) {
      records += std::get<PingAck>(gossip.message).members.size();
    }
  }
  CHECK(records > 32);
  CHECK(records < 256);
}

TEST_CASE("fingerprints identify only the buckets that differ", "[membership]") {
  RandomSource random(1);
  MemberTable table(4096);
  const MemberRecord self{"a", "a", "z", "r", 1};
  for (int index = 0; index < 340; ++index) table.apply({nameOf(index), "x", "z", "r", 5}, 3s, TimePoint(1h));
  const auto before = liveFingerprints(table, self);
  CHECK(differingRecords(table, self, before, random).empty());
  table.recordBundleVersion(nameOf(7), 9);
  table.apply({nameOf(8), "x", "z", "r", 5, MemberState::Suspect, 0}, 3s, TimePoint(1h));
  CHECK(differingRecords(table, self, before, random).empty());
  table.apply({nameOf(7), "x", "z", "r", 6}, 3s, TimePoint(1h));
  const auto differing = differingRecords(table, self, before, random);
  CHECK(differing.size() < 30);
  CHECK(std::any_of(differing.begin(), differing.end(),
                    [](const MemberRecord& record) { return record.name == nameOf(7); }));
  CHECK(differingRecords(table, self, {1, 2, 3}, random).size() == 340);
}

TEST_CASE("records with invalid names or beyond the limit per message are dropped", "[membership]") {
  const TimePoint now(1h);
  const auto node = makeMembership({"a", "a", "z", "r", 1}, {}, 1, now);
  Ping ping;
  ping.sender = "b";
  ping.target = "a";
  ping.members.push_back({std::string(1000, 'x'), "x", "z", "r", 1});
  ping.members.push_back({"", "x", "z", "r", 1});
  for (int index = 0; index < 1000; ++index) ping.members.push_back({nameOf(index), "x", "z", "r", 1});
  node->onPing(ping, "b", now);
  CHECK(node->liveMembers().size() <= 128);
}
