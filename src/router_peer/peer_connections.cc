#include "router_peer/peer_connections.h"

#include <algorithm>
#include <utility>

#include "internal_protocol/codec.h"

namespace crankspur {

namespace {

/// Maximum number of routers in one message to a sidecar; later messages carry the others.
constexpr std::size_t kRoutersPerMessage = 16;
/// Timeout of a bundle pull that has not received a body.
constexpr Duration kPullTimeout = std::chrono::seconds(1);
/// Connections to routers that are unused for this long are closed.
constexpr Duration kIdleTimeout = std::chrono::minutes(2);
constexpr Duration kIdleCheckInterval = std::chrono::seconds(15);
/// Write queue limit per router. Delayed gossip is useless, so a larger queue would not help.
constexpr std::size_t kRouterQueueBytes = std::size_t{16} * 1024 * 1024;

bool isClaimMessage(const Message& message) {
  return std::holds_alternative<ClaimPrepare>(message) || std::holds_alternative<ClaimReply>(message) ||
         std::holds_alternative<ClaimRelease>(message) || std::holds_alternative<ClaimRecord>(message) ||
         std::holds_alternative<ClaimSeal>(message) || std::holds_alternative<ClaimSealed>(message) ||
         std::holds_alternative<ClaimInstall>(message) ||
         std::holds_alternative<ClaimGroupRequest>(message) ||
         std::holds_alternative<ClaimGroupInfo>(message);
}

}  // namespace

/// One connection.
struct PeerConnections::Peer {
  std::uint64_t id = 0;
  std::shared_ptr<FrameConnection> connection;
  bool hello_received = false;
  NodeRole role = NodeRole::Router;
  std::string name;
  std::string address;  ///< Where a router listens.
  TimePoint used_at{};
};

PeerConnections::PeerConnections(const boost::asio::any_io_executor& executor, Hello self,
                                 PeerConnectionCallbacks callbacks)
    : executor_(executor), idle_timer_(executor), self_(std::move(self)), callbacks_(std::move(callbacks)) {}

PeerConnections::~PeerConnections() = default;

std::error_code PeerConnections::listen(const std::string& address) {
  std::error_code error;
  const auto hello = [this] {
    Hello current = self_;
    current.bundle_version = bundleVersion();
    return current;
  };
  const auto accept = [this](std::shared_ptr<FrameConnection> connection) {
    auto peer = std::make_shared<Peer>();
    peer->id = next_id_++;
    peer->connection = std::move(connection);
    peer->used_at = clock_.now();
    peers_[peer->id] = peer;
    return callbacksFor(peer);
  };
  listener_ = listenFrames(executor_, address, hello, accept, error);
  if (!error) closeIdle();
  return error;
}

FrameConnection::Callbacks PeerConnections::callbacksFor(const std::shared_ptr<Peer>& peer) {
  FrameConnection::Callbacks callbacks;
  callbacks.on_hello = [this, peer](const Hello& hello) { onHello(peer, hello); };
  callbacks.on_message = [this, peer](Message message) { onMessage(peer, std::move(message)); };
  callbacks.on_closed = [this, peer](std::error_code) { onClosed(peer); };
  return callbacks;
}

std::shared_ptr<PeerConnections::Peer> PeerConnections::connectTo(const std::string& address) {
  const auto known = routers_by_address_.find(address);
  if (known != routers_by_address_.end()) return known->second;
  auto peer = std::make_shared<Peer>();
  peer->id = next_id_++;
  peer->address = address;
  Hello hello = self_;
  hello.bundle_version = bundleVersion();
  ConnectionLimits limits;
  limits.write_queue_bytes = kRouterQueueBytes;
  peer->connection = connectFrames(executor_, address, hello, callbacksFor(peer), limits);
  peers_[peer->id] = peer;
  routers_by_address_[address] = peer;
  return peer;
}

void PeerConnections::onHello(const std::shared_ptr<Peer>& peer, const Hello& hello) {
  peer->hello_received = true;
  peer->role = hello.role;
  peer->name = hello.node_name;
  if (hello.role == NodeRole::Router && !hello.address.empty()) {
    peer->address = hello.address;
    routers_by_address_.try_emplace(hello.address, peer);
    callbacks_.on_router(hello);
  }
  // Sidecars are queried as well: if all routers restart while the platform is unavailable, only sidecars
  // still have the list.
  if (backends_.empty()) peer->connection->send(BackendListRequest{self_.node_name});
  pullIfNewer(*peer, hello.bundle_version);
  if (hello.role == NodeRole::Sidecar) sendStateToSidecar(*peer, 0);
}

void PeerConnections::onMessage(const std::shared_ptr<Peer>& peer, Message message) {
  peer->used_at = clock_.now();
  if (auto* submit = std::get_if<SubmitRequest>(&message)) {
    // A sidecar may have a newer bundle than this router.
    pullIfNewer(*peer, submit->bundle_version);
    callbacks_.on_submit(peer->id, std::move(*submit));
  } else if (auto* cancel = std::get_if<Cancel>(&message)) {
    callbacks_.on_cancel(peer->id, std::move(*cancel));
  } else {
    onControlMessage(*peer, std::move(message));
  }
}

void PeerConnections::onControlMessage(Peer& peer, Message message) {
  if (peer.role == NodeRole::Router) counts_.control_bytes_received += encodeFrame(message).size();
  if (auto* ping = std::get_if<Ping>(&message)) {
    pullIfNewer(peer, ping->bundle_version);
    if (peer.role == NodeRole::Sidecar) return respondToSidecarPing(peer, *ping);
    callbacks_.on_ping(std::move(*ping), peer.address);
  } else if (auto* ack = std::get_if<PingAck>(&message)) {
    pullIfNewer(peer, ack->bundle_version);
    if (peer.role == NodeRole::Router) callbacks_.on_ack(std::move(*ack));
  } else if (const auto* request = std::get_if<BundleRequest>(&message)) {
    respondToBundleRequest(peer, *request);
  } else if (auto* body = std::get_if<BundleBody>(&message)) {
    if (pulling_from_ == peer.id) pulling_from_ = 0;
    if (body->version > bundleVersion()) callbacks_.on_bundle(std::move(*body));
  } else if (const auto* update = std::get_if<BundleUpdate>(&message)) {
    applyBundleUpdate(peer, *update);
  } else if (std::holds_alternative<BackendListRequest>(message)) {
    if (!backends_.empty()) peer.connection->send(BackendList{self_.node_name, backends_});
  } else if (auto* list = std::get_if<BackendList>(&message)) {
    if (backends_.empty()) callbacks_.on_backends(std::move(*list));
  } else if (peer.role != NodeRole::Router) {
    return;
  } else if (auto* digest = std::get_if<LoadDigest>(&message)) {
    callbacks_.on_load_digest(std::move(*digest));
  } else if (auto* summary = std::get_if<CacheSummary>(&message)) {
    callbacks_.on_cache_summary(std::move(*summary));
  } else if (isClaimMessage(message) && !peer.address.empty()) {
    callbacks_.on_claim_message(std::move(message), peer.address);
  }
}

void PeerConnections::onClosed(const std::shared_ptr<Peer>& peer) {
  peers_.erase(peer->id);
  if (pulling_from_ == peer->id) pulling_from_ = 0;
  const auto known = routers_by_address_.find(peer->address);
  if (known != routers_by_address_.end() && known->second == peer) routers_by_address_.erase(known);
  if (peer->hello_received && peer->role == NodeRole::Sidecar) callbacks_.on_sidecar_lost(peer->id);
  reportWhenClosed();
}

void PeerConnections::sendToSidecars(const std::vector<SendToSidecar>& messages) {
  for (const SendToSidecar& item : messages) {
    const auto peer = peers_.find(item.sidecar);
    if (peer != peers_.end()) peer->second->connection->send(item.message);
  }
}

void PeerConnections::sendToRouter(const std::string& address, const Message& message) {
  if (stopped_ || address.empty()) return;
  const std::shared_ptr<Peer> peer = connectTo(address);
  peer->used_at = clock_.now();
  counts_.control_bytes_sent += encodeFrame(message).size();
  peer->connection->send(message);
}

void PeerConnections::setBundle(std::shared_ptr<const SignedBundle> bundle) {
  bundles_.setBundle(std::move(bundle));
  for (const auto& [id, peer] : peers_) {
    if (peer->hello_received && peer->role == NodeRole::Sidecar) sendStateToSidecar(*peer, 0);
  }
}

void PeerConnections::announceLeaving(const MemberRecord& self) {
  leaving_ = true;
  leaving_record_ = self;
  for (const auto& [id, peer] : peers_) {
    if (peer->hello_received && peer->role == NodeRole::Sidecar) sendStateToSidecar(*peer, 0);
  }
}

void PeerConnections::respondToSidecarPing(Peer& peer, const Ping& ping) {
  sendStateToSidecar(peer, ping.sequence);
}

void PeerConnections::sendStateToSidecar(Peer& peer, std::uint64_t sequence) {
  PingAck ack;
  ack.sequence = sequence;
  ack.sender = self_.node_name;
  ack.bundle_version = bundleVersion();
  if (leaving_) ack.members.push_back(leaving_record_);
  const std::size_t router_count = std::min(kRoutersPerMessage, routers_.size());
  for (std::size_t count = 0; count < router_count; ++count) {
    const MemberRecord& router = routers_[next_router_to_report_++ % routers_.size()];
    if (!leaving_ || router.name != leaving_record_.name) ack.members.push_back(router);
  }
  peer.connection->send(ack);
}

void PeerConnections::respondToBundleRequest(Peer& peer, const BundleRequest& request) {
  if (const std::optional<Message> response = bundles_.response(request)) peer.connection->send(*response);
}

void PeerConnections::applyBundleUpdate(Peer& peer, const BundleUpdate& update) {
  std::optional<BundleBody> body = bundles_.apply(update);
  if (!body && bundles_.needsFullBody()) {
    peer.connection->send(bundles_.request());
    return;
  }
  if (pulling_from_ == peer.id) pulling_from_ = 0;
  if (body) callbacks_.on_bundle(std::move(*body));
}

void PeerConnections::pullIfNewer(Peer& peer, std::uint64_t version) {
  const TimePoint now = clock_.now();
  if (!bundles_.shouldRequest(version, now)) return;
  const bool pulling = pulling_from_ != 0 && now < pull_ends_ && version <= pulling_version_;
  if (pulling) return;
  pulling_from_ = peer.id;
  pulling_version_ = version;
  pull_ends_ = now + kPullTimeout;
  peer.connection->send(bundles_.request());
}

void PeerConnections::closeIdle() {
  const TimePoint now = clock_.now();
  std::vector<std::shared_ptr<Peer>> idle;
  for (const auto& [id, peer] : peers_) {
    const bool unused = now - peer->used_at > kIdleTimeout;
    if (peer->hello_received && peer->role == NodeRole::Router && unused) idle.push_back(peer);
  }
  for (const std::shared_ptr<Peer>& peer : idle) peer->connection->close(true);
  idle_timer_.expires_after(kIdleCheckInterval);
  idle_timer_.async_wait([this](boost::system::error_code error) {
    if (!error && !stopped_) closeIdle();
  });
}

void PeerConnections::stop(std::function<void()> on_closed) {
  stopped_ = true;
  on_closed_ = std::move(on_closed);
  idle_timer_.cancel();
  listener_->stop();
  for (const auto& [id, peer] : peers_) peer->connection->close(true);
  reportWhenClosed();
}

void PeerConnections::reportWhenClosed() {
  if (peers_.empty() && on_closed_) std::exchange(on_closed_, nullptr)();
}

PeerConnectionCounts PeerConnections::counts() const {
  PeerConnectionCounts counts = counts_;
  for (const auto& [id, peer] : peers_) {
    if (!peer->hello_received) continue;
    ++(peer->role == NodeRole::Sidecar ? counts.sidecars : counts.routers);
  }
  return counts;
}

}  // namespace crankspur
