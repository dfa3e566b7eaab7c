#pragma once
/// @file Checkers of a simulated fleet. They depend only on what callers and engines observed.

#include "sim/gateway_world/fleet_world.h"
#include "sim/world/run_result.h"

namespace crankspur::gateway_sim {

/// Checks a completed run.
sim::Violations checkFleet(const FleetContext& context, FleetWorld& world);

}  // namespace crankspur::gateway_sim
