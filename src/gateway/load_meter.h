#pragma once
/// @file How busy a gateway's traffic thread is: requests a second, and whether its machine falls behind.
/// Pure decision code: the driver calls at fixed steps and says how late it was.

#include <cstdint>

#include "base/time.h"

namespace crankspur::gateway {

/// What the meter shows.
struct OwnLoad {
  double requests_per_second = 0;
  bool pressed = false;  ///< The thread runs late: its machine has more work than it can do.
};

/// The meter. Not thread-safe.
class LoadMeter {
public:
  /// Between two ticks.
  static constexpr Duration kTick = std::chrono::milliseconds(200);

  void onRequest() { ++requests_; }
  /// A tick that was due at `due` runs at `now`.
  void onTick(TimePoint due, TimePoint now);
  OwnLoad load() const;
  /// @return whether no request came for so long that ticks tell nothing new.
  bool idle() const { return quiet_ticks_ >= kQuietTicks; }

private:
  static constexpr std::uint32_t kQuietTicks = 10;

  std::uint64_t requests_ = 0;  ///< Since the last tick.
  std::uint32_t quiet_ticks_ = 0;
  double rate_ = 0;      ///< Requests a second, smoothed.
  double lateness_ = 0;  ///< Seconds, smoothed.
};

}  // namespace crankspur::gateway
