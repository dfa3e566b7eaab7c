#pragma once
/// @file Which weights are too old for new requests: a newer version was named long enough ago.

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway_snapshot.h"

namespace crankspur::gateway {

/// Remembers when each version was first heard of. Not thread-safe.
class WeightsClock {
public:
  /// @param grace time for which older weights may still begin requests.
  explicit WeightsClock(Duration grace) : grace_(grace) {}
  void onSnapshot(const GatewaySnapshot& snapshot, TimePoint now);
  /// @return the oldest version that may begin a request; empty: any.
  std::optional<std::uint64_t> leastWeights(const std::string& model, TimePoint now) const;
  /// @return the newest version named for the model; empty: none was.
  std::optional<std::uint64_t> newestWeights(const std::string& model) const;

private:
  struct Named {
    std::uint64_t version = 0;
    TimePoint heard_at{};
  };
  Duration grace_;
  absl::flat_hash_map<std::string, std::vector<Named>> models_;  ///< Versions rising.
};

}  // namespace crankspur::gateway
