#pragma once
/// @file The control state of one gateway: platform state, the back ends, the other gateways and the roll-out
/// of weights. Publishes snapshots to the traffic thread. Everything here runs on one thread.

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/suspension_watch.h"
#include "gateway/build_confirmations.h"
#include "gateway/load_meter.h"
#include "gateway/stream_origins.h"
#include "gateway_control/build_record.h"
#include "gateway_control/cache_exchange.h"
#include "gateway_control/cache_watch.h"
#include "gateway_control/crash_coordinator.h"
#include "gateway_control/digest_recipients.h"
#include "gateway_control/fleet_view.h"
#include "gateway_control/gossip_socket.h"
#include "gateway_control/node_settings.h"
#include "gateway_control/origin_record.h"
#include "gateway_control/platform_link.h"
#include "gateway_control/rollout_coordinator.h"
#include "gateway_control/serving_set.h"
#include "gateway_control/state_contact.h"

namespace crankspur::gateway {

/// Callbacks that receive the decisions of the control state. Called on its thread.
struct GatewayControlOutputs {
  std::function<void(std::shared_ptr<const GatewaySnapshot>)> publish;
  std::function<void(CachedPartsUpdate)> on_cached_parts;
  std::function<void(std::vector<LoadDigest>)> on_peer_load;
  std::function<void(CrashUpdate)> on_crash_update;
  std::function<void(std::string sender, StreamOrigins)> on_stream_origins;
  /// Response to confirmBuilds().
  std::function<void(ConfirmedBuilds)> on_builds_confirmed;
  /// Open connections to several peers went silent together; connections of traffic may be affected as well.
  std::function<void()> on_connections_silent;
};

/// Summary of the control state for operators.
struct ControlStatus {
  std::uint64_t configuration_version = 0;  ///< 0: none received yet.
  Duration knowledge_age{0};                ///< Time since the platform confirmed the configuration.
  Duration list_age{0};                     ///< Time since the platform confirmed the list of back ends.
  bool platform_reachable = false;
  bool leaving = false;
  bool holds_order_lease = false;
  std::uint64_t orders_sent = 0;  ///< Since the process started.
  std::vector<MemberRecord> members;
  std::vector<std::string> serving;  ///< Member names of the gateways that clients are sent to.
  bool serves = true;                ///< Whether this gateway is one of them.
  std::vector<Backend> backends;
};

/// The control state. Use from its executor's thread only.
class GatewayControl : private GossipReceiver {
public:
  GatewayControl(const boost::asio::any_io_executor& executor, const NodeSettings& settings,
                 std::uint64_t incarnation, PlatformLink& platform, GatewayControlOutputs outputs,
                 EventLog& log);

  /// Binds the gossip address. May be called again after a failure.
  std::error_code listen() { return gossip_.listen(); }
  /// Starts gossip, the platform link and all timers. To be called after listen().
  void start();
  /// Planned shutdown: announces it to the other gateways and sends no further orders.
  void leave();
  /// Applies changed settings. Changes of addresses take effect only at a restart.
  void onSettings(const NodeSettings& settings);
  /// @param zone zone of the requesting clients; empty or unknown: any.
  /// @return "IP:port" of each gateway that these clients should use.
  std::vector<std::string> clientAddresses(const std::string& zone) const;
  ControlStatus status() const;

  void onUnreachable(EngineSlot slot, std::uint64_t incarnation);
  void onWrongBackend(EngineSlot slot, std::uint64_t incarnation,
                      std::optional<std::uint64_t> weights_version);
  /// Sends the load that this gateway has placed on each engine to the other gateways; in a large fleet only
  /// to the serving ones.
  void onOwnLoadDigest(const LoadDigest& digest);
  void onOwnLoad(const OwnLoad& load) { own_load_ = load; }
  /// Reports to all other gateways which back ends crashed while running which requests.
  void onOwnCrashUpdate(const CrashUpdate& update);
  /// Reads the list of back ends and the record of builds. A later call replaces one that is in progress.
  void confirmBuilds(std::uint64_t number);
  /// Sends messages about the builds that began streams.
  void onOwnStreamOrigins(const std::vector<StreamOriginMessage>& messages);

private:
  TimePoint now() const { return clock_.now(); }
  PlatformCallbacks platformCallbacks();
  RolloutCoordinatorCallbacks orderCallbacks();
  void onMembersChanged() override;
  void onBackendNote(const BackendNote& note) override;
  void onCacheNotes(const std::string& sender, const CacheNotes& notes) override;
  void onCacheWanted(const std::string& requester, const CacheWanted& wanted) override;
  void onLoadDigest(const std::string& sender, const LoadDigest& digest) override;
  void onServingNotice(const std::string& sender, const ServingNotice& notice) override;
  void onCrashNotes(const CrashNotes& notes) override;
  void onCrashDigest(const std::string& sender, const CrashDigest& digest) override;
  void onStreamOrigins(const std::string& sender, const StreamOrigins& message) override;
  void onCrashRecord(const CrashUpdate& update);
  void executeCrashActions();
  void callBuildRecord();
  void onBuildsRead(std::uint64_t number, const std::optional<StoredRecord>& record);
  void finishConfirmation();
  void onListContact(TimePoint as_of);
  void callOriginRecord();
  void restoreOrigins(std::vector<StreamOriginRecord> origins);
  void recordOrigins(const std::vector<StreamOriginRecord>& origins);
  bool recordsReady() const;
  void execute(const SendCrashMessage& action);
  void execute(const NotifyTraffic& action);
  void execute(const CallStore& action);
  std::vector<std::string> otherMembers() const;
  void forwardPeerLoad();
  void onOwnCacheUpdate(CachedPartsUpdate update);
  CacheWatchCallbacks cacheCallbacks();
  void onCacheUnresponsive(const UnresponsiveCache& cache);
  void onCacheResponse(EngineSlot slot, std::uint64_t incarnation);
  void onCacheResponsive(EngineSlot slot, std::uint64_t incarnation);
  void onStoreUnresponsive(const Backend& store);
  void onUnresponsiveNote(const BackendNote& note);
  void sendToSharingGateways(const BackendNote& note);
  std::vector<std::string> allClientAddresses() const;
  std::vector<std::string> peers() const;
  std::vector<PeerGateway> peerGateways() const;
  std::vector<std::string> sharingGateways() const;
  void sendToPeers(const BackendNotes& notes);
  void refreshServing();
  void onServingRefreshed(bool changed);
  void updateReaders();
  void sendServingNotice();
  void broadcastNotice(const ServingNotice& notice, bool whole_fleet);
  void assignShares(GatewaySnapshot& snapshot) const;
  void logUnresponsive(const std::string& backend, bool unresponsive, Duration time);
  void listKvStores();
  void scheduleCacheBroadcast();
  void broadcastCacheNotes();
  void forwardReceivedUpdates();
  bool followsCache(const std::string& backend);
  bool fleetIsKnown();
  std::vector<std::string> zoneMembers() const;
  void updateCacheWatch();
  const Backend* findBackend(const std::string& id) const;
  const Backend* findBackend(EngineSlot slot, std::uint64_t incarnation) const;
  void logMember(const MemberRecord& member, std::string_view from, std::string_view to);
  void onConfiguration(std::shared_ptr<const Configuration> configuration);
  void onContact(TimePoint as_of);
  void onListChanged();
  void onPlatformFailure();
  void onConnectionsSilent();
  void watchForSuspension();
  void onLoading(const std::string& backend);
  void onWeightsReport(const std::string& backend, const WeightsReport& report, bool is_loading);
  void applyBackendNote(const BackendNote& note);
  std::size_t rank() const;
  bool isMemberLive(const std::string& name) const;
  bool keysCurrent() const;
  void schedulePublish();
  void publish();
  void armPublishTimer();
  void logFleetChanges();

  NodeSettings settings_;
  PlatformLink& platform_;
  GatewayControlOutputs outputs_;
  EventLog& log_;
  SteadyClock clock_;
  GossipSocket gossip_;
  ServingSet serving_;
  FleetView fleet_;
  std::vector<Backend> backends_;  ///< As last published.
  RolloutCoordinator orders_;
  CacheWatch cache_watch_;
  CacheExchange caches_;
  CrashCoordinator crashes_;
  BuildRecord build_record_;
  /// A read for confirmBuilds().
  struct Confirmation {
    std::uint64_t number = 0;
    TimePoint requested_at{};
    std::optional<StoredRecord> record;  ///< Empty: not read yet.
  };
  std::optional<Confirmation> confirmation_;  ///< In progress.
  OriginRecord origin_record_;
  bool cache_send_scheduled_ = false;
  TimePoint member_added_at_{};                            ///< When an unknown gateway last joined.
  bool fleet_stable_ = false;                              ///< Set once by fleetIsKnown().
  std::vector<CachedPartsUpdate> received_cache_updates_;  ///< From other gateways, not yet forwarded.
  std::set<std::string> kv_stores_;                        ///< Ids of the stores in the configuration.
  std::map<std::string, LoadDigest> peer_loads_;           ///< By sender; not yet forwarded to traffic.
  DigestRecipients digest_recipients_;
  OwnLoad own_load_;
  int serving_refreshes_ = 0;  ///< Since the process started.
  std::map<std::string, bool>
      follows_;  ///< By back end: whether, among sharing_, this gateway follows its cache.
  /// Gateways among which the followed caches are divided; empty: each gateway follows all caches.
  std::vector<std::string> sharing_;
  std::shared_ptr<const Configuration> configuration_;
  StateContact contact_;       ///< Of the configuration.
  StateContact list_contact_;  ///< Of the list of back ends.
  bool platform_reachable_ = true;
  TimePoint unreachable_since_{};                ///< When the platform last became unreachable.
  std::map<std::string, MemberRecord> members_;  ///< As last logged, by name.
  bool leaving_ = false;
  bool publish_scheduled_ = false;
  bool keys_current_ = true;
  boost::asio::steady_timer publish_timer_;
  boost::asio::steady_timer change_timer_;
  boost::asio::steady_timer cache_send_timer_;
  boost::asio::steady_timer received_cache_timer_;
  boost::asio::steady_timer peer_load_timer_;
  boost::asio::steady_timer serving_timer_;
  boost::asio::steady_timer crash_timer_;
  boost::asio::steady_timer build_record_timer_;
  boost::asio::steady_timer origin_record_timer_;
  SuspensionWatch suspension_;
  boost::asio::steady_timer suspension_timer_;
};

}  // namespace crankspur::gateway
