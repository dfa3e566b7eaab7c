#include "gateway_control/lease_contention.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

/// A gateway contends this much later for each one that ranks before it.
constexpr Duration kRankDelay = std::chrono::milliseconds(1'200);

}  // namespace

void LeaseContention::onPendingWork(std::optional<TimePoint> since, TimePoint now) {
  if (!since) {
    work_since_.reset();
    return;
  }
  work_since_ = std::min(work_since_.value_or(now), *since);
}

bool LeaseContention::contends(std::size_t rank, TimePoint now) const {
  if (!work_since_) return false;
  const TimePoint idle_since = std::max(*work_since_, others_active_at_);
  return now - idle_since >= kRankDelay * static_cast<Duration::rep>(rank);
}

}  // namespace crankspur::gateway
