#pragma once
/// @file Simulated router: drives RequestRouter, Membership, BundleHolder and Lease over the simulated
/// network, as the router process does over a real network.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "bundle/bundle.h"
#include "claim/claim_group_service.h"
#include "lease/lease.h"
#include "membership/membership.h"
#include "router/engine_table.h"
#include "router/fleet_orders.h"
#include "router/request_router.h"
#include "sim/world/context.h"
#include "sim/world/platform_node.h"
#include "standins/engine/engine_types.h"

namespace crankspur::sim {

class RouterNode {
public:
  /// @param seeds configured seed routers for membership.
  RouterNode(Context& context, Host& host, std::vector<MemberRecord> seeds, TrustedKeys keys);
  ~RouterNode();

  /// Starts a process without state.
  void start();
  void crash(bool silent);
  /// Planned stop: drains, then terminates the process.
  void stop();
  /// Suspends the process; its pending work runs after wake().
  void pause();
  void wake();
  Host& host() { return host_; }

  // Called in the context of this host.
  void acceptSidecar(const ChannelPointer& channel, SidecarNode& sidecar);
  void onSidecarMessage(const ChannelPointer& channel, const Message& message);
  void onPing(const Ping& ping, const std::string& from);
  void onPingAck(const PingAck& ack);
  void onClaimMessage(const Message& message, const std::string& from);
  /// @return the current bundle in signed form; version 0 if there is none.
  BundleBody bundleBody() const;
  std::uint64_t bundleVersion() const;
  /// @return whether this process holds the order lease now.
  bool holdsLease() const;
  std::size_t inFlight() const;
  /// @return number of orders decided but not yet sent.
  std::size_t unsentOrders() const;
  /// @return the start of the current process in true (simulation) time.
  TimePoint startedAt() const;

private:
  struct Dispatch {
    ChannelPointer channel;
    std::string backend;
    std::string request_id;
    std::uint32_t attempt = 0;
    std::optional<EngineSlot> engine;  ///< Completions only.
    std::uint64_t incarnation = 0;
    std::uint64_t activity = 0;  ///< Incremented by each event, for the idle time-out.
  };
  /// Connection from a sidecar.
  struct SidecarLink {
    ChannelPointer channel;
    SidecarNode* node = nullptr;
    TimePoint last_received_at{};
  };
  /// Last cache event received from an engine.
  struct CacheEventPosition {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
  };
  /// State of one process; destroyed when the process ends.
  struct Process;

  // Process lifecycle and sidecar connections (router_node.cc).
  TimePoint now() const { return host_.now(); }
  void schedulePeriodic(Duration interval, std::function<void()> task);
  void terminateProcess();
  void awaitDrained();
  void sendToSidecar(SidecarId sidecar, Message message);
  void removeSidecar(SidecarId sidecar);
  void scheduleSidecarCheck(SidecarId sidecar);

  // Requests (router_requests.cc).
  void submit(SidecarId sidecar, SubmitRequest request);
  void executeActions();
  void armRequestTimer();
  void executeAction(const RouterAction& action);
  void executeSend(const SendToSidecar& action);
  void executeClaimCall(const ClaimTableCall& action);
  void onClaimResponse(std::uint64_t claim, const ClaimAction& action, const std::optional<TableRow>& read,
                       const std::optional<WriteResponse>& written);

  // Claim group (router_claims.cc).
  void configureClaimGroup();
  void tickClaimGroup();
  void executeClaimGroupActions();
  void executeClaimGroupAction(const ClaimGroupAction& action);
  void sendClaimMessage(const SendClaimMessage& action);
  void putClaimRow(const PutClaimRow& action);
  void applyClaimNotice(const GroupClaimNotice& action);

  // Back ends (router_dispatch.cc).
  void dispatchCompletion(const DispatchCompletion& action);
  void dispatchOperation(const DispatchOperation& action);
  void cancelDispatch(DispatchId dispatch);
  void openBackend(DispatchId dispatch, Host& backend,
                   const std::function<void(const ChannelPointer&)>& send);
  void onStreamEvent(DispatchId dispatch, const standin::StreamEvent& event);
  void backendEvent(DispatchId dispatch, const BackendEvent& event);
  void reportOutcome(const Dispatch& entry, const BackendEvent& event);
  void armIdleTimeout(DispatchId dispatch, std::uint64_t activity);
  void recordDecision(const SubmitRequest& request);

  // Control (router_control.cc).
  void listMachines();
  void executeEngineTableActions();
  void traceBackendChanges();
  void armEngineTimer();
  void pollEngine(const std::string& name, BackendPoll::Kind kind);
  void pollRunner(const std::string& name);
  void pollCacheEvents();
  void fetchCacheEvents(const EngineView& view);
  void applyCacheChanges(const EngineView& view, const standin::CacheChanges& changes);
  void fetchDigest(const std::string& engine, EngineSlot slot);
  void publish();
  void publishLoads();
  void executeMembershipActions();
  void armMembershipTimer();
  void pullBundle();
  void pollBundleRow();
  void offerBundle(const BundleBody& body);
  void applyBundle(const BundleBody& body);

  // Orders (router_orders.cc).
  void executeLeaseAction();
  void onLeaseResponse(const LeaseAction& action, const std::optional<TableRow>& read,
                       const std::optional<WriteResponse>& written);
  void sendOrders();
  void sendOrder(const FleetOrder& fleet_order, std::uint64_t token);

  Context& context_;
  Host& host_;
  std::vector<MemberRecord> seeds_;
  TrustedKeys keys_;
  std::unique_ptr<Process> process_;
};

/// State of one router process.
struct RouterNode::Process {
  std::unique_ptr<RequestRouter> requests;
  std::unique_ptr<Membership> membership;
  std::unique_ptr<BundleHolder> bundles;
  std::unique_ptr<Lease> lease;
  std::unique_ptr<ClaimGroupService> claim_group;
  bool claims_by_group = false;  ///< Value in the last published snapshot.
  std::unique_ptr<EngineTable> engines;
  std::shared_ptr<const RoutingSnapshot> snapshot;
  std::map<SidecarId, SidecarLink> sidecars;
  std::map<const Channel*, SidecarId> sidecar_ids;
  SidecarId next_sidecar = 1;
  std::map<DispatchId, Dispatch> dispatches;
  std::map<std::string, CacheEventPosition> cache_positions;
  std::set<std::string> digests_in_flight;
  FleetOrders orders;
  std::size_t unsent_orders = 0;
  TimePoint started_at{};  ///< In true (simulation) time.
  TimePoint request_timer = TimePoint::max();
  std::uint64_t request_timer_generation = 0;
  TimePoint engine_timer = TimePoint::max();
  std::uint64_t engine_timer_generation = 0;
  TimePoint membership_timer = TimePoint::max();
  std::uint64_t membership_timer_generation = 0;
  bool bundle_pull_in_flight = false;
  bool draining = false;
};

}  // namespace crankspur::sim
