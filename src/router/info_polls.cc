#include "router/info_polls.h"

#include <algorithm>

namespace crankspur {

namespace {

/// Maximum share of the rate for owned back ends while there are other back ends.
constexpr double kOwnedShare = 0.875;
/// Ratio of the poll interval of back ends in other regions to that of back ends in the router's region.
constexpr double kOtherRegionFactor = 5;

Duration fromSeconds(double seconds) {
  return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

}  // namespace

Duration infoPollInterval(InfoPollClass poll_class, const InfoPollCounts& counts, Duration min_interval,
                          double polls_per_second) {
  const auto owned = static_cast<double>(counts.owned);
  const double others =
      static_cast<double>(counts.in_region) + static_cast<double>(counts.other_region) / kOtherRegionFactor;
  const double owned_limit = others > 0 ? polls_per_second * kOwnedShare : polls_per_second;
  if (poll_class == InfoPollClass::Owned) return std::max(min_interval, fromSeconds(owned / owned_limit));
  const double owned_rate = std::min(owned / toSeconds(min_interval), owned_limit);
  const Duration in_region_interval =
      std::max(min_interval, fromSeconds(others / (polls_per_second - owned_rate)));
  if (poll_class == InfoPollClass::InRegion) return in_region_interval;
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(in_region_interval.count()) * kOtherRegionFactor));
}

}  // namespace crankspur
