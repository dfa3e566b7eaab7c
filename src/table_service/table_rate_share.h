#pragma once
/// @file One router's share of the table service's rate limit for the fleet. Does no I/O.

#include <cstdint>

#include "base/call_rate_limiter.h"

namespace crankspur {

/// Divides the fleet's rate limit by the number of routers. Until that number is known the share is minimal,
/// since a process that has just started may be one of many. The highest number counts until an hour after it
/// was last observed: partitioned regions do not see each other's routers but may reach the same service.
class TableRateShare {
public:
  /// @param fleet rate limit of all routers together.
  /// @param callers number of callers within this process, each of which gets an equal part.
  TableRateShare(RateLimit fleet, std::uint32_t callers) : fleet_(fleet), callers_(callers) {}

  /// Records the number of live routers, this one included.
  void recordRouterCount(std::uint32_t count, TimePoint now);
  /// @return the rate limit of one caller.
  RateLimit callerLimit() const;

private:
  RateLimit fleet_;
  std::uint32_t callers_;
  std::uint32_t routers_ = 0;  ///< 0: not yet known.
  TimePoint peak_seen_at_{};   ///< When at least `routers_` were last observed.
};

}  // namespace crankspur
