#include "router/claim_table_health.h"

namespace crankspur {

namespace {

/// Consecutive failures after which the table is considered unavailable.
constexpr unsigned kFailuresUntilDown = 3;
/// Interval between probes while the table is unavailable.
constexpr Duration kProbeInterval = std::chrono::seconds(1);

}  // namespace

bool ClaimTableHealth::allow(TimePoint now) {
  if (!isDown()) return true;
  if (now < next_probe_) return false;
  next_probe_ = now + kProbeInterval;
  return true;
}

bool ClaimTableHealth::isDown() const {
  return failures_ >= kFailuresUntilDown;
}

}  // namespace crankspur
