#pragma once
/// @file Rules, shared by all policies, that decide which engines may serve a request.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "placement/placement.h"

namespace crankspur {

/// Conditions that an engine must meet to serve one request. Keeps a reference to the request.
class Eligibility {
public:
  /// Takes the pools and the weights version from the snapshot's bundle.
  Eligibility(const PlacementRequest& request, const RoutingSnapshot& snapshot);
  /// Takes the pools from the caller, who has checked that the tenant may use them.
  /// @param request without a model, engines need none loaded; without a weights version, any version
  /// matches.
  /// @param pools must outlive this object.
  Eligibility(const PlacementRequest& request, const std::vector<std::string>& pools);

  /// @return whether the tenant may use the model at all.
  bool allowed() const { return pools_ != nullptr; }
  /// @return whether the engine is Live, is not a decode engine, has a known incarnation, is in one of the
  /// pools, has the model loaded at the required weights version with the adapter, and is not excluded
  /// because it already failed the request.
  bool isEligible(const EngineView& engine) const;

private:
  bool isLoaded(const EngineView& engine) const;

  const PlacementRequest& request_;
  const std::vector<std::string>* pools_ = nullptr;  ///< Null when the tenant may not use the model.
  std::optional<std::string> weights_;               ///< Empty: any version matches.
};

/// @return eligible engines in slot order.
std::vector<const EngineView*> findEligible(const PlacementRequest& request, const RoutingSnapshot& snapshot);

/// @return a decision for `engine` with `found` set and the fields that are the same for every policy filled
/// in.
PlacementDecision decideFor(const EngineView& engine, const PlacementRequest& request,
                            const PrefixIndex& index, TimePoint now);

}  // namespace crankspur
