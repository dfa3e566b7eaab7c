#include "gateway_control/crash_exchange.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace crankspur;
using namespace crankspur::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart{seconds(1000)};

CrashUpdate oneEnd(std::uint64_t request, std::uint64_t backend) {
  CrashUpdate update;
  update.crashes.push_back({{request, 1}, backend, kStart - milliseconds(100), kStart});
  return update;
}

/// Gateways that lose some of the datagrams between them.
struct Fleet {
  explicit Fleet(int count) {
    for (int number = 0; number < count; ++number) {
      const std::string name = "g" + std::to_string(number);
      gateways.emplace(name, CrashExchange(static_cast<std::uint64_t>(number) + 1, now));
    }
  }

  /// One interval: each gateway tells its digest, and what is asked for is told.
  void tick() {
    now += CrashExchange::kDigestInterval;
    for (auto& [name, gateway] : gateways) {
      std::vector<std::string> others;
      for (const auto& [other, unused] : gateways) {
        if (other != name && !cut_off.contains(other)) others.push_back(other);
      }
      if (cut_off.contains(name)) continue;
      for (const std::string& other : gateway.onTick(others, now)) {
        if (!gateways.at(other).onDigest(gateway.digest(), now)) continue;
        const CrashNotes notes = toNotes(gateways.at(other).allEvidence(), now);
        gateway.onUpdate(toUpdate(notes, now), now);
      }
    }
  }

  /// @return intervals until all know the same.
  int ticksUntilEqual() {
    for (int ticks = 0; ticks < 100; ++ticks) {
      std::set<std::uint64_t> digests;
      for (const auto& [name, gateway] : gateways) digests.insert(gateway.digest());
      if (digests.size() == 1) return ticks;
      tick();
    }
    return 100;
  }

  TimePoint now = kStart;
  std::map<std::string, CrashExchange> gateways;
  std::set<std::string> cut_off;
};

}  // namespace

TEST_CASE("evidence keeps its instants on the wire", "[gateway_control][crash_suspects]") {
  CrashUpdate update = oneEnd(7, 8);
  update.cleared.push_back({{9, 1}, kStart});
  update.alive.push_back({10, kStart});
  const CrashUpdate told = toUpdate(toNotes(update, kStart + seconds(1)), kStart + seconds(3));
  CHECK(told.crashes.front().request == RequestFingerprint{7, 1});
  CHECK(told.crashes.front().sent_at == kStart + milliseconds(1900));
  CHECK(told.crashes.front().crashed_at == kStart + seconds(2));
  CHECK(told.cleared.front().at == kStart + seconds(2));
  CHECK(told.alive.front().at == kStart + seconds(2));
}

TEST_CASE("what one gateway alone knows is known to all within three seconds",
          "[gateway_control][crash_suspects]") {
  Fleet fleet(40);
  fleet.gateways.at("g3").onOwnUpdate(oneEnd(1, 1), fleet.now);
  fleet.gateways.at("g9").onOwnUpdate(oneEnd(1, 2), fleet.now);
  CHECK(fleet.ticksUntilEqual() * CrashExchange::kDigestInterval <= seconds(3));
}

TEST_CASE("a gateway that was cut off knows all within three seconds of contact",
          "[gateway_control][crash_suspects]") {
  Fleet fleet(40);
  fleet.cut_off = {"g5"};
  fleet.gateways.at("g3").onOwnUpdate(oneEnd(1, 1), fleet.now);
  for (int ticks = 0; ticks < 20; ++ticks) fleet.tick();
  CHECK(fleet.gateways.at("g5").digest() == 0);
  fleet.cut_off.clear();
  for (auto& [name, gateway] : fleet.gateways) gateway.onMemberJoined(fleet.now);
  CHECK(fleet.ticksUntilEqual() * CrashExchange::kDigestInterval <= seconds(3));
}

TEST_CASE("gateways that know nothing are quiet", "[gateway_control][crash_suspects]") {
  CrashExchange gateway(1, kStart);
  CHECK_FALSE(
      gateway.onTick({"a", "b", "c"}, kStart + seconds(1)).empty());  // It has just started, and asks.
  CHECK(gateway.onTick({"a", "b", "c"}, kStart + seconds(10)).empty());
  CHECK_FALSE(gateway.onDigest(5, kStart));
}
