/// @file Part of GatewayControl: messages between the traffic threads of gateways, about the load that they
/// have at each engine and the builds that began streams.

#include <utility>

#include "gateway_control/gateway_control.h"

namespace crankspur::gateway {
namespace {

/// Digests from other gateways are forwarded to the traffic thread in batches of this time, since each
/// hand-over wakes it.
constexpr Duration kForwardInterval = std::chrono::milliseconds(20);

}  // namespace

void GatewayControl::onOwnLoadDigest(const LoadDigest& digest) {
  for (const std::string& name : digest_recipients_.select(peers(), now())) gossip_.sendTo(name, digest);
}

void GatewayControl::onLoadDigest(const std::string& sender, const LoadDigest& digest) {
  digest_recipients_.onSender(sender, now());
  const bool waiting = !peer_loads_.empty();
  LoadDigest& latest = peer_loads_[sender];
  latest = digest;
  latest.sender = sender;
  if (waiting) return;
  peer_load_timer_.expires_after(kForwardInterval);
  peer_load_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) forwardPeerLoad();
  });
}

void GatewayControl::onOwnStreamOrigins(const std::vector<StreamOriginMessage>& messages) {
  for (const StreamOriginMessage& message : messages) {
    recordOrigins(message.message.begun);
    if (message.gateway != gossip_.ownName()) gossip_.sendTo(message.gateway, message.message);
  }
}

void GatewayControl::onStreamOrigins(const std::string& sender, const StreamOrigins& message) {
  recordOrigins(message.begun);
  if (outputs_.on_stream_origins) outputs_.on_stream_origins(sender, message);
}

void GatewayControl::forwardPeerLoad() {
  std::vector<LoadDigest> digests;
  for (auto& [sender, digest] : std::exchange(peer_loads_, {})) digests.push_back(std::move(digest));
  if (outputs_.on_peer_load) outputs_.on_peer_load(std::move(digests));
}

}  // namespace crankspur::gateway
