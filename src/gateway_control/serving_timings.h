#pragma once
/// @file Intervals of serving notices. Shared by the code that sends them and the code that detects their
/// absence.

#include "base/time.h"

namespace crankspur::gateway {

/// Interval between notices to the own zone and to serving gateways of other zones. A gateway that fails is
/// left out of the addresses given to clients about 1.3 s later, sooner than gossip detects the failure.
inline constexpr Duration kNoticeInterval = std::chrono::milliseconds(400);
/// Every n-th notice is sent to the whole fleet.
inline constexpr int kNoticesPerFleetNotice = 3;
/// Interval at which the serving set is recomputed.
inline constexpr Duration kServingRefreshInterval = std::chrono::milliseconds(200);

}  // namespace crankspur::gateway
