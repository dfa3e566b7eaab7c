#pragma once
/// @file Token bucket whose level may become negative: a request may take any cost while the level is above
/// zero, and the next one waits until the level is positive again. A request larger than the burst is
/// therefore delayed but never starved.

#include <algorithm>

#include "base/time.h"

namespace crankspur {

/// A token bucket; a rate of 0 means no limit.
class TokenBucket {
public:
  /// Changes the rate and burst; the level is kept, but capped at the burst. A new bucket starts full.
  void configure(double tokens_per_second, double burst, TimePoint now) {
    refill(now);
    const bool first = burst_ == 0;
    rate_ = tokens_per_second;
    burst_ = burst;
    level_ = first ? burst : std::min(level_, burst);
  }
  /// @return whether a request may take tokens.
  bool available(TimePoint now) {
    refill(now);
    return rate_ <= 0 || level_ > 0;
  }
  /// Takes tokens; a negative amount returns them.
  void take(double tokens, TimePoint now) {
    refill(now);
    level_ = std::min(level_ - tokens, burst_);
  }
  /// @return time until available() returns true if no more tokens are taken.
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
