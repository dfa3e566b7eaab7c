#pragma once
/// @file Checkers of a simulated fleet. Each judges by what callers and engines saw.

#include "sim/gateway_world/fleet_world.h"
#include "sim/world/run_result.h"

namespace crankspur::gateway_sim {

/// Judges a run that is over.
sim::Violations checkFleet(const FleetContext& context, FleetWorld& world);

}  // namespace crankspur::gateway_sim
