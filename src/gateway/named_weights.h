#pragma once
/// @file Decides which weights are too old for new requests: a newer version was named longer ago than the
/// grace period.

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway_snapshot.h"

namespace crankspur::gateway {

/// Stores when each version was named. Not thread-safe.
class WeightsClock {
public:
  /// @param grace time during which requests may still start on older weights.
  explicit WeightsClock(Duration grace) : grace_(grace) {}
  void onSnapshot(const GatewaySnapshot& snapshot, TimePoint now);
  /// @return the oldest version on which a request may start; empty: any.
  std::optional<std::uint64_t> minWeightsVersion(const std::string& model, TimePoint now) const;
  /// @return when requests may no longer start on this version; TimePoint::max(): no newer one was named.
  TimePoint supersededFrom(const std::string& model, std::uint64_t version) const;
  /// @return the newest version named for the model; empty: none was.
  std::optional<std::uint64_t> newestWeightsVersion(const std::string& model) const;

private:
  struct Named {
    std::uint64_t version = 0;
    TimePoint named_at{};
  };
  Duration grace_;
  absl::flat_hash_map<std::string, std::vector<Named>> models_;  ///< Ascending by version.
};

}  // namespace crankspur::gateway
