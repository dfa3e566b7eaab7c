#pragma once
/// @file One seeded run of a simulated fleet of gateways.

#include "sim/world/run_result.h"

namespace crankspur::gateway_sim {

/// @return names of the scenarios: "gateway" draws from all faults, "gateway_departures" also lets
/// engines leave, "gateway_builds" has engines of several builds and callers that resume streams,
/// "gateway_brittle" has engines that fall over when they reject too many requests,
/// "gateway_notices" has engines that ask for pauses and state their departures in responses,
/// "gateway_releases" replaces all engines by such of a newer build and kills all gateways meanwhile,
/// "gateway_lag" lets some gateways lag while the first engines of a newer build join and crash, the others
/// repeat one kind of fault.
const std::vector<std::string>& fleetScenarioNames();
/// Runs one of these scenarios with one seed.
sim::RunResult runFleet(const sim::RunOptions& options);

}  // namespace crankspur::gateway_sim
