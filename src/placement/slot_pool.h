#pragma once
/// @file Gives out the small dense numbers of engines.

#include <deque>

#include "base/time.h"
#include "prefix_index/prefix_index.h"

namespace crankspur {

/// Slots, the numbers by which one process names engines. A slot that became free rests before another engine
/// gets it, until no request, news or outcome of the engine before is under way any more.
class SlotPool {
public:
  EngineSlot take(TimePoint now) {
    if (freed_.empty() || freed_.front().usable_at > now) return next_++;
    const EngineSlot slot = freed_.front().slot;
    freed_.pop_front();
    return slot;
  }
  void free(EngineSlot slot, TimePoint now) { freed_.push_back({slot, now + kRest}); }

private:
  static constexpr Duration kRest = std::chrono::minutes(10);
  struct FreedSlot {
    EngineSlot slot = 0;
    TimePoint usable_at{};
  };

  std::deque<FreedSlot> freed_;  ///< The one that became free first comes first.
  EngineSlot next_ = 0;
};

}  // namespace crankspur
