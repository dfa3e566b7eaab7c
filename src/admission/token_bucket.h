#pragma once
/// @file Token bucket that may go into debt: whoever finds it above zero may take any cost, and the next
/// taker waits until the debt is paid back. So a request larger than the burst is delayed, never starved.

#include <algorithm>

#include "base/time.h"

namespace crankspur {

/// One bucket; a rate of 0 means no limit.
class TokenBucket {
public:
  /// Changes the rate and burst; the level is kept, at most the burst.
  void configure(double tokens_per_second, double burst, TimePoint now) {
    refill(now);
    const bool first = burst_ == 0;
    rate_ = tokens_per_second;
    burst_ = burst;
    level_ = first ? burst : std::min(level_, burst);
  }
  bool available(TimePoint now) {
    refill(now);
    return rate_ <= 0 || level_ > 0;
  }
  /// Takes tokens; a negative amount gives them back.
  void take(double tokens, TimePoint now) {
    refill(now);
    level_ = std::min(level_ - tokens, burst_);
  }
  /// @return time until available() holds again if nobody takes more.
  Duration timeUntilAvailable(TimePoint now) {
    if (available(now)) return Duration(0);
    return Duration(static_cast<std::int64_t>(-level_ / rate_ * 1e6) + 1);
  }

private:
  void refill(TimePoint now) {
    if (now <= updated_at_) return;
    level_ = std::min(level_ + rate_ * toSeconds(now - updated_at_), burst_);
    updated_at_ = now;
  }

  double rate_ = 0;
  double burst_ = 0;
  double level_ = 0;
  TimePoint updated_at_{};
};

}  // namespace crankspur
