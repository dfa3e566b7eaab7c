#pragma once
/// @file Yardsticks that only experiments use.

#include <memory>
#include <string>
#include <vector>

#include "placement/placement.h"
#include "sim/experiment/fleet.h"

namespace crankspur::experiment {

/// Sees every engine's cache and queue exactly at the instant of the decision, with everything that all
/// routers have sent, and takes the engine whose first token will come first, importing KV cache where that
/// is faster. Greedy per request: it does not weigh what its choice evicts or what later requests want, so a
/// policy that does may beat it.
/// @param imports whether it imports KV cache where that brings the first token sooner.
std::unique_ptr<PlacementPolicy> makeClairvoyantPlacement(Fleet& fleet, bool imports);

/// The cost policy as it was first merged.
std::unique_ptr<PlacementPolicy> makePreviousPlacement();

/// @return the policy of that name, or nullptr: cost, round_robin, least_load, prompt_head, clairvoyant,
/// clairvoyant_import, previous.
std::unique_ptr<PlacementPolicy> makePolicy(const std::string& name, Fleet& fleet);

}  // namespace crankspur::experiment
