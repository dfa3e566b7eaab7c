#include "sim/world/site.h"

#include <fmt/format.h>

namespace crankspur::sim {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Number of machines of each kind, and of tenants.
struct MachineCounts {
  std::size_t routers = 0;
  std::size_t sidecars = 0;
  std::size_t engines = 0;
  std::size_t runners = 0;
  std::size_t tenants = 0;
};

std::vector<SiteMachine> spreadOverZones(const Site& site, const std::string& kind, const std::string& pool,
                                         std::size_t count) {
  std::vector<SiteMachine> machines;
  for (std::size_t index = 0; index < count; ++index) {
    machines.push_back({fmt::format("{}-{:02}", kind, index), site.zones[index % site.zones.size()], pool});
  }
  return machines;
}

void populate(Site& site, const MachineCounts& counts) {
  site.routers = spreadOverZones(site, "router", "", counts.routers);
  site.sidecars = spreadOverZones(site, "sidecar", "", counts.sidecars);
  site.engines = spreadOverZones(site, "engine", "language", counts.engines);
  site.runners = spreadOverZones(site, "runner", "application", counts.runners);
  for (std::size_t index = 0; index < counts.tenants; ++index) {
    site.tenants.push_back(fmt::format("tenant-{}", index));
  }
}

Site makePartsDesk() {
  Site site;
  site.name = "parts_desk";
  for (const char* zone : {"recife", "natal", "fortaleza"}) site.zones.push_back({zone, "coast"});
  site.delays.other_zone = microseconds(1200);
  populate(site, {6, 6, 20, 3, 8});
  return site;
}

Site makeTallowCreek() {
  Site site;
  site.name = "tallow_creek";
  for (const char* zone : {"pumphouse", "annex", "dam-office"}) site.zones.push_back({zone, "county"});
  site.delays.other_zone = microseconds(700);
  site.operation_share = 0.5;
  populate(site, {3, 6, 12, 3, 8});
  return site;
}

/// Two small regions with sparse traffic over a long period.
Site makeTwoRegions() {
  Site site;
  site.name = "two_regions";
  site.zones = {{"north-a", "north"}, {"south-a", "south"}, {"north-b", "north"}, {"south-b", "south"}};
  site.requests_per_second = 0.05;
  site.load = minutes(61);
  populate(site, {4, 4, 4, 2, 4});
  return site;
}

Site makeLarge() {
  constexpr std::size_t kZones = 11;
  constexpr std::size_t kRegions = 4;
  Site site;
  site.name = "large";
  for (std::size_t zone = 0; zone < kZones; ++zone) {
    site.zones.push_back({fmt::format("zone-{:02}", zone), fmt::format("region-{}", zone % kRegions)});
  }
  site.requests_per_second = 100;
  site.load = seconds(8);
  populate(site, {40, 22, 200, 11, 24});
  return site;
}

}  // namespace

Site makeSite(std::string_view name) {
  if (name == "tallow_creek") return makeTallowCreek();
  if (name == "two_regions") return makeTwoRegions();
  if (name == "large") return makeLarge();
  return makePartsDesk();
}

}  // namespace crankspur::sim
