#pragma once
/// @file Decides when a gateway begins to contend for the order lease. Pure decision code.

#include <cstddef>
#include <optional>

#include "base/time.h"

namespace crankspur::gateway {

/// Gateways contend one after the other, in order of rank, so that normally only one of them calls the lease
/// table.
class LeaseContention {
public:
  /// Another gateway is sending orders.
  void onOthersActive(TimePoint now) { others_active_at_ = now; }
  /// Records whether there is pending work.
  /// @param since when the work came up, as far as known; empty: there is none.
  void onPendingWork(std::optional<TimePoint> since, TimePoint now);
  /// @param rank how many live gateways rank before this one.
  /// @return whether the work has been pending for so long that it is this gateway's turn.
  bool contends(std::size_t rank, TimePoint now) const;

private:
  /// Since when there has been pending work without a break; weights named meanwhile do not restart it.
  std::optional<TimePoint> work_since_;
  TimePoint others_active_at_{};
};

}  // namespace crankspur::gateway
