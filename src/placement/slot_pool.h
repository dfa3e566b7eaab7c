#pragma once
/// @file Allocates the small dense numbers (slots) that identify engines within a process.

#include <deque>

#include "base/time.h"
#include "prefix_index/prefix_index.h"

namespace crankspur {

/// Allocates engine slots. A freed slot is reused only after a delay, so that no request, update or outcome
/// that refers to its previous engine is still in flight.
class SlotPool {
public:
  /// @return a slot that no engine uses.
  EngineSlot take(TimePoint now) {
    if (freed_.empty() || freed_.front().usable_at > now) return next_++;
    const EngineSlot slot = freed_.front().slot;
    freed_.pop_front();
    return slot;
  }
  /// Returns a slot to the pool.
  void free(EngineSlot slot, TimePoint now) { freed_.push_back({slot, now + kReuseDelay}); }

private:
  static constexpr Duration kReuseDelay = std::chrono::minutes(10);
  struct FreedSlot {
    EngineSlot slot = 0;
    TimePoint usable_at{};
  };

  std::deque<FreedSlot> freed_;  ///< In the order in which the slots were freed.
  EngineSlot next_ = 0;
};

}  // namespace crankspur
