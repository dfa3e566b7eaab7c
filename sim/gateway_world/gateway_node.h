#pragma once
/// @file One gateway of a simulated fleet: runs the production decision classes on the virtual clock and
/// executes their actions over the simulated network, as TrafficLoop and GatewayControl do over sockets.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/suspension_watch.h"
#include "gateway/gateway.h"
#include "gateway_control/crash_coordinator.h"
#include "gateway_control/fleet_view.h"
#include "membership/membership.h"
#include "sim/gateway_world/engine_process.h"
#include "sim/gateway_world/fleet_context.h"
#include "sim/gateway_world/store_node.h"
#include "sim/gateway_world/suspicion_trace.h"

namespace crankspur::gateway_sim {

class FleetWorld;

/// Handlers of the response to an attempt, which run at the caller.
struct CallerHandlers {
  std::function<void(const gateway::Refuse&)> on_refused;
  std::function<void(const std::string&)> on_bytes;
  std::function<void()> on_end;
};

/// A request from a caller.
struct CallerRequest {
  std::uint64_t attempt = 0;
  BodyId body = 0;
  RequestKind kind = RequestKind::plain;
  Duration deadline{0};
  std::uint64_t resume_after = 0;  ///< Last event of a stream that the caller has; 0: none.
  std::uint64_t begun_by = 0;      ///< Attempt that brought its first event.
  bool from_peer = false;          ///< Another gateway relays it.
};

/// See the file comment.
class GatewayNode {
public:
  GatewayNode(FleetContext& context, FleetWorld& world, std::uint32_t number);
  ~GatewayNode();

  /// Starts a process without state.
  void start();
  /// Kills the process.
  /// @param silent the connections are not closed, as at a power loss.
  void kill(bool silent);
  /// Suspends the machine for `time`: the steady clock stops, the boot clock continues.
  void suspend(Duration time);
  /// Pauses the process for `time`, as when it is stopped by a signal.
  void pause(Duration time);

  sim::Host& host() { return host_; }
  const std::string& memberName() const { return member_name_; }
  /// @return digest of the evidence that the control side holds; 0 without a process.
  std::uint64_t crashDigest() const;

  /// A caller's request arrived on a connection.
  void onRequest(const sim::ChannelPointer& channel, const CallerRequest& request,
                 const CallerHandlers& handlers);
  /// A frame from another gateway arrived.
  void onDatagram(const std::string& from, const Message& message);

private:
  /// A timer of the process. Like an Asio timer, it does not count the time of a suspension.
  struct Timer {
    std::uint64_t generation = 0;
    Duration due{0};  ///< On the steady clock.
  };
  struct Client {
    CallerRequest request;
    CallerHandlers handlers;
    sim::ChannelPointer channel;
    TimePoint admitted_at{};
    TimePoint confirmed_at{};  ///< When the store had last confirmed the state known at admission.
  };
  struct Exchange {
    gateway::ClientId client = 0;
    sim::ChannelPointer channel;  ///< Null until connected.
    std::string body;             ///< Buffered until the gateway forwards or discards it.
    bool head = false;
    bool ended = false;
    /// Response without a body: of the gateway that it was relayed to, or an error response of the engine.
    std::optional<gateway::Refuse> refusal;
  };
  /// The calls that follow the cache of one engine.
  struct CacheCalls {
    std::uint64_t pending = 0;  ///< Number of the call without response; 0: none.
    TimePoint requested_at{};
    TimePoint next_at{};
  };
  /// Outcomes of a call for a record in the store.
  struct RecordHandlers {
    /// @param record empty: the store did not respond.
    std::function<void(const std::optional<gateway::StoredRecord>& record)> on_read;
    /// @param version of the record as written; empty: it has changed, or the outcome is unknown.
    std::function<void(std::optional<std::uint64_t> version)> on_written;
  };
  /// State that is lost when the process ends.
  struct Process;

  TimePoint now() const;
  Duration steadyNow() const;
  void arm(Timer& timer, TimePoint due, const sim::Task& task);
  void checkTimer(Timer& timer, std::uint64_t generation, const sim::Task& task);
  void every(Timer& timer, Duration interval, const sim::Task& task);

  // Traffic (gateway_node_traffic.cc).
  void executeActions();
  void sendStreamOrigins();
  void execute(const gateway::Refuse& action);
  void execute(const gateway::Dispatch& action);
  void execute(const gateway::RelayToPeer& action);
  void execute(const gateway::CancelExchange& action);
  void execute(const gateway::RecallUnsent& action);
  void execute(const gateway::DiscardResponse& action);
  void execute(const gateway::ForwardResponse& action);
  void execute(const gateway::ForwardHead& action);
  void execute(const gateway::ForwardBytes& action);
  void execute(const gateway::EndResponse& action);
  void execute(const gateway::AbortResponse& action);
  void execute(const gateway::ReportUnreachable& action);
  void execute(const gateway::ReportWrongBackend& action);
  void execute(const gateway::ProbeBackend& action);
  void execute(const gateway::ConfirmBuilds& action);
  void connect(gateway::ExchangeId id, EngineProcess& engine, const EngineRequest& request);
  EngineResponseHandlers responseHandlers(gateway::ExchangeId id);
  void onEngineHead(gateway::ExchangeId id, const EngineHead& head);
  void recordNotices(const EngineHead& head);
  void onEngineBytes(gateway::ExchangeId id, const std::string& bytes);
  void onEngineEnd(gateway::ExchangeId id);
  void onLost(gateway::ExchangeId id, bool sent);
  CallerHandlers relayHandlers(gateway::ExchangeId id);
  void onRelayedHead(gateway::ExchangeId id);
  void onRelayRefused(gateway::ExchangeId id, const gateway::Refuse& refusal);
  void sendToCaller(const Client& client, sim::Task deliver);
  void removeClient(gateway::ClientId id, bool close);

  // Control (gateway_node_control.cc).
  void readStore();
  void onStoreResponse(const EngineTableUpdate& table_update, TimePoint requested_at,
                       TimePoint requested_true_time);
  void onStoreFailure();
  void publish();
  void executeCrashActions();
  void execute(const gateway::SendCrashMessage& action);
  void execute(const gateway::NotifyTraffic& action);
  void execute(const gateway::CallStore& action);
  void callRecord(const std::string& name, const gateway::RecordCall& call, bool persists,
                  const RecordHandlers& handlers);
  void executeMembershipActions();
  void followCaches();
  void callCache(const std::string& name, EngineProcess& engine);
  void onCacheResponse(const std::string& name, std::uint64_t call, bool responded);
  void sendDatagram(const std::string& member, const Message& message);
  std::vector<std::string> otherMembers() const;
  void checkSuspension();

  // Records of builds and of the origins of streams (gateway_node_builds.cc).
  bool keepsBuildRecord() const;
  bool keepsOriginRecord() const;
  bool recordsReady() const;
  void startRecords();
  void exchangeBuilds(gateway::GatewaySnapshot& snapshot);
  void callBuildRecord();
  void confirmBuilds(std::uint64_t number);
  void respondBuilds(std::uint64_t number, const std::optional<gateway::StoredRecord>& record);
  void callOriginRecord();
  void restoreOrigins(std::vector<StreamOriginRecord> origins);
  void recordOrigins(const std::vector<StreamOriginRecord>& origins);

  FleetContext& context_;
  FleetWorld& world_;
  std::uint32_t number_;
  std::string member_name_;
  sim::Host host_;
  SuspicionTrace suspicions_;
  Duration suspended_{0};  ///< Total time.
  std::unique_ptr<Process> process_;
  TimePoint confirmed_at_{};  ///< True time at which the store last confirmed this process's state.
};

}  // namespace crankspur::gateway_sim
