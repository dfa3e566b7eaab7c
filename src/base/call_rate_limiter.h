#pragma once
/// @file Token bucket for calls: models the rate limit of an external service or enforces it in a client.
/// Without I/O.

#include <algorithm>
#include <optional>

#include "base/time.h"

namespace crankspur {

/// Rate limit of a service.
struct RateLimit {
  double per_second = 100.0;  ///< Sustained calls per second; above 0.
  double burst = 20.0;        ///< Calls allowed at once after idle time; at least 1.
};

/// A bucket that is full initially. Tokens may be reserved in advance, which makes the level negative.
class CallRateLimiter {
public:
  explicit CallRateLimiter(RateLimit limit) : limit_(limit), level_(limit.burst) {}

  /// Changes the limit. Tokens beyond the new burst are lost; no tokens are added.
  void setLimit(RateLimit limit, TimePoint now) {
    refill(now);
    limit_ = limit;
    level_ = std::min(level_, limit.burst);
  }
  /// Removes all accumulated tokens.
  /// @param debt additional tokens that must be refilled before the next call; at least 0.
  void drain(double debt) { level_ = std::min(level_, -debt); }

  /// Acquires one token if one is available.
  bool tryAcquire(TimePoint now) {
    refill(now);
    if (level_ < 1.0) {
      return false;
    }
    level_ -= 1.0;
    return true;
  }

  /// Reserves one token in advance.
  /// @return the delay after which the caller may use the token.
  Duration reserve(TimePoint now) {
    const Duration wait = timeUntilNext(now);
    level_ -= 1.0;
    return wait;
  }

  /// Returns a token that was reserved and not used.
  void returnToken() { level_ = std::min(limit_.burst, level_ + 1.0); }

  /// @return the time until tryAcquire() succeeds.
  Duration timeUntilNext(TimePoint now) {
    refill(now);
    const double missing = std::max(0.0, 1.0 - level_);
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(missing / limit_.per_second));
  }

private:
  void refill(TimePoint now) {
    if (last_refill_ && now > *last_refill_) {
      level_ = std::min(limit_.burst, level_ + toSeconds(now - *last_refill_) * limit_.per_second);
    }
    last_refill_ = last_refill_ ? std::max(*last_refill_, now) : now;
  }

  RateLimit limit_;
  double level_;
  std::optional<TimePoint> last_refill_;
};

}  // namespace crankspur
