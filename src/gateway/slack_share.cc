#include "gateway/slack_share.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

/// Longer than a window, and than most partitions between gateways.
constexpr Duration kGrowthDelay = std::chrono::seconds(60);

}  // namespace

void SlackShare::onDivisor(std::uint32_t divisor, TimePoint now) {
  started_at_ = std::min(started_at_, now);
  if (!divisors_.empty()) divisors_.back().replaced_at = now;
  while (!divisors_.empty() && divisors_.back().value <= divisor) divisors_.pop_back();
  while (!divisors_.empty() && divisors_.front().replaced_at + kGrowthDelay <= now) divisors_.pop_front();
  divisors_.push_back({std::max(divisor, 1U), TimePoint::max()});
}

std::uint32_t SlackShare::divisor(TimePoint now) const {
  const auto counts = [now](const Divisor& divisor) {
    return divisor.replaced_at == TimePoint::max() || now < divisor.replaced_at + kGrowthDelay;
  };
  const auto found = std::find_if(divisors_.begin(), divisors_.end(), counts);
  return found == divisors_.end() ? 1 : found->value;
}

double SlackShare::at(TimePoint now) const {
  if (started_at_ == TimePoint::max() || now < started_at_ + window_) return 0;
  return slack_ / divisor(now);
}

}  // namespace crankspur::gateway
