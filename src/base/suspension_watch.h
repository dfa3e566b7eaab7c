#pragma once
/// @file Notices that the machine was suspended: two clocks, one of which counts that time, drift apart. Pure
/// decision code.

#include <optional>

#include "base/time.h"

namespace crankspur {

/// Asked some times a second. Not thread-safe.
class SuspensionWatch {
public:
  /// Shorter suspensions change nothing that a busy moment does not.
  static constexpr Duration kLeast = std::chrono::milliseconds(100);

  /// @param counting a clock that counts the time of a suspension.
  /// @param not_counting one that does not.
  /// @return how long the machine was suspended since the last call; empty: it was not.
  std::optional<Duration> onTick(Duration counting, Duration not_counting) {
    const Duration ahead = counting - not_counting;
    const Duration before = ahead_.value_or(ahead);
    ahead_ = ahead;
    if (ahead - before < kLeast) return std::nullopt;
    return ahead - before;
  }

private:
  std::optional<Duration> ahead_;  ///< Of the counting clock, at the last call.
};

}  // namespace crankspur
