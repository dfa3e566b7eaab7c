#pragma once
/// @file Delay for which changes of the platform's list of back ends are batched before they are read.

#include <cstddef>

#include "base/time.h"

namespace crankspur::gateway {

/// Every gateway reads the list whenever it changes, so the number of calls grows with the size of the fleet.
/// A larger fleet therefore batches changes for longer.
/// @param gateways number of live gateways that read the list.
/// @param departure_limit maximum time from the listing of a back end as leaving to the last new request for
/// it; the delay takes at most a fixed share of it.
Duration listBatchDelay(std::size_t gateways, Duration departure_limit);

}  // namespace crankspur::gateway
