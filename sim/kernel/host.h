#pragma once
/// @file A simulated machine with one process, which can crash, restart with a new epoch, be paused and be
/// resumed. Each machine has its own clock.

#include <cstdint>
#include <string>
#include <vector>

#include "sim/kernel/event_queue.h"

namespace crankspur::sim {

/// Location of a host.
struct Location {
  std::string zone;
  std::string region;
};

/// One machine. A posted task runs only if the process is still in the epoch in which the task was posted.
class Host {
public:
  Host(std::string name, Location location, EventQueue& queue)
      : name_(std::move(name)), location_(std::move(location)), queue_(queue) {}
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  const std::string& name() const { return name_; }
  const Location& location() const { return location_; }
  bool up() const { return up_; }
  bool paused() const { return paused_; }
  /// @return number of the current process start; 0 before the first.
  std::uint64_t epoch() const { return epoch_; }

  /// Starts a process, which begins a new epoch.
  void start();
  /// Ends the process; its pending tasks never run.
  void stop();
  /// Pauses the process: timers and deliveries are deferred, in order, until wake().
  void pause();
  void wake();

  /// Sets this host's clock to run at `rate` times true speed from `offset`.
  void setClock(Duration offset, double rate);
  /// @return this host's monotonic clock.
  TimePoint now() const;
  /// @return the true instant at which this host's clock shows `local`.
  TimePoint trueTime(TimePoint local) const;

  /// Runs `task` after `delay` of true time, unless this epoch has ended by then.
  void post(Duration delay, Task task);
  /// Runs `task` when this host's clock shows `local`.
  void postAt(TimePoint local, Task task);
  /// Runs `task` now, or after wake() if the process is paused; drops it if `epoch` has ended.
  void run(std::uint64_t epoch, Task task);

private:
  std::string name_;
  Location location_;
  EventQueue& queue_;
  bool up_ = false;
  bool paused_ = false;
  std::uint64_t epoch_ = 0;
  Duration clock_offset_{0};
  double clock_rate_ = 1.0;
  std::vector<Task> deferred_;
};

}  // namespace crankspur::sim
