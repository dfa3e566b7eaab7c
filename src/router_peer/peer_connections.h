#pragma once
/// @file Frame connections of a router: accepts sidecars and routers, connects to routers, dispatches
/// messages. Must be used on the thread of its executor only.

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

/// Receivers of messages and connection events. Callbacks run on the executor's thread.
struct PeerConnectionCallbacks {
  std::function<void(SidecarId, SubmitRequest)> on_submit;
  std::function<void(SidecarId, Cancel)> on_cancel;
  std::function<void(SidecarId)> on_sidecar_lost;
  std::function<void(Ping, std::string address)> on_ping;  ///< From a router.
  std::function<void(PingAck)> on_ack;                     ///< From a router.
  std::function<void(const Hello&)> on_router;             ///< Handshake of a router.
  std::function<void(BundleBody)> on_bundle;
  std::function<void(BackendList)> on_backends;  ///< Response to a request of this router.
  std::function<void(LoadDigest)> on_load_digest;
  std::function<void(CacheSummary)> on_cache_summary;
  std::function<void(Message, std::string address)> on_claim_message;  ///< From a router.
};

/// Connection and traffic counts for metrics.
struct PeerConnectionCounts {
  std::size_t sidecars = 0;
  std::size_t routers = 0;
  std::uint64_t control_bytes_sent = 0;  ///< Gossip, digests and summaries to routers, including framing.
  std::uint64_t control_bytes_received = 0;
};

/// Connections to sidecars and other routers.
class PeerConnections {
public:
  PeerConnections(const boost::asio::any_io_executor& executor, Hello self,
                  PeerConnectionCallbacks callbacks);
  ~PeerConnections();

  /// Binds the port. @return an error when it cannot be bound.
  std::error_code listen(const std::string& address);
  /// @return the bound port.
  std::uint16_t port() const { return listener_->port(); }
  /// Sets the address advertised to peers. Must be called before the first connection.
  void setAdvertisedAddress(const std::string& address) { self_.address = address; }

  /// Sends messages to sidecars. A message to a disconnected sidecar is dropped.
  void sendToSidecars(const std::vector<SendToSidecar>& messages);
  /// Connects to the router listening at `address` unless a connection is open.
  void connectToRouter(const std::string& address) {
    if (!stopped_) connectTo(address);
  }
  /// Sends to the router listening at `address`, connecting if necessary.
  void sendToRouter(const std::string& address, const Message& message);
  /// Sets the bundle that is served to peers, and notifies sidecars of its version immediately.
  void setBundle(std::shared_ptr<const SignedBundle> bundle);
  /// A bundle received from peers or the platform failed verification.
  void onBundleRefused(std::uint64_t version) { bundles_.onRejected(version, clock_.now()); }
  void setBackends(std::vector<BackendRecord> backends) { backends_ = std::move(backends); }
  /// Sets the routers that are reported to sidecars.
  void setRouters(std::vector<MemberRecord> routers) { routers_ = std::move(routers); }
  /// Notifies all sidecars, also those that connect later, that this router is leaving.
  void announceLeaving(const MemberRecord& self);
  /// Stops accepting connections and closes each one after its queued messages are sent.
  /// @param on_closed called once, when all connections are closed. A connection whose peer does not read is
  /// closed after ConnectionLimits::hello_timeout.
  void stop(std::function<void()> on_closed);
  /// @return the current counts.
  PeerConnectionCounts counts() const;

private:
  struct Peer;
  FrameConnection::Callbacks callbacksFor(const std::shared_ptr<Peer>& peer);
  void onHello(const std::shared_ptr<Peer>& peer, const Hello& hello);
  void onMessage(const std::shared_ptr<Peer>& peer, Message message);
  void onClosed(const std::shared_ptr<Peer>& peer);
  void onControlMessage(Peer& peer, Message message);
  void respondToSidecarPing(Peer& peer, const Ping& ping);
  void respondToBundleRequest(Peer& peer, const BundleRequest& request);
  void applyBundleUpdate(Peer& peer, const BundleUpdate& update);
  void pullIfNewer(Peer& peer, std::uint64_t version);
  void sendStateToSidecar(Peer& peer, std::uint64_t sequence);
  std::shared_ptr<Peer> connectTo(const std::string& address);
  void closeIdle();
  void reportWhenClosed();
  std::uint64_t bundleVersion() const { return bundles_.version(); }

  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer idle_timer_;
  Hello self_;
  PeerConnectionCallbacks callbacks_;
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
  std::size_t next_router_to_report_ = 0;
  bool leaving_ = false;
  MemberRecord leaving_record_;
  bool stopped_ = false;
  std::function<void()> on_closed_;  ///< Set while stop() waits for connections to end.
  PeerConnectionCounts counts_;
};

}  // namespace crankspur
