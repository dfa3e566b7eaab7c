#include "gateway/retry_budget.h"

#include <algorithm>
#include <limits>

namespace crankspur::gateway {

std::int64_t RetryBudget::numberOf(TimePoint now) const {
  const auto length = std::max<std::int64_t>(settings_.window.count() / kSlices, 1);
  return now.time_since_epoch().count() / length;
}

RetryBudget::Slice& RetryBudget::slice(TimePoint now) {
  const std::int64_t number = numberOf(now);
  Slice& found = slices_[static_cast<std::size_t>(number % kKeptSlices)];
  if (found.number != number) found = {number, 0, 0, 0};
  return found;
}

void RetryBudget::onRequest(TimePoint now) {
  ++slice(now).requests;
}

RetryBudget::Sums RetryBudget::sumsUntil(std::int64_t current) const {
  Sums sums;
  const std::int64_t oldest = current - kKeptSlices + 1;
  for (std::int64_t index = 0; index < kKeptSlices; ++index) {
    const std::int64_t number = std::max<std::int64_t>(oldest + index, 0);
    const Slice& counted = slices_[static_cast<std::size_t>(number % kKeptSlices)];
    const bool valid = counted.number == oldest + index;
    const auto at = static_cast<std::size_t>(index);
    sums.requests[at + 1] = sums.requests[at] + (valid ? counted.requests : 0);
    sums.retries[at + 1] = sums.retries[at] + (valid ? counted.retries : 0);
    sums.late_retries[at + 1] = sums.late_retries[at] + (valid ? counted.late_retries : 0);
  }
  return sums;
}

double RetryBudget::left(double slack, TimePoint now) const {
  const Sums sums = sumsUntil(numberOf(now));
  const double all_requests = sums.requests[kKeptSlices];
  const double all_retries = sums.retries[kKeptSlices] + reserved_;
  double least = std::numeric_limits<double>::max();
  // A window may begin anywhere within its first slice. So all retries of that slice may be in it, and all
  // requests of the slice a window earlier may lie before the two windows.
  for (std::size_t first = kSlices; first < kKeptSlices; ++first) {
    const double requests = all_requests - sums.requests[first - kSlices + 1];
    const std::size_t first_sent = first - kArrivalSlices;
    const double retries = all_retries - sums.retries[first_sent];
    const double late_retries = sums.late_retries[first_sent] - sums.late_retries[first - kSlices];
    least = std::min(least, settings_.ratio / 2 * requests + slack - retries - late_retries);
  }
  return least;
}

bool RetryBudget::tryReserve(double slack, TimePoint now) {
  if (left(slack, now) < 1) return false;
  ++reserved_;
  return true;
}

void RetryBudget::onSent(Original original, TimePoint now) {
  release();
  Slice& current = slice(now);
  ++current.retries;
  if (original == Original::may_be_late) ++current.late_retries;
}

void RetryBudget::release() {
  if (reserved_ > 0) --reserved_;
}

}  // namespace crankspur::gateway
