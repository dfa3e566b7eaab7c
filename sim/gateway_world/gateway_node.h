#pragma once
/// @file One gateway of a simulated fleet: hosts the product's decision classes on the virtual clock, and
/// carries out their actions over the simulated network. The glue does what TrafficLoop and GatewayControl do
/// with sockets.

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

/// What a caller hears of its attempt, at the caller.
struct CallerHandlers {
  std::function<void(int status, gateway::RequestCause cause, Duration retry_after)> on_refused;
  std::function<void(const std::string&)> on_bytes;
  std::function<void()> on_end;
};

/// A request as a caller sends it.
struct CallerRequest {
  std::uint64_t attempt = 0;
  BodyId body = 0;
  RequestKind kind = RequestKind::plain;
  Duration deadline{0};
};

/// See the file comment.
class GatewayNode {
public:
  GatewayNode(FleetContext& context, FleetWorld& world, std::uint32_t number);
  ~GatewayNode();

  /// Starts a process that knows nothing.
  void start();
  /// Ends the process.
  /// @param silent its connections are not closed.
  void kill(bool silent);
  /// The machine stands still for `time`: the steady clock stands with it, the boot clock runs on.
  void suspend(Duration time);
  /// The process stands still for `time`, as when it is stopped by a signal.
  void pause(Duration time);

  sim::Host& host() { return host_; }
  const std::string& memberName() const { return member_name_; }
  /// @return a sum over the evidence that its control side holds.
  std::uint64_t crashDigest() const;

  /// A caller's request arrived on a connection.
  void onRequest(const sim::ChannelPointer& channel, const CallerRequest& request,
                 const CallerHandlers& handlers);
  /// A frame from another gateway.
  void onDatagram(const std::string& from, const Message& message);

private:
  /// A timer of the process. Like Asio's it does not count the time of a suspension.
  struct Timer {
    std::uint64_t generation = 0;
    Duration due{0};  ///< On the steady clock.
  };
  struct Client {
    CallerRequest request;
    CallerHandlers handlers;
    sim::ChannelPointer channel;
    TimePoint admitted_at{};
    TimePoint vouched_at{};  ///< When the store had last vouched for what was known then.
  };
  struct Exchange {
    gateway::ClientId client = 0;
    sim::ChannelPointer channel;  ///< Null until connected.
    std::string body;             ///< Kept until the gateway says what becomes of it.
    bool head = false;
    bool ended = false;
  };
  /// Everything that ends with the process.
  struct Process;

  TimePoint now() const;
  Duration steadyNow() const;
  void arm(Timer& timer, TimePoint due, const sim::Task& task);
  void checkTimer(Timer& timer, std::uint64_t generation, const sim::Task& task);
  void every(Timer& timer, Duration interval, const sim::Task& task);

  // Traffic (gateway_node_traffic.cc).
  void pump();
  void carryOut(const gateway::Refuse& action);
  void carryOut(const gateway::Dispatch& action);
  void carryOut(const gateway::CancelExchange& action);
  void carryOut(const gateway::DiscardResponse& action);
  void carryOut(const gateway::ForwardResponse& action);
  void carryOut(const gateway::ForwardHead& action);
  void carryOut(const gateway::ForwardBytes& action);
  void carryOut(const gateway::EndResponse& action);
  void carryOut(const gateway::AbortResponse& action);
  void carryOut(const gateway::ReportUnreachable& action);
  void carryOut(const gateway::ReportWrongBackend& action);
  void carryOut(const gateway::ProbeBackend& action);
  void connect(gateway::ExchangeId id, EngineProcess& engine, const EngineRequest& request);
  EngineAnswerHandlers answerHandlers(gateway::ExchangeId id);
  void onEngineHead(gateway::ExchangeId id, const EngineHead& head);
  void onEngineBytes(gateway::ExchangeId id, const std::string& bytes);
  void onEngineEnd(gateway::ExchangeId id);
  void onLost(gateway::ExchangeId id, bool sent);
  void answerCaller(const Client& client, sim::Task deliver);
  void forgetClient(gateway::ClientId id, bool close);

  // Control (gateway_node_control.cc).
  void readStore();
  void onStoreAnswer(const EngineTableNews& news, TimePoint asked_at, TimePoint asked_true);
  void onStoreTrouble();
  void publish();
  void pumpCrashes();
  void carryOut(const gateway::SendCrashMessage& action);
  void carryOut(const gateway::NotifyTraffic& action);
  void carryOut(const gateway::CallStore& action);
  void pumpMembership();
  void sendDatagram(const std::string& member, const Message& message);
  std::vector<std::string> otherMembers() const;
  void lookForSuspension();

  FleetContext& context_;
  FleetWorld& world_;
  std::uint32_t number_;
  std::string member_name_;
  sim::Host host_;
  SuspicionTrace suspicions_;
  Duration suspended_{0};  ///< In all.
  std::unique_ptr<Process> process_;
  TimePoint vouched_at_{};  ///< True time at which the store last vouched for what this start knows.
};

}  // namespace crankspur::gateway_sim
