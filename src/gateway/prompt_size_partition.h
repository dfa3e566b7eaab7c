#pragma once
/// @file Keeps long prompts apart from short ones: an engine reads a prompt in pieces between the tokens of
/// its other requests, so that a long one makes every stream beside it pause.

#include <absl/container/flat_hash_map.h>

#include <string>

#include "admission/decaying_rate.h"
#include "gateway/gateway_snapshot.h"

namespace crankspur::gateway {

/// Divides the engines of a pool by the time that reading long and short prompts takes. All gateways rank
/// engines alike. Not thread-safe.
class PromptSizePartition {
public:
  /// Ranks the engines.
  void onSnapshot(const GatewaySnapshot& snapshot);
  /// Counts a prompt that an engine of the pool has to read.
  void observe(const std::string& pool, bool is_long, double seconds, TimePoint now);
  /// @return whether the engine is for prompts of the kind; true for all as long as only one kind comes.
  bool suits(const EngineView& engine, bool is_long) const;

private:
  struct Pool {
    DecayingRate long_prompts{kMemory};
    DecayingRate short_prompts{kMemory};
    double long_share = 0;
    std::size_t engines = 0;
  };
  static constexpr Duration kMemory = std::chrono::seconds(10);

  absl::flat_hash_map<std::string, Pool> pools_;
  absl::flat_hash_map<EngineSlot, std::size_t> ranks_;  ///< Within the pool.
};

}  // namespace crankspur::gateway
