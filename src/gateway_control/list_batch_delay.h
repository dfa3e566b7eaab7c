#pragma once
/// @file How long changes of the platform's list of back ends may be gathered before they are read.

#include <cstddef>

#include "base/time.h"

namespace crankspur::gateway {

/// Each gateway reads the list at each of its changes, so that the calls of a fleet grow with its size; a
/// larger one gathers changes for longer.
/// @param gateways live ones.
/// @param departure_limit from the listing of a back end as leaving to the last new request for it; more than
/// a part of it is never spent on gathering.
Duration listBatchDelay(std::size_t gateways, Duration departure_limit);

}  // namespace crankspur::gateway
