#pragma once
/// @file The control state of a router: membership, engine table, bundle and platform state. Publishes
/// snapshots to the traffic shards. Everything here runs on one thread.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

#include "bundle/bundle.h"
#include "membership/membership.h"
#include "router/engine_table.h"
#include "router_peer/peer_connections.h"
#include "router_process/backend_poller.h"
#include "router_process/cache_event_feed.h"
#include "router_process/claim_group_driver.h"
#include "router_process/order_dispatcher.h"
#include "router_process/platform_watcher.h"
#include "router_process/router_settings.h"
#include "router_process/traffic_shard.h"
#include "router_process/zone_exchange.h"

namespace crankspur {

/// The connections to sidecars and other routers, and the thread that they run on.
struct PeerThread {
  EventLoopThread thread;
  std::unique_ptr<PeerConnections> connections;
};

/// Summary of the control state for /status.
struct ControlStatus {
  std::uint64_t bundle_version = 0;
  std::string site;
  bool platform_reachable = true;
  bool leaving = false;
  bool holds_order_lease = false;
  std::vector<EngineView> engines;
  std::vector<EngineView> runners;
  std::vector<MemberRecord> members;
  ClaimGroupStatus claim_group;
  bool table_reachable = true;
};

/// The control state. Use from its executor's thread only.
class ControlThread {
public:
  using Shards = std::vector<std::unique_ptr<TrafficShard>>;

  /// @param self this router's record; its address is what peers connect to.
  ControlThread(boost::asio::io_context& context, const RouterSettings& settings, MemberRecord self,
                PeerThread& peer_thread, Shards& shards, EventLog& log, RouterMetrics& metrics);

  /// Starts polling and gossip.
  void start();
  /// Planned shutdown: announces it to routers and sidecars.
  void leave();
  ControlStatus status() const;
  /// @return the name of the engine in a slot, or an empty string.
  std::string engineName(EngineSlot slot) const { return engine_table_.nameOf(slot); }

  void onPing(const Ping& ping, const std::string& address);
  void onAck(const PingAck& ack);
  void onRouter(const Hello& hello);
  /// @return whether the body was refused because it is invalid.
  bool onBundle(const BundleBody& body);
  void onOutcome(const EngineOutcome& outcome);
  void onBackends(const BackendList& list);
  void onLoadDigest(const LoadDigest& digest);
  void onCacheSummary(const CacheSummary& summary);
  void onCacheGap(EngineSlot slot, std::uint64_t incarnation);
  /// @param shard the traffic shard that requests the claim.
  void onGroupClaim(std::size_t shard, const GroupClaimRequest& request) {
    claim_group_.begin(shard, request);
  }
  void onGroupNotice(const GroupClaimNotice& notice) { claim_group_.notice(notice); }
  void onGroupFound() { claim_group_.onGroupFound(); }
  void onClaimMessage(const Message& message, const std::string& address) {
    claim_group_.onMessage(message, address);
  }

private:
  TimePoint now() const { return clock_.now(); }
  void onMachines(const MachineList& list);
  void publishBackends();
  void processMembershipEvents();
  void sendGossip();
  void applyMembershipChanges();
  void armMembershipTimer();
  void processEngineTableEvents();
  void startDuePolls();
  void armEngineTableTimer();
  void announceEngines();
  void logBackendChanges();
  void publish();
  void schedulePublish();
  void onCacheUpdate(const std::shared_ptr<const EngineCacheUpdate>& update);
  void sendToRouters(std::vector<std::string> addresses, Message message);
  void tickZoneExchange();
  bool mayContendForOrders() const;

  const RouterSettings& settings_;
  MemberRecord self_;
  PeerThread& peer_thread_;
  Shards& shards_;
  EventLog& log_;
  RouterMetrics& metrics_;
  SteadyClock clock_;
  BundleHolder bundle_;
  std::unique_ptr<Membership> membership_;
  EngineTable engine_table_;
  BackendPoller poller_;
  CacheEventFeed cache_feed_;
  PlatformWatcher platform_watcher_;
  ZoneExchange zone_exchange_;
  OrderDispatcher order_dispatcher_;
  ClaimGroupDriver claim_group_;
  boost::asio::steady_timer membership_timer_;
  boost::asio::steady_timer engine_table_timer_;
  boost::asio::steady_timer publish_timer_;
  boost::asio::steady_timer zone_exchange_timer_;
  std::vector<MemberRecord> live_members_;  ///< As of the last state change; bundle versions may be outdated.
  bool publish_scheduled_ = false;
  bool fleet_changed_ = true;  ///< Members or engines changed since the last update of zone_exchange_.
  bool leaving_ = false;
};

/// @return the handshake message of a router; its address is set once it listens.
Hello routerHello(const RouterSettings& settings, std::uint64_t incarnation);

/// Sets callbacks that forward every control message to the control state, on its event loop.
/// @param control set before the first message arrives; must outlive the connections.
void bindControlCallbacks(PeerConnectionCallbacks& callbacks, boost::asio::io_context& context,
                          const std::unique_ptr<ControlThread>& control);

}  // namespace crankspur
