#pragma once
/// @file Frame connections of a router: accepts sidecars and routers, connects to routers, sorts messages.
/// Everything happens on the thread of its executor.

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bundle/bundle_sharing.h"
#include "internal_protocol/connection.h"
#include "router/request_router.h"

namespace crankspur {

/// What the front hands on. Callbacks run on the front's thread.
struct PeerFrontCallbacks {
  std::function<void(SidecarId, SubmitRequest)> on_submit;
  std::function<void(SidecarId, Cancel)> on_cancel;
  std::function<void(SidecarId)> on_sidecar_lost;
  std::function<void(Ping, std::string address)> on_ping;  ///< Of a router.
  std::function<void(PingAck)> on_ack;                     ///< Of a router.
  std::function<void(const Hello&)> on_router;             ///< A router introduced itself.
  std::function<void(BundleBody)> on_bundle;
  std::function<void(BackendList)> on_backends;  ///< Answer to the own request.
  std::function<void(LoadDigest)> on_load_digest;
  std::function<void(CacheSummary)> on_cache_summary;
  std::function<void(Message, std::string address)> on_claim_message;  ///< Of a router's claim group.
};

/// Counts of the front, for metrics.
struct PeerFrontCounts {
  std::size_t sidecars = 0;
  std::size_t routers = 0;
  std::uint64_t control_bytes_sent = 0;  ///< Gossip, digests and summaries to routers, frames included.
  std::uint64_t control_bytes_received = 0;
};

/// The connections.
class PeerFront {
public:
  PeerFront(const boost::asio::any_io_executor& executor, Hello self, PeerFrontCallbacks callbacks);
  ~PeerFront();

  /// Binds the port. @return an error when it cannot be bound.
  std::error_code listen(const std::string& address);
  /// @return the bound port.
  std::uint16_t port() const { return listener_->port(); }
  /// Sets the address told to peers; to be called before the first connection.
  void setAdvertised(const std::string& address) { self_.address = address; }

  /// Sends to a sidecar; dropped when the connection has gone.
  void sendToSidecars(const std::vector<SendToSidecar>& messages);
  /// Connects to the router listening at `address` unless a connection is open.
  void connectToRouter(const std::string& address) {
    if (!stopped_) connectTo(address);
  }
  /// Sends to the router listening at `address`, connecting if need be.
  void sendToRouter(const std::string& address, const Message& message);
  /// Sets the bundle that requests are answered with, and tells its version to sidecars at once.
  void setBundle(std::shared_ptr<const SignedBundle> bundle);
  /// A bundle that came from peers or the platform did not verify.
  void onBundleRefused(std::uint64_t version) { bundles_.onRejected(version, clock_.now()); }
  void setBackends(std::vector<BackendRecord> backends) { backends_ = std::move(backends); }
  /// Sets the routers that sidecars hear of.
  void setRouters(std::vector<MemberRecord> routers) { routers_ = std::move(routers); }
  /// Tells every sidecar that this router is leaving. Later connections hear it at once too.
  void announceLeaving(const MemberRecord& self);
  /// Takes no further connection and closes all after what is queued has left.
  /// @param on_closed called once, when every connection has ended. A peer that does not read ends its own
  /// after ConnectionLimits::hello_timeout.
  void stop(std::function<void()> on_closed);
  /// @return counts as of now.
  PeerFrontCounts counts() const;

private:
  struct Peer;
  FrameConnection::Callbacks callbacksFor(const std::shared_ptr<Peer>& peer);
  void onHello(const std::shared_ptr<Peer>& peer, const Hello& hello);
  void onMessage(const std::shared_ptr<Peer>& peer, Message message);
  void onClosed(const std::shared_ptr<Peer>& peer);
  void onControlMessage(Peer& peer, Message message);
  void answerSidecarPing(Peer& peer, const Ping& ping);
  void answerBundleRequest(Peer& peer, const BundleRequest& request);
  void takeBundleUpdate(Peer& peer, const BundleUpdate& update);
  void pullIfNewer(Peer& peer, std::uint64_t version);
  void tellSidecar(Peer& peer, std::uint64_t sequence);
  std::shared_ptr<Peer> connectTo(const std::string& address);
  void closeIdle();
  void reportWhenClosed();
  std::uint64_t heldVersion() const { return bundles_.version(); }

  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer idle_timer_;
  Hello self_;
  PeerFrontCallbacks callbacks_;
  SteadyClock clock_;
  std::unique_ptr<FrameListener> listener_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, std::shared_ptr<Peer>> peers_;
  std::map<std::string, std::shared_ptr<Peer>> routers_by_address_;
  BundleSharing bundles_;
  std::uint64_t pulling_version_ = 0;
  std::uint64_t pulling_from_ = 0;
  TimePoint pull_ends_{};
  std::vector<BackendRecord> backends_;
  std::vector<MemberRecord> routers_;
  std::size_t next_router_told_ = 0;
  bool leaving_ = false;
  MemberRecord leaving_record_;
  bool stopped_ = false;
  std::function<void()> on_closed_;  ///< Set while stop() waits for connections to end.
  PeerFrontCounts counts_;
};

}  // namespace crankspur
