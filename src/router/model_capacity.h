#pragma once
/// @file What the fleet can serve of one model: its use, and the weights versions while a new one is rolled
/// out.

#include <cstdint>
#include <string>
#include <vector>

#include "placement/engine_view.h"

namespace crankspur {

/// Live engines that hold one weights version.
struct WeightsCapacity {
  std::string version;
  std::uint32_t engines = 0;
};

/// Capacity of the live engines in a model's pools.
struct ModelCapacity {
  std::uint64_t busy_requests = 0;
  std::uint64_t request_limit = 0;
  std::vector<WeightsCapacity> weights;  ///< Sorted by version.

  /// @return share of the capacity in use; 0 when none is known.
  double utilization() const;
  /// Orders the weights versions that a fresh answer may use, the preferred one first. While engines load a
  /// new version in waves, both the old and the new one are loaded somewhere: requests are spread by their
  /// hash in proportion to the engines, so that the first engines of the new version do not get all of the
  /// load. Once every engine has the bundle's version it is the only one.
  /// @param wanted the bundle's version, the only one returned when no engine holds any.
  std::vector<std::string> weightsInOrder(const std::string& wanted, std::uint64_t request_hash) const;
};

/// Sums up the engines of `snapshot` that serve `model`.
ModelCapacity measureCapacity(const RoutingSnapshot& snapshot, const ModelPolicy& model);

}  // namespace crankspur
