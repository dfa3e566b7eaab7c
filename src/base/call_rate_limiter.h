#pragma once
/// @file Token bucket over calls: the rate limit of an outside service, and its observance by a client. Pure.

#include <algorithm>
#include <optional>

#include "base/time.h"

namespace crankspur {

/// Rate limit of a service.
struct RateLimit {
  double per_second = 100.0;  ///< Calls a second in the long run; above 0.
  double burst = 20.0;        ///< Calls at once after a rest; at least 1.
};

/// A bucket that starts full. Taking may be booked ahead, which makes the level negative.
class CallRateLimiter {
public:
  explicit CallRateLimiter(RateLimit limit) : limit_(limit), level_(limit.burst) {}

  /// Puts another limit in force. What was saved up beyond the new burst is lost, nothing is given.
  void setLimit(RateLimit limit, TimePoint now) {
    refill(now);
    limit_ = limit;
    level_ = std::min(level_, limit.burst);
  }
  /// Takes away what was saved up.
  /// @param debt calls that must be earned before the first is free; at least 0.
  void empty(double debt) { level_ = std::min(level_, -debt); }

  /// Takes one token if there is one.
  bool tryTake(TimePoint now) {
    refill(now);
    if (level_ < 1.0) {
      return false;
    }
    level_ -= 1.0;
    return true;
  }

  /// Takes one token ahead of time.
  /// @return how long the caller must wait before it may use the token.
  Duration reserve(TimePoint now) {
    const Duration wait = untilNext(now);
    level_ -= 1.0;
    return wait;
  }

  /// Gives a token back that was reserved and not used.
  void giveBack() { level_ = std::min(limit_.burst, level_ + 1.0); }

  /// @return the time until tryTake() succeeds.
  Duration untilNext(TimePoint now) {
    refill(now);
    const double missing = std::max(0.0, 1.0 - level_);
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(missing / limit_.per_second));
  }

private:
  void refill(TimePoint now) {
    if (last_ && now > *last_) {
      level_ = std::min(limit_.burst, level_ + toSeconds(now - *last_) * limit_.per_second);
    }
    last_ = last_ ? std::max(*last_, now) : now;
  }

  RateLimit limit_;
  double level_;
  std::optional<TimePoint> last_;
};

}  // namespace crankspur
