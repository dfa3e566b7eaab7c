#pragma once
/// @file Callers of a simulated fleet: many with innocent requests, some that send a poison request again and
/// again.

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

  /// Begins load, until `context.site.load_time` has passed.
  void start();

private:
  struct Send {
    BodyId body = 0;
    RequestKind kind = RequestKind::plain;
    int retries = 0;  ///< Further attempts after refusals.
    bool may_leave = false;
  };

  void sendNext();
  void sendPoison(const PoisonRequest& poison);
  void send(const Send& what, GatewayNode& gateway);
  void talk(std::uint64_t attempt, const Send& what, GatewayNode& gateway,
            const sim::ChannelPointer& channel);
  void comeBack(const Send& what, Duration after);
  void end(std::uint64_t attempt, AttemptEnd how);
  void onEvent(std::uint64_t attempt, const std::string& bytes);
  GatewayNode& anyGateway();
  BodyId drawBody();

  FleetContext& context_;
  FleetWorld& world_;
  sim::Host host_;
  TimePoint until_{};
  BodyId next_body_ = 1'000;
};

}  // namespace crankspur::gateway_sim
