/// @file How gateways sendTo each other what they have at each engine.

#include <utility>

#include "gateway_control/gateway_control.h"

namespace crankspur::gateway {
namespace {

/// What others sendTo is passed on to the traffic thread in such steps, since each hand-over wakes it.
constexpr Duration kPassInterval = std::chrono::milliseconds(20);

}  // namespace

void GatewayControl::onOwnWork(const LoadDigest& digest) {
  for (const std::string& peer : peers()) gossip_.sendTo(peer, digest);
}

void GatewayControl::onLoadDigest(const std::string& sender, const LoadDigest& digest) {
  const bool waiting = !peer_work_.empty();
  LoadDigest& held = peer_work_[sender];
  held = digest;
  held.sender = sender;
  if (waiting) return;
  peer_work_timer_.expires_after(kPassInterval);
  peer_work_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) forwardPeerLoad();
  });
}

void GatewayControl::forwardPeerLoad() {
  std::vector<LoadDigest> digests;
  for (auto& [sender, digest] : std::exchange(peer_work_, {})) digests.push_back(std::move(digest));
  if (outputs_.on_peer_work) outputs_.on_peer_work(std::move(digests));
}

}  // namespace crankspur::gateway
