#pragma once
/// @file Tracks the work that one router has in flight at each engine and estimates when it will be
/// prefilled.

#include <absl/container/flat_hash_map.h>

#include <vector>

#include "placement/placement.h"

namespace crankspur {

/// Work of this router at one engine.
struct EngineOutstanding {
  EngineSlot engine = 0;
  std::uint32_t waiting_tokens = 0;  ///< Uncached tokens of dispatches still without a first token.
  std::uint32_t in_flight = 0;
};

/// Work in flight at each engine, by dispatch.
class OutstandingLedger : public OutstandingWork {
public:
  /// Records when the load report of each engine in the snapshot was measured.
  void onSnapshot(const RoutingSnapshot& snapshot);
  void onLoadMeasured(EngineSlot engine, TimePoint measured_at) {
    engines_[engine].load_measured_at = measured_at;
  }
  /// Records a dispatch.
  /// @param uncached_tokens prompt tokens that the engine is expected to compute.
  void add(EngineSlot engine, std::uint64_t dispatch, std::uint32_t uncached_tokens, TimePoint now);
  /// Replaces the estimate by the number of tokens that the engine reports it has to compute.
  void correct(EngineSlot engine, std::uint64_t dispatch, std::uint32_t uncached_tokens);
  /// Records that the first token of the dispatch arrived.
  void prefillDone(EngineSlot engine, std::uint64_t dispatch, TimePoint now);
  /// Removes the dispatch.
  void remove(EngineSlot engine, std::uint64_t dispatch);

  /// @return how long the oldest dispatch without a first token has waited; 0: there is none.
  Duration longestWait(EngineSlot engine, TimePoint now) const;
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
    bool waiting = true;  ///< No token has arrived yet.
  };
  struct EngineEntry {
    TimePoint load_measured_at{};
    TimePoint prefill_done_at{};  ///< When the most recent first token arrived.
    std::vector<Item> items;      ///< In the order of dispatch.
  };
  Item* find(EngineSlot engine, std::uint64_t dispatch);

  absl::flat_hash_map<EngineSlot, EngineEntry> engines_;
};

}  // namespace crankspur
