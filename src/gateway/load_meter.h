#pragma once
/// @file Measures the load of a gateway's traffic thread: requests per second, and whether its machine is
/// overloaded. It reads no clock: the driver calls it at a fixed interval and passes the due and actual time.

#include <cstdint>

#include "base/time.h"

namespace crankspur::gateway {

/// Measured load.
struct OwnLoad {
  double requests_per_second = 0;
  bool pressed = false;  ///< The thread runs late: its machine is overloaded.
};

/// Measures load from requests and timer lateness. Not thread-safe.
class LoadMeter {
public:
  /// Interval of ticks.
  static constexpr Duration kTick = std::chrono::milliseconds(200);

  void onRequest() { ++requests_; }
  /// A tick that was due at `due` runs at `now`.
  void onTick(TimePoint due, TimePoint now);
  OwnLoad load() const;
  /// @return whether there has been no request for kIdleTicks, so that further ticks do not change the load.
  bool idle() const { return idle_ticks_ >= kIdleTicks; }

private:
  static constexpr std::uint32_t kIdleTicks = 10;

  std::uint64_t requests_ = 0;  ///< Since the last tick.
  std::uint32_t idle_ticks_ = 0;
  double rate_ = 0;      ///< Requests per second, smoothed.
  double lateness_ = 0;  ///< Seconds, smoothed.
};

}  // namespace crankspur::gateway
