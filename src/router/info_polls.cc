#include "router/info_polls.h"

#include <algorithm>

namespace crankspur {

namespace {

/// Share of the rate that owned back ends may take while there are others.
constexpr double kOwnedShare = 0.875;
/// Back ends of other regions are asked this many times less often than those of the own region.
constexpr double kElsewhereFactor = 5;

Duration fromSeconds(double seconds) {
  return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

}  // namespace

Duration infoPollInterval(InfoPollClass poll_class, const InfoPollCounts& counts, Duration shortest,
                          double polls_per_second) {
  const auto owned = static_cast<double>(counts.owned);
  const double others =
      static_cast<double>(counts.in_region) + static_cast<double>(counts.elsewhere) / kElsewhereFactor;
  const double owned_limit = others > 0 ? polls_per_second * kOwnedShare : polls_per_second;
  if (poll_class == InfoPollClass::Owned) return std::max(shortest, fromSeconds(owned / owned_limit));
  const double owned_rate = std::min(owned / toSeconds(shortest), owned_limit);
  const Duration of_region = std::max(shortest, fromSeconds(others / (polls_per_second - owned_rate)));
  if (poll_class == InfoPollClass::InRegion) return of_region;
  return Duration(static_cast<Duration::rep>(static_cast<double>(of_region.count()) * kElsewhereFactor));
}

}  // namespace crankspur
