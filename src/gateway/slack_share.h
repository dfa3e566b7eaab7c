#pragma once
/// @file This gateway's share of the slack of the retry budgets, which does not depend on requests.

#include <cstdint>

#include "base/time.h"

namespace crankspur::gateway {

/// The shares of all gateways add up to the slack in each window. A process has none in its first window, in
/// which an earlier process of its gateway may have used the gateway's share, and in which it may not know
/// all gateways yet.
class SlackShare {
public:
  /// @param slack of all gateways together, in each window.
  SlackShare(double slack, Duration window) : slack_(slack), window_(window) {}

  /// To be called with each snapshot.
  /// @param divisor the gateway has this part of the slack.
  void onDivisor(std::uint32_t divisor, TimePoint now);
  /// @return retries that the gateway may send in a window whatever it receives.
  double at(TimePoint now) const;

private:
  double slack_;
  Duration window_;
  TimePoint started_at_ = TimePoint::max();
  std::uint32_t divisor_ = 1;
};

}  // namespace crankspur::gateway
