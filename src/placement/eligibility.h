#pragma once
/// @file Which engines may serve a request, shared by all policies.

#include <string>
#include <string_view>
#include <vector>

#include "placement/placement.h"

namespace crankspur {

/// An engine that may serve a request.
struct EligibleEngine {
  const EngineView* view = nullptr;
  bool adapter_loaded = true;
};

/// @return the weights version the request must run under: its own, or else the bundle's; empty: unknown.
std::string requiredWeights(const PlacementRequest& request, const RoutingSnapshot& snapshot);

/// @return Live engines that hold the model at the required weights and serve it to the tenant, in slot
/// order. Empty when the bundle does not let the tenant use the model.
std::vector<EligibleEngine> findEligible(const PlacementRequest& request, const RoutingSnapshot& snapshot);

/// @return a decision for `engine` with what each policy states alike; `found` is true.
PlacementDecision decideFor(const EngineView& engine, const PlacementRequest& request,
                            const PrefixIndex& index, TimePoint now);

}  // namespace crankspur
