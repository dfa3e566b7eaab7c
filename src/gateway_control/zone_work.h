#pragma once
/// @file What the gateways of one zone have at each engine together, told on to the other zones. In a large
/// fleet each gateway tells its own work to its own zone only; sums of zones then need one datagram for each
/// gateway and other zone, however many gateways a zone has. Pure decision code.

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "internal_protocol/messages.h"

namespace crankspur::gateway {

/// The newest digests of one zone's gateways. Not thread-safe.
class ZoneWork {
public:
  /// Takes a digest of a gateway of the zone, this one included, in place of the one before.
  void onDigest(const std::string& teller, const LoadDigest& digest, TimePoint now);
  /// @param zone name of the own zone.
  /// @param gateways live gateways of the zone, this one included: one with nothing to tell counts too.
  /// @return the sum of the digests that still count; without loads when there are none.
  LoadDigest total(const std::string& zone, std::uint32_t gateways, TimePoint now) const;

private:
  struct Told {
    LoadDigest digest;
    TimePoint told_at{};
  };
  std::map<std::string, Told> tellers_;
};

/// @param members live gateways of the fleet.
/// @param own name of this one.
/// @return gateways of other zones that this one tells its zone's work: each gateway has one teller in each
/// other zone, and tellers have equal shares.
std::vector<std::string> zoneWorkReceivers(const std::vector<MemberRecord>& members, const std::string& own);

}  // namespace crankspur::gateway
