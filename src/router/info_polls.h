#pragma once
/// @file How often a router asks each back end what it is. Each back end has one owner among the live routers
/// of its region, who asks it about once a second; the others ask it now and then and hear the rest from the
/// owner. Pure decision code.

#include <cstddef>

#include "base/time.h"

namespace crankspur {

/// How closely a router follows a back end.
enum class InfoPollClass {
  Owned,      ///< Of the own region, owned by this router.
  InRegion,   ///< Of the own region, owned by another router.
  Elsewhere,  ///< Of another region.
};

/// Back ends that a router knows, by class.
struct InfoPollCounts {
  std::size_t owned = 0;
  std::size_t in_region = 0;
  std::size_t elsewhere = 0;
};

/// @param shortest time between two questions to one back end, however few there are.
/// @param polls_per_second of this router to all back ends together.
/// @return mean time between two questions to a back end of the class.
Duration infoPollInterval(InfoPollClass poll_class, const InfoPollCounts& counts, Duration shortest,
                          double polls_per_second);

}  // namespace crankspur
