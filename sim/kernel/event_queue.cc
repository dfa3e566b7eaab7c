#include "sim/kernel/event_queue.h"

#include <algorithm>

namespace crankspur::sim {

bool EventQueue::later(const Entry& left, const Entry& right) {
  if (left.instant != right.instant) return left.instant > right.instant;
  return left.order > right.order;
}

void EventQueue::at(TimePoint instant, Task task) {
  heap_.push_back({std::max(instant, now_), next_order_++, std::move(task)});
  std::push_heap(heap_.begin(), heap_.end(), later);
}

void EventQueue::runUntil(TimePoint end) {
  while (!heap_.empty() && heap_.front().instant <= end) {
    std::pop_heap(heap_.begin(), heap_.end(), later);
    Entry entry = std::move(heap_.back());
    heap_.pop_back();
    now_ = entry.instant;
    ++processed_;
    entry.task();
  }
  now_ = std::max(now_, end);
}

}  // namespace crankspur::sim
