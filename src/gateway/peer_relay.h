#pragma once
/// @file Selects the gateway to which a request is relayed while this one reaches too few back ends. Pure
/// decision code.

#include <absl/container/flat_hash_map.h>

#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "gateway/gateway_snapshot.h"

namespace crankspur::gateway {

/// Marks a request that another gateway relays; its value is the name of that gateway. A relayed request is
/// not relayed again. The mark grants nothing, so that a client gains nothing by sending it: the receiver
/// checks the key, the quota and the route as for any client.
inline constexpr char kRelayedByHeader[] = "Crankspur-Relayed-By";
/// Marks the refusal of a relayed request by a gateway that reaches no back end either.
inline constexpr char kOutOfReachHeader[] = "Crankspur-Out-Of-Reach";

/// The other gateways, as targets of relayed requests. Not thread-safe.
class PeerRelay {
public:
  explicit PeerRelay(RandomSource& random) : random_(random) {}

  void onSnapshot(const GatewaySnapshot& snapshot);
  /// The gateway cannot be reached, or reaches no back end either: it is not chosen for some time.
  void onFailed(const std::string& name, TimePoint now);
  /// @param tried names of gateways that the request was relayed to before.
  /// @return a random gateway, of the own zone if possible; null: none is left.
  const PeerGateway* choose(const std::vector<std::string>& tried, TimePoint now) const;

private:
  bool isEligible(const PeerGateway& peer, const std::vector<std::string>& tried, TimePoint now) const;

  RandomSource& random_;
  std::vector<PeerGateway> peers_;
  std::string own_zone_;
  absl::flat_hash_map<std::string, TimePoint> avoided_until_;
};

}  // namespace crankspur::gateway
