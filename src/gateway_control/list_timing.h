#pragma once
/// @file Times of the calls that read the platform's list of back ends, derived from the departure limit: the
/// maximum time from the listing of a back end as leaving to the last new request for it.

#include <cstddef>

#include "base/time.h"

namespace crankspur::gateway {

/// Delay for which changes of the list are batched before they are read. Every gateway reads the list
/// whenever it changes, so the number of calls grows with the size of the fleet: a larger fleet batches for
/// longer, up to a fixed share of the limit.
/// @param gateways number of live gateways that read the list.
Duration listBatchDelay(std::size_t gateways, Duration departure_limit);

/// Maximum wait of a call for changes of the list. A call whose connection has gone silent for good is
/// noticed `late_threshold` after its wait, and another one then has to read the list within the limit.
Duration listWait(Duration departure_limit, Duration late_threshold);

}  // namespace crankspur::gateway
