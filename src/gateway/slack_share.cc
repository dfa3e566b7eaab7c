#include "gateway/slack_share.h"

#include <algorithm>

namespace crankspur::gateway {

void SlackShare::onDivisor(std::uint32_t divisor, TimePoint now) {
  started_at_ = std::min(started_at_, now);
  divisor_ = std::max(divisor, 1U);
}

double SlackShare::at(TimePoint now) const {
  const bool is_first_window = started_at_ == TimePoint::max() || now < started_at_ + window_;
  return is_first_window ? 0 : slack_ / divisor_;
}

}  // namespace crankspur::gateway
