/// @file How gateways tell each other what they have at each engine.

#include <utility>

#include "gateway_control/gateway_control.h"

namespace crankspur::gateway {
namespace {

/// What others tell is passed on to the traffic thread in such steps, since each hand-over wakes it.
constexpr Duration kPassInterval = std::chrono::milliseconds(20);

}  // namespace

void GatewayControl::onOwnLoadDigest(const LoadDigest& digest) {
  for (const std::string& peer : peers()) gossip_.tell(peer, digest);
}

void GatewayControl::onLoadDigest(const std::string& teller, const LoadDigest& digest) {
  const bool waiting = !peer_loads_.empty();
  LoadDigest& held = peer_loads_[teller];
  held = digest;
  held.sender = teller;
  if (waiting) return;
  peer_load_timer_.expires_after(kPassInterval);
  peer_load_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) passPeerWork();
  });
}

void GatewayControl::passPeerWork() {
  std::vector<LoadDigest> digests;
  for (auto& [teller, digest] : std::exchange(peer_loads_, {})) digests.push_back(std::move(digest));
  if (outputs_.on_peer_load) outputs_.on_peer_load(std::move(digests));
}

}  // namespace crankspur::gateway
