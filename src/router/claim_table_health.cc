#include "router/claim_table_health.h"

namespace crankspur {

namespace {

/// Failures in a row from which the table counts as down.
constexpr unsigned kFailuresUntilDown = 3;
/// Pause between claims tried while the table counts as down.
constexpr Duration kProbeInterval = std::chrono::seconds(1);

}  // namespace

bool ClaimTableHealth::allow(TimePoint now) {
  if (!down()) return true;
  if (now < next_probe_) return false;
  next_probe_ = now + kProbeInterval;
  return true;
}

bool ClaimTableHealth::down() const {
  return failures_ >= kFailuresUntilDown;
}

}  // namespace crankspur
