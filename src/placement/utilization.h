#pragma once
/// @file How full the engines are, for admission.

#include "placement/engine_view.h"

namespace crankspur {

/// @return mean over Live engines of the larger of two shares: running requests of the batch limit, and time
/// that the reported queue takes of the first-token target. Above 1 when queues exceed the target; 1 when no
/// engine is Live.
double estimateUtilization(const RoutingSnapshot& snapshot);

}  // namespace crankspur
