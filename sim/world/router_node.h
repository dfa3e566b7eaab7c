#pragma once
/// @file A router of the simulation: drives RequestRouter, Membership, BundleHolder and Lease over the
/// simulated network, as the router process does over the real one.

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

/// One router.
class RouterNode {
public:
  /// @param seeds names of routers from the settings.
  RouterNode(Context& context, Host& host, std::vector<MemberRecord> seeds, TrustedKeys keys);
  ~RouterNode();

  /// Starts an empty process.
  void start();
  void crash(bool silent);
  /// Planned stop: drains, then ends the process.
  void stop();
  /// Freezes the process, with what it has not yet done.
  void pause();
  void wake();
  Host& host() { return host_; }

  // Calls that run at this host.
  void acceptSidecar(const ChannelPointer& channel, SidecarNode& sidecar);
  void onSidecarMessage(const ChannelPointer& channel, const Message& message);
  void onPing(const Ping& ping, const std::string& from);
  void onPingAck(const PingAck& ack);
  void onClaimMessage(const Message& message, const std::string& from);
  /// @return the held bundle's signed form; version 0 when none.
  BundleBody bundleBody() const;
  std::uint64_t bundleVersion() const;
  /// @return whether this process holds the order lease now.
  bool holdsLease() const;
  std::size_t inFlight() const;
  /// @return orders decided on but not yet sent.
  std::size_t unsentOrders() const;
  /// @return the true time of the present process's start.
  TimePoint startedAt() const;

private:
  struct Dispatch {
    ChannelPointer channel;
    std::string backend;
    std::string request_id;
    std::uint32_t attempt = 0;
    std::optional<EngineSlot> engine;  ///< Completions only.
    std::uint64_t incarnation = 0;
    std::uint64_t activity = 0;  ///< Grows with each event, for the idle time-out.
  };
  /// One connection of a sidecar.
  struct SidecarLink {
    ChannelPointer channel;
    SidecarNode* node = nullptr;
    TimePoint heard{};
  };
  struct EngineKnowledge {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
  };
  /// State of one process; gone at its end.
  struct Process;

  // Life (router_node.cc).
  TimePoint now() const { return host_.now(); }
  void every(Duration interval, std::function<void()> task);
  void endProcess();
  void awaitDrained();
  void sendToSidecar(SidecarId sidecar, Message message);
  void loseSidecar(SidecarId sidecar);
  void watchSidecar(SidecarId sidecar);

  // Decisions (router_requests.cc).
  void submit(SidecarId sidecar, SubmitRequest request);
  void pump();
  void armRequestTimer();
  void perform(const RouterAction& action);
  void performSend(const SendToSidecar& action);
  void performClaim(const ClaimTableCall& action);
  void claimAnswered(std::uint64_t claim, const ClaimAction& action, const std::optional<TableRow>& read,
                     const std::optional<WriteAnswer>& written);

  // Claim group (router_claims.cc).
  void configureClaimGroup();
  void tickClaimGroup();
  void pumpClaimGroup();
  void performClaimGroup(const ClaimGroupAction& action);
  void sendClaimMessage(const SendClaimMessage& action);
  void putClaimRow(const PutClaimRow& action);
  void noticeClaim(const GroupClaimNotice& action);

  // Back ends (router_dispatch.cc).
  void dispatchCompletion(const DispatchCompletion& action);
  void dispatchOperation(const DispatchOperation& action);
  void cancelDispatch(DispatchId dispatch);
  void openBackend(DispatchId dispatch, Host& backend,
                   const std::function<void(const ChannelPointer&)>& send);
  void onStreamEvent(DispatchId dispatch, const standin::StreamEvent& event);
  void backendEvent(DispatchId dispatch, const BackendEvent& event);
  void reportOutcome(const Dispatch& entry, const BackendEvent& event);
  void watchIdle(DispatchId dispatch, std::uint64_t activity);
  void recordDecision(const SubmitRequest& request);

  // Control (router_control.cc).
  void listMachines();
  void pumpEngineTable();
  void noteBackendChanges();
  void armEngineTimer();
  void pollEngine(const std::string& name, BackendPoll::Kind kind);
  void pollRunner(const std::string& name);
  void pollCacheEvents();
  void fetchCacheEvents(const EngineView& view);
  void takeCacheChanges(const EngineView& view, const standin::CacheChanges& changes);
  void fetchDigest(const std::string& engine, EngineSlot slot);
  void publish();
  void publishLoads();
  void pumpMembership();
  void armMembershipTimer();
  void pullBundle();
  void pollBundleRow();
  void offerBundle(const BundleBody& body);
  void takeBundle(const BundleBody& body);

  // Orders (router_orders.cc).
  void pumpLease();
  void leaseAnswered(const LeaseAction& action, const std::optional<TableRow>& read,
                     const std::optional<WriteAnswer>& written);
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
  bool claims_by_group = false;  ///< As last published.
  std::unique_ptr<EngineTable> engines;
  std::shared_ptr<const RoutingSnapshot> snapshot;
  std::map<SidecarId, SidecarLink> sidecars;
  std::map<const Channel*, SidecarId> sidecar_ids;
  SidecarId next_sidecar = 1;
  std::map<DispatchId, Dispatch> dispatches;
  std::map<std::string, EngineKnowledge> engine_knowledge;
  std::set<std::string> digests_running;
  FleetOrders orders;
  std::size_t unsent_orders = 0;
  TimePoint started_at{};  ///< True time.
  TimePoint request_timer = TimePoint::max();
  std::uint64_t request_timer_generation = 0;
  TimePoint engine_timer = TimePoint::max();
  std::uint64_t engine_timer_generation = 0;
  TimePoint membership_timer = TimePoint::max();
  std::uint64_t membership_timer_generation = 0;
  bool bundle_pull_running = false;
  bool draining = false;
};

}  // namespace crankspur::sim
