#include "router/info_polls.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <map>

#include "router/engine_table.h"
#include "router/zone_sharing.h"

using namespace crankspur;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart(1h);
constexpr double kRate = 8;
/// One of four regions of a fleet with 340 routers and 2,000 back ends.
constexpr int kRouters = 85;
constexpr int kRegionBackends = 500;
constexpr int kOtherBackends = 1500;

std::vector<std::string> routerNames() {
  std::vector<std::string> names;
  names.reserve(kRouters);
  for (int index = 0; index < kRouters; ++index) names.push_back(fmt::format("router-{}", index));
  return names;
}

Machine backend(int index) {
  const std::string name = fmt::format("engine-{}", index);
  const char* region = index < kRegionBackends ? "east" : "west";
  return {name, MachineRole::Engine, "pool", name + ":1", "zone", region, MachineState::Live};
}

/// @return the number of info polls of one router by back end, where each poll is answered at once.
std::map<std::string, int> pollsOf(const std::string& router, TimePoint from, TimePoint to) {
  EngineTable table({"east"}, 1);
  MachineList list;
  for (int index = 0; index < kRegionBackends + kOtherBackends; ++index) {
    list.machines.push_back(backend(index));
  }
  table.onMachineList(list, kStart);
  table.setRouters(router, routerNames(), kStart);
  BackendReport report;
  report.incarnation = 5;
  std::map<std::string, int> counts;
  for (TimePoint now = kStart; now < to; now += 50ms) {
    for (const BackendPoll& poll : table.duePolls(now)) {
      if (poll.kind == BackendPoll::Kind::EngineLoad) {
        table.onLoad(poll.name, 5, {}, now);
        continue;
      }
      table.onReport(poll.name, report, now);
      if (now >= from) ++counts[poll.name];
    }
  }
  return counts;
}

}  // namespace

TEST_CASE("with two thousand back ends each owner polls its back ends at a sufficient rate", "[info_polls]") {
  const std::vector<std::string> routers = routerNames();
  std::map<std::string, std::size_t> owned;
  for (int index = 0; index < kRegionBackends; ++index) ++owned[ownerOf(backend(index).name, routers)];
  double sum = 0;
  for (const auto& [router, count] : owned) {
    const InfoPollCounts counts{count, kRegionBackends - count, kOtherBackends};
    const Duration mean = infoPollInterval(InfoPollClass::Owned, counts, 1s, kRate);
    CHECK(mean <= 2s);
    sum += toSeconds(mean) * static_cast<double>(count);
  }
  CHECK(sum / kRegionBackends < 1.2);
}

TEST_CASE("with two thousand back ends a router polls its own at least every two seconds, within its rate",
          "[info_polls]") {
  const std::string router = routerNames().front();
  const auto counts = pollsOf(router, kStart + 20s, kStart + 120s);
  int total = 0;
  std::size_t owned = 0;
  for (const auto& [name, count] : counts) {
    total += count;
    if (ownerOf(name, routerNames()) != router) continue;
    ++owned;
    CHECK(count >= 45);
  }
  CHECK(owned > 0);
  CHECK(total < kRate * 100 * 1.1);
}

TEST_CASE("a single router uses the complete rate, and a few back ends are polled by all routers",
          "[info_polls]") {
  CHECK(infoPollInterval(InfoPollClass::Owned, {200, 0, 0}, 1s, kRate) == 25s);
  CHECK(infoPollInterval(InfoPollClass::Owned, {4, 0, 0}, 1s, kRate) == 1s);
  CHECK(infoPollInterval(InfoPollClass::InRegion, {2, 4, 0}, 1s, kRate) == 1s);
}

TEST_CASE("back ends of a failed router are polled by their new owner within an interval", "[info_polls]") {
  EngineTable table({"east"}, 1);
  MachineList list;
  for (int index = 0; index < 8; ++index) list.machines.push_back(backend(index));
  table.onMachineList(list, kStart);
  table.setRouters("a", {"a", "b", "c"}, kStart);
  BackendReport report;
  report.incarnation = 5;
  for (const BackendPoll& poll : table.duePolls(kStart)) table.onReport(poll.name, report, kStart);
  table.setRouters("a", {"a"}, kStart + 10ms);
  std::size_t polled = 0;
  for (const BackendPoll& poll : table.duePolls(kStart + 1200ms)) {
    if (poll.kind == BackendPoll::Kind::EngineInfo) ++polled;
  }
  CHECK(polled == list.machines.size());
}

TEST_CASE("only the owner announces a leaving mark at once", "[info_polls]") {
  EngineTable table({"east"}, 1);
  table.onMachineList({1, {backend(0)}}, kStart);
  const std::string owner = ownerOf(backend(0).name, {"a", "b"});
  const bool owns = GENERATE(true, false);
  const std::string self = owns ? owner : owner == "a" ? "b" : "a";
  table.setRouters(self, {"a", "b"}, kStart);
  BackendReport report;
  report.incarnation = 5;
  report.leaving = true;
  table.onReport(backend(0).name, report, kStart);
  table.onReport(backend(0).name, report, kStart);
  CHECK(table.takeUrgentAnnouncements().size() == (owns ? 1 : 0));
  CHECK(table.takeAnnouncements().size() == 1);
}
