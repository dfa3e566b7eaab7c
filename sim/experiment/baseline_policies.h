#pragma once
/// @file Baseline policies that only experiments use.

#include <memory>
#include <string>
#include <vector>

#include "placement/placement.h"
#include "sim/experiment/fleet.h"

namespace crankspur::experiment {

/// Knows the exact cache and queue of every engine at the time of the decision, including all work that any
/// router has in transit, and selects the engine with the earliest first token. Greedy per request: it
/// ignores what its choice evicts and what later requests need, so a policy that considers these may do
/// better.
/// @param use_imports whether to import KV cache where that makes the first token earlier.
std::unique_ptr<PlacementPolicy> makeClairvoyantPlacement(Fleet& fleet, bool use_imports);

/// The first merged version of the cost policy.
std::unique_ptr<PlacementPolicy> makePreviousPlacement();

/// @return the policy of that name, or nullptr if unknown. Names: cost, round_robin, least_load, prompt_head,
/// clairvoyant, clairvoyant_import, previous.
std::unique_ptr<PlacementPolicy> makePolicy(const std::string& name, Fleet& fleet);

}  // namespace crankspur::experiment
