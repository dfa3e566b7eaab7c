#include "table_service/table_rate_share.h"

#include <algorithm>

namespace crankspur {

namespace {

/// Fraction of the rate reserved for reads of the accepted bundle, leases and operators.
constexpr double kReservedFraction = 0.1;
/// Calls per second of a caller before the number of routers is known.
constexpr double kRateUntilKnown = 0.2;
/// How long a higher number of routers counts after it was last observed.
constexpr Duration kPeakRetention = std::chrono::hours(1);

}  // namespace

void TableRateShare::recordRouterCount(std::uint32_t count, TimePoint now) {
  if (count == 0) return;
  if (count >= routers_ || now - peak_seen_at_ > kPeakRetention) {
    routers_ = count;
    peak_seen_at_ = now;
  }
}

RateLimit TableRateShare::callerLimit() const {
  if (routers_ == 0) return {kRateUntilKnown, 1.0};
  const double shares = static_cast<double>(routers_) * callers_;
  const double available_fraction = 1.0 - kReservedFraction;
  return {fleet_.per_second * available_fraction / shares,
          std::max(1.0, fleet_.burst * available_fraction / shares)};
}

}  // namespace crankspur
