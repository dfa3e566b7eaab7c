#pragma once
/// @file One seeded run of a simulated fleet of gateways.

#include "sim/world/run_result.h"

namespace crankspur::gateway_sim {

/// @return names of the scenarios: "gateway" draws from all faults, the others repeat one kind.
const std::vector<std::string>& fleetScenarioNames();
/// Runs one of these scenarios with one seed.
sim::RunResult runFleet(const sim::RunOptions& options);

}  // namespace crankspur::gateway_sim
