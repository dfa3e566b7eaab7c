#pragma once
/// @file Sizes and places of the simulated sites.

#include <string>
#include <string_view>
#include <vector>

#include "sim/kernel/host.h"
#include "sim/kernel/network.h"

namespace crankspur::sim {

/// One machine of a site.
struct SiteMachine {
  std::string name;
  Location place;
  std::string pool;  ///< Engines and runners only.
};

/// What stands at a site and how callers use it.
struct Site {
  std::string name;
  std::vector<Location> zones;
  std::vector<SiteMachine> routers;
  std::vector<SiteMachine> sidecars;
  std::vector<SiteMachine> engines;
  std::vector<SiteMachine> runners;
  std::vector<std::string> tenants;
  NetworkDelays delays;
  double requests_per_second = 12;             ///< Over the whole site.
  double retry_budget = 10;                    ///< Of each tenant, in retries for each first attempt.
  double operation_share = 0.3;                ///< Share of requests that are operations.
  Duration load = std::chrono::seconds(24);    ///< How long callers send.
  Duration settle = std::chrono::seconds(16);  ///< Time after the load for last answers.
  std::uint32_t claim_group_size = 0;          ///< Routers that decide on claims by majority.
  Duration claim_lifetime = std::chrono::hours(24);
};

/// @return the site "parts_desk", "tallow_creek", "two_regions" or "large".
Site makeSite(std::string_view name);

}  // namespace crankspur::sim
