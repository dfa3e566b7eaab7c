#include "gateway/peer_relay.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

/// Several gateways of a zone may be partitioned together. Trying one again costs a request a few
/// milliseconds.
constexpr Duration kAvoidance = std::chrono::seconds(1);

}  // namespace

void PeerRelay::onSnapshot(const GatewaySnapshot& snapshot) {
  peers_ = snapshot.peers;
  own_zone_ = snapshot.own_zone;
  absl::erase_if(avoided_until_, [this](const auto& avoided) {
    return std::none_of(peers_.begin(), peers_.end(),
                        [&](const PeerGateway& peer) { return peer.name == avoided.first; });
  });
}

void PeerRelay::onFailed(const std::string& name, TimePoint now) {
  avoided_until_[name] = now + kAvoidance;
}

bool PeerRelay::isEligible(const PeerGateway& peer, const std::vector<std::string>& tried,
                           TimePoint now) const {
  const auto avoided = avoided_until_.find(peer.name);
  if (avoided != avoided_until_.end() && now < avoided->second) return false;
  return std::find(tried.begin(), tried.end(), peer.name) == tried.end();
}

const PeerGateway* PeerRelay::choose(const std::vector<std::string>& tried, TimePoint now) const {
  std::vector<const PeerGateway*> near;
  std::vector<const PeerGateway*> far;
  for (const PeerGateway& peer : peers_) {
    if (isEligible(peer, tried, now)) (peer.zone == own_zone_ ? near : far).push_back(&peer);
  }
  const std::vector<const PeerGateway*>& eligible = near.empty() ? far : near;
  if (eligible.empty()) return nullptr;
  const auto index = static_cast<std::size_t>(random_.unit() * static_cast<double>(eligible.size()));
  return eligible[std::min(index, eligible.size() - 1)];
}

}  // namespace crankspur::gateway
