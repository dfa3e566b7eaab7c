#pragma once
/// @file Interval at which a router polls the info of each back end. Each back end has one owner among the
/// live routers of its region, which polls it about once a second. The other routers poll it at a lower rate
/// and otherwise receive updates from the owner. Decision logic only, without I/O.

#include <cstddef>

#include "base/time.h"

namespace crankspur {

/// Relation of a back end to the polling router; determines the poll rate.
enum class InfoPollClass {
  Owned,        ///< In the router's region and owned by it.
  InRegion,     ///< In the router's region and owned by another router.
  OtherRegion,  ///< In another region.
};

/// Number of back ends known to a router, by class.
struct InfoPollCounts {
  std::size_t owned = 0;
  std::size_t in_region = 0;
  std::size_t other_region = 0;
};

/// @param min_interval lower bound of the interval, however few back ends there are.
/// @param polls_per_second upper bound of this router's rate over all back ends.
/// @return mean interval between polls of a back end of the class.
Duration infoPollInterval(InfoPollClass poll_class, const InfoPollCounts& counts, Duration min_interval,
                          double polls_per_second);

}  // namespace crankspur
