#pragma once
/// @file Callers of a simulated fleet: most send harmless requests, some repeatedly send a poison request.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "sim/gateway_world/fleet_context.h"

namespace crankspur::gateway_sim {

class FleetWorld;
class GatewayNode;

/// See the file comment.
class Callers {
public:
  Callers(FleetContext& context, FleetWorld& world);

  /// Starts the load, which ends after `context.site.load_time`.
  void start();
  /// From now on, callers use this gateway; empty: any.
  void useGateway(std::optional<std::uint64_t> gateway) { used_gateway_ = gateway; }

private:
  struct Submission {
    BodyId body = 0;
    RequestKind kind = RequestKind::plain;
    int retries = 0;  ///< Further attempts after refusals.
    bool is_retry = false;
    bool may_disconnect = false;
    std::uint32_t events = 0;    ///< Events of the stream that earlier attempts brought.
    std::uint64_t begun_by = 0;  ///< Attempt that brought the first of them.
  };

  void sendNext();
  void sendPoison(const PoisonRequest& poison);
  void send(const Submission& submission, GatewayNode& gateway);
  void sendRequest(std::uint64_t attempt, const Submission& submission, GatewayNode& gateway,
                   const sim::ChannelPointer& channel);
  void resume(std::uint64_t attempt, const Submission& submission);
  void scheduleRetry(const Submission& submission, Duration after);
  void finish(std::uint64_t attempt, AttemptOutcome outcome);
  void onBytes(std::uint64_t attempt, const std::string& bytes);
  GatewayNode& randomGateway();
  BodyId drawBody();

  FleetContext& context_;
  FleetWorld& world_;
  sim::Host host_;
  TimePoint load_end_{};
  std::optional<std::uint64_t> used_gateway_;
  BodyId next_body_ = 1'000;
};

}  // namespace crankspur::gateway_sim
