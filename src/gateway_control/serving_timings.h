#pragma once
/// @file How often gateways that serve tell the others so: shared by those who tell and those who judge
/// silence.

#include "base/time.h"

namespace crankspur::gateway {

/// Between two notices to the own zone and to those that serve elsewhere: a gateway that dies is left out of
/// the answers to clients some 1.3 s later, sooner than gossip finds it.
inline constexpr Duration kNoticeInterval = std::chrono::milliseconds(400);
/// Each so many notices one goes to the whole fleet.
inline constexpr int kNoticesPerFleetNotice = 3;
/// The set is worked out anew so often.
inline constexpr Duration kServingRefreshInterval = std::chrono::milliseconds(200);

}  // namespace crankspur::gateway
