#pragma once
/// @file A machine with one process on it: it can crash, restart as a new epoch, be paused and woken, and
/// has a clock of its own.

#include <cstdint>
#include <string>
#include <vector>

#include "sim/kernel/event_queue.h"

namespace crankspur::sim {

/// Where a host stands.
struct Place {
  std::string zone;
  std::string region;
};

/// One machine. Work given to it runs only while the epoch that it was given to is up.
class Host {
public:
  Host(std::string name, Place place, EventQueue& queue)
      : name_(std::move(name)), place_(std::move(place)), queue_(queue) {}
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  const std::string& name() const { return name_; }
  const Place& place() const { return place_; }
  bool up() const { return up_; }
  bool paused() const { return paused_; }
  /// @return number of the present process start; 0 before the first.
  std::uint64_t epoch() const { return epoch_; }

  /// Starts a process: a new epoch.
  void start();
  /// Ends the process; what was posted to it never runs.
  void stop();
  /// Freezes the process: timers and deliveries wait, in order, until wake().
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
  /// Runs `task` now if `epoch` is up; later if the host is paused; never if it has ended.
  void run(std::uint64_t epoch, Task task);

private:
  std::string name_;
  Place place_;
  EventQueue& queue_;
  bool up_ = false;
  bool paused_ = false;
  std::uint64_t epoch_ = 0;
  Duration clock_offset_{0};
  double clock_rate_ = 1.0;
  std::vector<Task> deferred_;
};

}  // namespace crankspur::sim
