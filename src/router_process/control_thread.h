#pragma once
/// @file The router's control state: membership, engine table, bundle, platform. Publishes snapshots to the
/// traffic shards. Everything runs on one thread.

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

/// The front with the thread that it lives on.
struct FrontThread {
  EventLoopThread thread;
  std::unique_ptr<PeerConnections> front;
};

/// What /status shows of the control state.
struct ControlStatus {
  std::uint64_t bundle_version = 0;
  std::string site;
  bool platform_reachable = true;
  bool leaving = false;
  bool gives_orders = false;
  std::vector<EngineView> engines;
  std::vector<EngineView> runners;
  std::vector<MemberRecord> members;
  ClaimGroupStatus claim_group;
  bool table_answers = true;
};

/// The control state. Use from its executor's thread only.
class ControlThread {
public:
  using Shards = std::vector<std::unique_ptr<TrafficShard>>;

  /// @param self this router's record; its address is what peers connect to.
  ControlThread(boost::asio::io_context& context, const RouterSettings& settings, MemberRecord self,
                FrontThread& front, Shards& shards, EventLog& log, RouterMetrics& metrics);

  /// Begins polling and gossip.
  void start();
  /// Planned stop: tells peers and sidecars.
  void leave();
  ControlStatus status() const;
  /// @return the name of the engine in a slot, or an empty string.
  std::string engineName(EngineSlot slot) const { return table_.nameOf(slot); }

  void onPing(const Ping& ping, const std::string& address);
  void onAck(const PingAck& ack);
  void onRouter(const Hello& hello);
  /// @return whether the body was refused for what it is.
  bool onBundle(const BundleBody& body);
  void onOutcome(const EngineOutcome& outcome);
  void onBackends(const BackendList& list);
  void onLoadDigest(const LoadDigest& digest);
  void onCacheSummary(const CacheSummary& summary);
  void onCacheGap(EngineSlot slot, std::uint64_t incarnation);
  /// @param shard the traffic shard that asks.
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
  void tellBackends();
  void onMembershipEvent();
  void sendGossip();
  void logMembers();
  void armMembershipTimer();
  void onTableEvent();
  void runTable();
  void armTableTimer();
  void announceEngines();
  void logBackends();
  void publish();
  void publishSoon();
  void onCacheNews(const std::shared_ptr<const CacheNews>& news);
  void sendToRouters(std::vector<std::string> addresses, Message message);
  void tickExchange();
  bool mayContendForOrders() const;

  const RouterSettings& settings_;
  MemberRecord self_;
  FrontThread& front_;
  Shards& shards_;
  EventLog& log_;
  RouterMetrics& metrics_;
  SteadyClock clock_;
  BundleHolder bundle_;
  std::unique_ptr<Membership> membership_;
  EngineTable table_;
  BackendPoller poller_;
  CacheEventFeed cache_feed_;
  PlatformWatcher platform_;
  ZoneExchange exchange_;
  OrderDispatcher orders_;
  ClaimGroupDriver claim_group_;
  boost::asio::steady_timer membership_timer_;
  boost::asio::steady_timer table_timer_;
  boost::asio::steady_timer publish_timer_;
  boost::asio::steady_timer exchange_timer_;
  std::vector<MemberRecord> live_members_;  ///< As of the last change; bundle versions may be older.
  bool publish_waiting_ = false;
  bool fleet_changed_ = true;  ///< Members or engines changed since the exchange heard of them.
  bool leaving_ = false;
};

/// @return what a router says of itself to peers; its address is set once it listens.
Hello routerHello(const RouterSettings& settings, std::uint64_t incarnation);

/// Makes a front hand every control message to the control state, on the control state's loop.
/// @param control filled before the first message; must outlive the front.
void connectControl(PeerConnectionCallbacks& callbacks, boost::asio::io_context& context,
                    const std::unique_ptr<ControlThread>& control);

}  // namespace crankspur
