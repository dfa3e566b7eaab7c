#pragma once
/// @file Time types shared by processes and the simulation.
/// Decision code never reads a clock: every call that depends on time takes `now`.

#include <chrono>
#include <ctime>

namespace crankspur {

/// Resolution of every duration in the project: one microsecond.
using Duration = std::chrono::microseconds;

/// A monotonic instant. Its epoch is arbitrary; instants of different processes are not comparable.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Source of the current instant: the machine's clock in processes, a virtual one in the simulation.
class Clock {
public:
  virtual ~Clock() = default;
  /// @return the current monotonic instant.
  virtual TimePoint now() const = 0;
};

/// The machine's monotonic clock. It counts the time for which the machine was suspended, so that what has
/// run out meanwhile (a lease, keys, a deadline) has run out for the process that wakes, too.
class SteadyClock : public Clock {
public:
  TimePoint now() const override {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const auto since_boot = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return TimePoint(std::chrono::duration_cast<Duration>(since_boot));
  }
};

/// @return `duration` in seconds.
inline double toSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// @return `duration` in milliseconds.
inline double toMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace crankspur
