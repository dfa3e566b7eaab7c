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

CrashUpdate oneCrash(std::uint64_t request, std::uint64_t backend) {
  CrashUpdate update;
  update.crashes.push_back({{request, 1}, backend, kStart - milliseconds(100), kStart});
  return update;
}

/// Gateways that exchange digests; some of them may be cut off.
struct Fleet {
  explicit Fleet(int count) {
    for (int number = 0; number < count; ++number) {
      const std::string name = "g" + std::to_string(number);
      gateways.emplace(name, CrashExchange(static_cast<std::uint64_t>(number) + 1, now));
    }
  }

  /// One interval: each gateway sends its digest, and receivers respond with evidence where theirs differs.
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

  /// @return intervals until all gateways have the same evidence, or 100.
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

TEST_CASE("instants of evidence are preserved on the wire", "[gateway_control][crash_suspects]") {
  CrashUpdate update = oneCrash(7, 8);
  update.cleared.push_back({{9, 1}, kStart});
  update.signs_of_life.push_back({10, kStart});
  const CrashUpdate received = toUpdate(toNotes(update, kStart + seconds(1)), kStart + seconds(3));
  CHECK(received.crashes.front().request == RequestFingerprint{7, 1});
  CHECK(received.crashes.front().sent_at == kStart + milliseconds(1900));
  CHECK(received.crashes.front().crashed_at == kStart + seconds(2));
  CHECK(received.cleared.front().at == kStart + seconds(2));
  CHECK(received.signs_of_life.front().at == kStart + seconds(2));
}

TEST_CASE("evidence of a single gateway reaches all gateways within three seconds",
          "[gateway_control][crash_suspects]") {
  Fleet fleet(40);
  fleet.gateways.at("g3").onOwnUpdate(oneCrash(1, 1), fleet.now);
  fleet.gateways.at("g9").onOwnUpdate(oneCrash(1, 2), fleet.now);
  CHECK(fleet.ticksUntilEqual() * CrashExchange::kDigestInterval <= seconds(3));
}

TEST_CASE("a gateway that was cut off has all evidence within three seconds of contact",
          "[gateway_control][crash_suspects]") {
  Fleet fleet(40);
  fleet.cut_off = {"g5"};
  fleet.gateways.at("g3").onOwnUpdate(oneCrash(1, 1), fleet.now);
  for (int ticks = 0; ticks < 20; ++ticks) fleet.tick();
  CHECK(fleet.gateways.at("g5").digest() == 0);
  fleet.cut_off.clear();
  for (auto& [name, gateway] : fleet.gateways) gateway.onMemberJoined(fleet.now);
  CHECK(fleet.ticksUntilEqual() * CrashExchange::kDigestInterval <= seconds(3));
}

TEST_CASE("a gateway without evidence sends no digests except after its start",
          "[gateway_control][crash_suspects]") {
  CrashExchange gateway(1, kStart);
  CHECK_FALSE(gateway.onTick({"a", "b", "c"}, kStart + seconds(1))
                  .empty());  // It has just started and requests evidence.
  CHECK(gateway.onTick({"a", "b", "c"}, kStart + seconds(10)).empty());
  CHECK_FALSE(gateway.onDigest(5, kStart));
}
