#pragma once
/// @file What one router has sent to each engine, and when the engine will have prefilled it.

#include <absl/container/flat_hash_map.h>

#include <vector>

#include "placement/placement.h"

namespace crankspur {

/// Own work at one engine.
struct EngineOutstanding {
  EngineSlot engine = 0;
  std::uint32_t waiting_tokens = 0;  ///< Of dispatches whose first token has not come.
  std::uint32_t in_flight = 0;
};

/// Work in flight at each engine, by dispatch.
class OutstandingLedger : public OutstandingWork {
public:
  /// Takes the time at which each engine's load was measured.
  void onSnapshot(const RoutingSnapshot& snapshot);
  void onLoadMeasured(EngineSlot engine, TimePoint measured_at) {
    engines_[engine].load_measured_at = measured_at;
  }
  /// Notes a dispatch.
  /// @param uncached_tokens prompt tokens that the engine has to compute.
  void add(EngineSlot engine, std::uint64_t dispatch, std::uint32_t uncached_tokens, TimePoint now);
  /// The engine said how many tokens it really has to compute.
  void correct(EngineSlot engine, std::uint64_t dispatch, std::uint32_t uncached_tokens);
  /// The first token of the dispatch arrived.
  void prefillDone(EngineSlot engine, std::uint64_t dispatch, TimePoint now);
  /// Forgets the dispatch.
  void remove(EngineSlot engine, std::uint64_t dispatch);

  /// @return the engines with work in flight.
  std::vector<EngineOutstanding> outstanding() const;

  std::uint32_t pendingTokens(EngineSlot engine) const override;
  std::uint32_t inFlight(EngineSlot engine) const override;
  Duration backlog(EngineSlot engine, double tokens_per_second, TimePoint now) const override;

private:
  struct Item {
    std::uint64_t dispatch = 0;
    TimePoint sent_at{};
    std::uint32_t tokens = 0;
    bool waiting = true;  ///< No token has come yet.
  };
  struct EngineWork {
    TimePoint load_measured_at{};
    TimePoint prefill_done_at{};  ///< When the newest first token came.
    std::vector<Item> items;      ///< In the order of dispatch.
  };
  Item* find(EngineSlot engine, std::uint64_t dispatch);

  absl::flat_hash_map<EngineSlot, EngineWork> engines_;
};

}  // namespace crankspur
