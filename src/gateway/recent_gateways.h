#pragma once
/// @file The gateways that share the limits of the fleet, or did so a short time ago.

#include <absl/container/btree_map.h>

#include <cstdint>
#include <deque>
#include <string>

#include "base/time.h"
#include "gateway/gateway_snapshot.h"

namespace crankspur::gateway {

/// Shares of a limit of the fleet add up to it if each gateway divides it by the gateways that it knows. A
/// gateway that leaves the list may have used its share, or it uses it still and a partition hides it. So it
/// counts for some time longer, and the shares of the others grow only then.
class RecentGateways {
public:
  /// Names of other gateways, and when a snapshot last had them.
  using Peers = absl::btree_map<std::string, TimePoint>;

  void onSnapshot(const GatewaySnapshot& snapshot, TimePoint now);
  /// @return the part of a limit of the fleet that this gateway has is one divided by this number.
  std::uint32_t shareDivisor() const { return divisors_.empty() ? 1 : divisors_.front().value; }
  const Peers& peers() const { return peers_; }

private:
  /// A divisor that was the largest one until `replaced_at`.
  struct Divisor {
    std::uint32_t value = 1;
    TimePoint replaced_at = TimePoint::max();
  };

  std::deque<Divisor> divisors_;  ///< Descending; the last one is that of the last snapshot.
  Peers peers_;
};

}  // namespace crankspur::gateway
