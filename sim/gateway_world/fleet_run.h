#pragma once
/// @file One seeded run of a simulated fleet of gateways.

#include "sim/world/run_result.h"

namespace crankspur::gateway_sim {

/// Runs one seed of the scenario "gateway".
sim::RunResult runFleet(const sim::RunOptions& options);

}  // namespace crankspur::gateway_sim
