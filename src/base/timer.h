#pragma once
/// @file Arms Asio's timers for instants of the product's clock.

#include <algorithm>

#include "base/time.h"

namespace crankspur {

/// Asio's timers do not count time for which the machine was suspended, and the product's clock does: their
/// instants are not comparable, so that a timer is armed by the time left. After a suspension it fires late;
/// whoever acts on it looks at the clock again.
/// @param due TimePoint::max() and other far instants: a day from now.
template <typename Timer>
void expireAt(Timer& timer, TimePoint due, TimePoint now) {
  constexpr Duration kLongest = std::chrono::hours(24);
  const bool far = due > now + kLongest;
  timer.expires_after(far ? kLongest : std::max(Duration(0), due - now));
}

}  // namespace crankspur
