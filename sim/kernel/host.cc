#include "sim/kernel/host.h"

#include <cmath>

namespace crankspur::sim {

void Host::start() {
  ++epoch_;
  up_ = true;
  paused_ = false;
  deferred_.clear();
}

void Host::stop() {
  up_ = false;
  paused_ = false;
  deferred_.clear();
}

void Host::pause() {
  if (up_) paused_ = true;
}

void Host::wake() {
  if (!paused_) return;
  paused_ = false;
  std::vector<Task> tasks = std::move(deferred_);
  deferred_.clear();
  for (Task& task : tasks) post(Duration(0), std::move(task));
}

void Host::setClock(Duration offset, double rate) {
  clock_offset_ = offset;
  clock_rate_ = rate;
}

TimePoint Host::now() const {
  const auto elapsed = static_cast<double>(queue_.now().time_since_epoch().count());
  return TimePoint(Duration(std::llround(elapsed * clock_rate_)) + clock_offset_);
}

TimePoint Host::trueTime(TimePoint local) const {
  const auto elapsed = static_cast<double>((local - clock_offset_).time_since_epoch().count());
  return TimePoint(Duration(static_cast<std::int64_t>(std::ceil(elapsed / clock_rate_))));
}

void Host::post(Duration delay, Task task) {
  queue_.after(delay,
               [this, epoch = epoch_, task = std::move(task)]() mutable { run(epoch, std::move(task)); });
}

void Host::postAt(TimePoint local, Task task) {
  queue_.at(trueTime(local),
            [this, epoch = epoch_, task = std::move(task)]() mutable { run(epoch, std::move(task)); });
}

void Host::run(std::uint64_t epoch, Task task) {
  if (!up_ || epoch != epoch_) return;
  if (paused_) {
    deferred_.push_back(std::move(task));
    return;
  }
  task();
}

}  // namespace crankspur::sim
