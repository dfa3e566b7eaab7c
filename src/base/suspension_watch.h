#pragma once
/// @file Detects that the machine was suspended by comparing two clocks of which only one counts suspended
/// time. Decision logic only, without I/O.

#include <optional>

#include "base/time.h"

namespace crankspur {

/// Must be polled several times per second. Not thread-safe.
class SuspensionWatch {
public:
  /// Shorter suspensions have no more effect than a short delay by load.
  static constexpr Duration kMinSuspension = std::chrono::milliseconds(100);

  /// @param boot_clock a clock that includes suspended time.
  /// @param monotonic_clock a clock that excludes suspended time.
  /// @return how long the machine was suspended since the last call, or empty if it was not.
  std::optional<Duration> onTick(Duration boot_clock, Duration monotonic_clock) {
    const Duration offset = boot_clock - monotonic_clock;
    const Duration previous_offset = last_offset_.value_or(offset);
    last_offset_ = offset;
    if (offset - previous_offset < kMinSuspension) return std::nullopt;
    return offset - previous_offset;
  }

private:
  std::optional<Duration> last_offset_;  ///< Offset between the clocks at the last call.
};

}  // namespace crankspur
