#pragma once
/// @file Published cache events of the engine stand-in: numbered, visible after a delay, some of them lost.

#include <cstdint>
#include <deque>
#include <optional>

#include "base/random.h"
#include "standins/engine/engine_types.h"

namespace crankspur::standin {

/// Log of cache changes of one incarnation.
class ChangeLog {
public:
  ChangeLog(Duration delay, double gap_probability, std::uint32_t length)
      : delay_(delay), gap_probability_(gap_probability), length_(length) {}

  void setGapProbability(double probability) { gap_probability_ = probability; }
  /// Assigns the next sequence number to a change and appends it, or drops it at random, which leaves a gap.
  void append(std::vector<BlockHash> stored, std::vector<BlockHash> removed, RandomSource& random,
              TimePoint now);
  /// @return the events after sequence `after` that are visible to readers at `now`.
  CacheChanges read(std::uint64_t after, std::uint64_t incarnation, TimePoint now) const;
  /// @return when the first event after sequence `after` becomes visible; empty if there is none.
  std::optional<TimePoint> nextVisibleTime(std::uint64_t after) const;
  /// @return sequence number of the latest change, visible or not.
  std::uint64_t lastSequence() const { return last_sequence_; }

private:
  struct Entry {
    CacheChange change;
    bool lost = false;
    TimePoint visible_at;
  };

  Duration delay_;
  double gap_probability_;
  std::uint32_t length_;
  std::uint64_t last_sequence_ = 0;
  std::deque<Entry> entries_;
};

}  // namespace crankspur::standin
