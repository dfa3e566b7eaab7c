#pragma once
/// @file When a gateway begins to contend for the order lease. Pure decision code.

#include <cstddef>
#include <optional>

#include "base/time.h"

namespace crankspur::gateway {

/// Gateways contend one after the other, in their order of rank, so that normally one of them asks the table.
class LeaseContention {
public:
  /// Another gateway gives orders at present.
  void onOthersActive(TimePoint now) { others_active_at_ = now; }
  /// Notes whether there is work.
  /// @param since when it came up, as far as known; empty: there is none.
  void onWork(std::optional<TimePoint> since, TimePoint now);
  /// @param rank how many live gateways go before this one.
  /// @return whether nobody has done the work for so long that it is this gateway's turn.
  bool contends(std::size_t rank, TimePoint now) const;

private:
  /// Work that has been there without a break: weights named meanwhile do not begin it anew.
  std::optional<TimePoint> work_since_;
  TimePoint others_active_at_{};
};

}  // namespace crankspur::gateway
