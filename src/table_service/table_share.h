#pragma once
/// @file One router's share of the rate that the table service grants the whole fleet. Pure.

#include <cstdint>

#include "base/call_rate_limiter.h"

namespace crankspur {

/// Divides the fleet's rate by the number of routers. Until that number is known the share is the least,
/// since a process that has just started may be one of many. A higher number counts for an hour after it was
/// last seen: parted regions do not see each other and yet may reach the same service.
class TableShare {
public:
  /// @param fleet rate that all routers together may use.
  /// @param callers callers within this process, each of which gets an equal part.
  TableShare(RateLimit fleet, std::uint32_t callers) : fleet_(fleet), callers_(callers) {}

  /// Notes the number of live routers, this one included.
  void noteRouters(std::uint32_t count, TimePoint now);
  /// @return the limit of one caller.
  RateLimit callerLimit() const;

private:
  RateLimit fleet_;
  std::uint32_t callers_;
  std::uint32_t routers_ = 0;  ///< 0: not known yet.
  TimePoint last_as_many_{};
};

}  // namespace crankspur
