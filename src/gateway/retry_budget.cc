#include "gateway/retry_budget.h"

#include <algorithm>

namespace crankspur::gateway {

std::int64_t RetryBudget::numberOf(TimePoint now) const {
  const auto length =
      std::max<std::int64_t>(settings_.window.count() / static_cast<std::int64_t>(kSlices), 1);
  return now.time_since_epoch().count() / length;
}

RetryBudget::Slice& RetryBudget::slice(TimePoint now) {
  const std::int64_t number = numberOf(now);
  Slice& found = slices_[static_cast<std::size_t>(number) % slices_.size()];
  if (found.number != number) found = {number, 0, 0};
  return found;
}

void RetryBudget::onRequest(TimePoint now) {
  ++slice(now).requests;
}

double RetryBudget::left(std::uint32_t share_divisor, TimePoint now) const {
  const std::int64_t current = numberOf(now);
  const auto window = static_cast<std::int64_t>(kSlices);
  double requests = 0;
  double retries = 0;
  for (const Slice& counted : slices_) {
    if (counted.number > current - window) requests += counted.requests;
    if (counted.number >= current - window) retries += counted.retries;
  }
  const bool has_slack = now - started_at_ >= settings_.window;
  const double slack = has_slack ? settings_.slack / std::max(share_divisor, 1U) : 0;
  return settings_.ratio * requests + slack - retries;
}

bool RetryBudget::tryRetry(std::uint32_t share_divisor, TimePoint now) {
  if (left(share_divisor, now) < 1) return false;
  ++slice(now).retries;
  return true;
}

void RetryBudget::onSent(TimePoint consumed_at, TimePoint now) {
  undo(consumed_at);
  ++slice(now).retries;
}

void RetryBudget::undo(TimePoint consumed_at) {
  const std::int64_t number = numberOf(consumed_at);
  Slice& counted = slices_[static_cast<std::size_t>(number) % slices_.size()];
  if (counted.number == number && counted.retries > 0) --counted.retries;
}

}  // namespace crankspur::gateway
