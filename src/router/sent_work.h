#pragma once
/// @file What this shard has sent to each engine and the engine's lagging load report may not show yet.

#include <absl/container/flat_hash_map.h>

#include <vector>

#include "placement/placement.h"
#include "router/request_router.h"

namespace crankspur {

/// Work in flight at each engine, by dispatch.
class SentWork : public OutstandingWork {
public:
  /// Takes the time at which each engine's load was measured.
  void onSnapshot(const RoutingSnapshot& snapshot);
  /// Notes a dispatch.
  /// @param uncached_tokens prompt tokens the engine has to compute.
  void add(EngineSlot engine, DispatchId dispatch, std::uint32_t uncached_tokens, TimePoint now);
  /// The engine has computed the prompt of the dispatch: its first token arrived.
  void prefillDone(EngineSlot engine, DispatchId dispatch);
  /// Forgets the dispatch.
  void remove(EngineSlot engine, DispatchId dispatch);

  std::uint32_t pendingTokens(EngineSlot engine) const override;
  std::uint32_t inFlight(EngineSlot engine) const override;

private:
  struct Item {
    DispatchId dispatch = 0;
    TimePoint sent_at{};
    std::uint32_t tokens = 0;
  };
  struct EngineWork {
    TimePoint load_measured_at{};
    std::vector<Item> items;
  };
  absl::flat_hash_map<EngineSlot, EngineWork> engines_;
};

}  // namespace crankspur
