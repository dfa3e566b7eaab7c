#pragma once
/// @file Places long prompts and short ones on different engines. An engine interleaves the chunks of a
/// prefill with the decode steps of its other requests, so that a long prompt delays all other streams of the
/// engine.

#include <absl/container/flat_hash_map.h>

#include <string>

#include "admission/decaying_rate.h"
#include "gateway/gateway_snapshot.h"

namespace crankspur::gateway {

/// Divides the engines of a pool in proportion to the prefill time of long and short prompts. All gateways
/// use the same order of engines. Not thread-safe.
class PromptSizePartition {
public:
  /// Orders the engines of each pool by the hash of their names.
  void onSnapshot(const GatewaySnapshot& snapshot);
  /// Records the prefill time of a prompt that was sent to the pool.
  void observe(const std::string& pool, bool is_long, double seconds, TimePoint now);
  /// @return whether the engine takes long or short prompts, as given; true for all engines while only one of
  /// the two kinds is received.
  bool suits(const EngineView& engine, bool is_long) const;

private:
  struct Pool {
    DecayingRate long_prompts{kRateTimeConstant};
    DecayingRate short_prompts{kRateTimeConstant};
    double long_share = 0;
    std::size_t engines = 0;
  };
  static constexpr Duration kRateTimeConstant = std::chrono::seconds(10);

  absl::flat_hash_map<std::string, Pool> pools_;
  absl::flat_hash_map<EngineSlot, std::size_t> ranks_;  ///< Within the pool.
};

}  // namespace crankspur::gateway
