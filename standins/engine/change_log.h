#pragma once
/// @file The engine stand-in's published cache events: numbered, seen late, with lost entries.

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
  /// Numbers and keeps a change, or loses it by chance.
  void append(std::vector<BlockHash> stored, std::vector<BlockHash> removed, RandomSource& random,
              TimePoint now);
  /// @return events after `after` that readers see at `now`.
  CacheChanges read(std::uint64_t after, std::uint64_t incarnation, TimePoint now) const;
  /// @return when a reader that knows `after` sees something newer; empty when nothing is on its way.
  std::optional<TimePoint> nextVisible(std::uint64_t after) const;
  /// @return number of the newest change, seen or not.
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
