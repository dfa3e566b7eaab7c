#include "table_service/table_share.h"

#include <algorithm>

namespace crankspur {

namespace {

/// Share of the rate that is left to looks at the accepted bundle, leases and operators.
constexpr double kKeptFree = 0.1;
/// What a caller may use before the number of routers is known; calls a second.
constexpr double kRateUntilKnown = 0.2;
constexpr Duration kMemory = std::chrono::hours(1);

}  // namespace

void TableShare::noteRouters(std::uint32_t count, TimePoint now) {
  if (count == 0) return;
  if (count >= routers_ || now - last_as_many_ > kMemory) {
    routers_ = count;
    last_as_many_ = now;
  }
}

RateLimit TableShare::callerLimit() const {
  if (routers_ == 0) return {kRateUntilKnown, 1.0};
  const double parts = static_cast<double>(routers_) * callers_;
  const double usable = 1.0 - kKeptFree;
  return {fleet_.per_second * usable / parts, std::max(1.0, fleet_.burst * usable / parts)};
}

}  // namespace crankspur
