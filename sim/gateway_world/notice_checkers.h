#pragma once
/// @file Checkers of what gateways do after an engine stated something of itself in a response.

#include "sim/gateway_world/fleet_history.h"
#include "sim/world/run_result.h"

namespace crankspur::gateway_sim {

/// An engine process that rejected a request of a gateway and asked for a pause receives at most two requests
/// of that gateway from half a second later until the pause ends.
void checkPauses(const FleetHistory& history, sim::Violations& violations);

/// An engine process that stated in a response to a gateway that it leaves receives no request of that
/// gateway that a caller sent later than the departure limit after it.
void checkStatedDepartures(const FleetHistory& history, sim::Violations& violations);

}  // namespace crankspur::gateway_sim
