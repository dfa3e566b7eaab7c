#pragma once
/// @file Checkers of how much all gateways together ask of the engines.

#include "sim/gateway_world/fleet_context.h"
#include "sim/gateway_world/fleet_history.h"
#include "sim/world/run_result.h"

namespace crankspur::gateway_sim {

/// In one period in which the engines are brittle they fall over at most two times, and once for each ten of
/// them. A fall counts if most of what the engine rejected came from undisturbed gateways.
void checkFalls(const FleetHistory& history, const FleetContext& context, sim::Violations& violations);

/// In any window of the retry budget the engines get at most as many requests beyond the first of each
/// attempt as the budget allows for the attempts of that window, of the one before it, or of the one half a
/// window before it.
void checkRetryBudget(const FleetHistory& history, const FleetContext& context, sim::Violations& violations);

}  // namespace crankspur::gateway_sim
