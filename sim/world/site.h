#pragma once
/// @file Size, topology and traffic of the simulated sites.

#include <string>
#include <string_view>
#include <vector>

#include "sim/kernel/host.h"
#include "sim/kernel/network.h"

namespace crankspur::sim {

/// A machine of a site.
struct SiteMachine {
  std::string name;
  Location place;
  std::string pool;  ///< Engines and runners only.
};

/// Machines, network and traffic of a site.
struct Site {
  std::string name;
  std::vector<Location> zones;
  std::vector<SiteMachine> routers;
  std::vector<SiteMachine> sidecars;
  std::vector<SiteMachine> engines;
  std::vector<SiteMachine> runners;
  std::vector<std::string> tenants;
  NetworkDelays delays;
  double requests_per_second = 12;                  ///< Total for the site.
  double retry_budget = 10;                         ///< Per tenant: retries per first attempt.
  double operation_share = 0.3;                     ///< Fraction of requests that are operations.
  Duration load = std::chrono::seconds(24);         ///< Duration of the caller traffic.
  Duration settle_time = std::chrono::seconds(16);  ///< Time after the traffic for outstanding responses.
  std::uint32_t claim_group_size = 0;  ///< Routers that decide claims by majority; 0: no claim group.
  Duration claim_lifetime = std::chrono::hours(24);
};

/// @return the site "tallow_creek", "two_regions" or "large"; "parts_desk" for any other name.
Site makeSite(std::string_view name);

}  // namespace crankspur::sim
