#pragma once
/// @file Virtual time: a queue of events, which run in the order of (instant, insertion).

#include <cstdint>
#include <functional>
#include <vector>

#include "base/time.h"

namespace crankspur::sim {

/// Function run by the simulation.
using Task = std::function<void()>;

/// The only source of time in a simulation run.
class EventQueue : public Clock {
public:
  TimePoint now() const override { return now_; }
  /// Schedules `task` for `instant`, or for the current time when `instant` has passed.
  void at(TimePoint instant, Task task);
  /// Schedules `task` after `delay`.
  void after(Duration delay, Task task) { at(now_ + delay, std::move(task)); }
  /// Runs every event up to and including `end`, then sets the time to `end`.
  void runUntil(TimePoint end);
  /// @return number of events run so far.
  std::uint64_t processed() const { return processed_; }

private:
  struct Entry {
    TimePoint instant;
    std::uint64_t order;
    Task task;
  };
  static bool later(const Entry& left, const Entry& right);

  std::vector<Entry> heap_;
  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t next_order_ = 0;
  std::uint64_t processed_ = 0;
};

}  // namespace crankspur::sim
