#pragma once
/// @file Time types shared by the processes and the simulation.
/// Decision logic never reads a clock: every function that depends on time has a parameter `now`.

#include <chrono>
#include <ctime>

namespace crankspur {

/// Duration type used throughout the project, in microseconds.
using Duration = std::chrono::microseconds;

/// A monotonic time point. Its epoch is arbitrary; time points of different processes are not comparable.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Source of the current time: the machine's clock in processes, a virtual clock in the simulation.
class Clock {
public:
  virtual ~Clock() = default;
  /// @return the current monotonic time.
  virtual TimePoint now() const = 0;
};

/// The machine's monotonic clock, including suspended time, so that whatever expired during a suspension (a
/// lease, keys, a deadline) is also expired for the process that resumes.
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
