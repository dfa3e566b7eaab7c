#pragma once
/// @file What one router of an experiment has sent to each engine.

#include <absl/container/flat_hash_map.h>

#include "placement/placement.h"

namespace crankspur::experiment {

/// Requests in flight by engine.
class SentTokens : public OutstandingWork {
public:
  void add(EngineSlot engine, std::uint64_t dispatch, std::uint32_t uncached_tokens, TimePoint now) {
    engines_[engine].items[dispatch] = {now, uncached_tokens};
  }
  /// The request has started to answer.
  void started(EngineSlot engine, std::uint64_t dispatch) {
    auto& items = engines_[engine].items;
    const auto place = items.find(dispatch);
    if (place != items.end()) place->second.tokens = 0;
  }
  void remove(EngineSlot engine, std::uint64_t dispatch) { engines_[engine].items.erase(dispatch); }
  void loadMeasured(EngineSlot engine, TimePoint at) { engines_[engine].measured_at = at; }

  std::uint32_t pendingTokens(EngineSlot engine) const override {
    const auto place = engines_.find(engine);
    if (place == engines_.end()) return 0;
    std::uint32_t tokens = 0;
    for (const auto& [dispatch, item] : place->second.items) {
      if (item.sent_at > place->second.measured_at) tokens += item.tokens;
    }
    return tokens;
  }
  std::uint32_t inFlight(EngineSlot engine) const override {
    const auto place = engines_.find(engine);
    return place == engines_.end() ? 0 : static_cast<std::uint32_t>(place->second.items.size());
  }

private:
  struct Item {
    TimePoint sent_at{};
    std::uint32_t tokens = 0;
  };
  struct EngineItems {
    TimePoint measured_at{};
    absl::flat_hash_map<std::uint64_t, Item> items;
  };
  absl::flat_hash_map<EngineSlot, EngineItems> engines_;
};

}  // namespace crankspur::experiment
