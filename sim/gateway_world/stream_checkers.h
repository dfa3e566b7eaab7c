#pragma once
/// @file Checkers of streams that callers resume while engines of several builds serve.

#include "sim/gateway_world/fleet_history.h"
#include "sim/world/run_result.h"

namespace crankspur::gateway_sim {

/// All events of a stream come from engines of one build: a run that continues it has the build of the run
/// that brought its first event, the last one before the first continuation.
void checkStreamBuilds(const FleetHistory& history, sim::Violations& violations);

/// After all gateways were killed, not all of the streams that callers resume are refused although engines of
/// their builds serve other requests.
void checkStreamsGoOn(const FleetHistory& history, sim::Violations& violations);

/// In runs without a kill of all gateways, while no fault affects gateways, messages and the store, at least
/// half of the streams that callers resume go on if engines of their builds serve other requests.
void checkUndisturbedStreams(const FleetHistory& history, sim::Violations& violations);

}  // namespace crankspur::gateway_sim
