#pragma once
/// @file Which engines may serve a request, shared by all policies.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "placement/placement.h"

namespace crankspur {

/// What engines must match to serve one request.
class Eligibility {
public:
  /// The bundle of the snapshot says which pools serve and at which weights.
  Eligibility(const PlacementRequest& request, const RoutingSnapshot& snapshot);
  /// The caller says which pools serve, and that the tenant may use them.
  /// @param request without a model: engines need none loaded; without weights: any will do.
  /// @param pools outlives this.
  Eligibility(const PlacementRequest& request, const std::vector<std::string>& pools);

  /// @return whether the tenant may use the model at all.
  bool allowed() const { return pools_ != nullptr; }
  /// @return whether the engine is Live, in a pool of the model, holds it at the required weights with the
  /// adapter, and has not already failed the request.
  bool isEligible(const EngineView& engine) const;

private:
  bool isLoaded(const EngineView& engine) const;

  const PlacementRequest& request_;
  const std::vector<std::string>* pools_ = nullptr;  ///< Null when the tenant may not use the model.
  std::optional<std::string> weights_;               ///< Empty: any will do.
};

/// @return eligible engines in slot order.
std::vector<const EngineView*> findEligible(const PlacementRequest& request, const RoutingSnapshot& snapshot);

/// @return a decision for `engine` with what each policy states alike; `found` is true.
PlacementDecision decideFor(const EngineView& engine, const PlacementRequest& request,
                            const PrefixIndex& index, TimePoint now);

}  // namespace crankspur
