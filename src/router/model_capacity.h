#pragma once
/// @file Capacity of the fleet for one model: its utilization, and the loaded weights versions during a
/// rollout.

#include <cstdint>
#include <string>
#include <vector>

#include "placement/engine_view.h"

namespace crankspur {

/// Number of live engines that have a weights version loaded.
struct WeightsCapacity {
  std::string version;
  std::uint32_t engines = 0;
};

/// Capacity of the live engines in a model's pools.
struct ModelCapacity {
  std::uint64_t busy_requests = 0;
  std::uint64_t request_limit = 0;
  std::vector<WeightsCapacity> weights;  ///< Sorted by version.

  /// @return used share of the capacity; 0 when the capacity is unknown.
  double utilization() const;
  /// During a rollout some engines have the old weights version and others the new one. Requests are then
  /// distributed over the versions by hash, in proportion to the number of engines, so that the first engines
  /// with the new version do not receive the complete load.
  /// @param wanted the version of the bundle; the only one returned when no engine has the model loaded.
  /// @return the versions that a new completion may use, the preferred one first.
  std::vector<std::string> orderedWeights(const std::string& wanted, std::uint64_t request_hash) const;
};

/// @return the capacity of the live engines in `snapshot` that serve `model`.
ModelCapacity measureCapacity(const RoutingSnapshot& snapshot, const ModelPolicy& model);

}  // namespace crankspur
