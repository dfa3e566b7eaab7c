#pragma once
/// @file Which engines may serve a request, shared by all policies.

#include <string>
#include <string_view>
#include <vector>

#include "placement/placement.h"

namespace crankspur {

/// What engines must match to serve one request.
class Eligibility {
public:
  Eligibility(const PlacementRequest& request, const RoutingSnapshot& snapshot);

  /// @return whether the bundle lets the tenant use the model at all.
  bool allowed() const { return model_ != nullptr; }
  /// @return whether the engine is Live, in a pool of the model, holds it at the required weights with the
  /// adapter, and has not already failed the request.
  bool isEligible(const EngineView& engine) const;

private:
  const PlacementRequest& request_;
  const ModelPolicy* model_ = nullptr;  ///< Null when the tenant may not use it.
  std::string weights_;
};

/// @return eligible engines in slot order.
std::vector<const EngineView*> findEligible(const PlacementRequest& request, const RoutingSnapshot& snapshot);

/// @return a decision for `engine` with what each policy states alike; `found` is true.
PlacementDecision decideFor(const EngineView& engine, const PlacementRequest& request,
                            const PrefixIndex& index, TimePoint now);

}  // namespace crankspur
