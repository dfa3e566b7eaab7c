#pragma once
/// @file Sets Asio timers to time points of SteadyClock.

#include <algorithm>

#include "base/time.h"

namespace crankspur {

/// Sets a timer to expire at `due`. Asio's timers do not count suspended time and SteadyClock does, so their
/// time points are not comparable and the timer is set by the remaining time. After a suspension it fires
/// late; the handler must check the clock again.
/// @param due a time point more than a day ahead, such as TimePoint::max(), is replaced by a day from now.
template <typename Timer>
void expireAt(Timer& timer, TimePoint due, TimePoint now) {
  constexpr Duration kMaxDelay = std::chrono::hours(24);
  const bool beyond_max = due > now + kMaxDelay;
  timer.expires_after(beyond_max ? kMaxDelay : std::max(Duration(0), due - now));
}

}  // namespace crankspur
