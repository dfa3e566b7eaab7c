#pragma once
/// @file A simulated fleet: gateways, engines, the store and callers.

#include <memory>
#include <string>
#include <vector>

#include "sim/gateway_world/callers.h"
#include "sim/gateway_world/engine_process.h"
#include "sim/gateway_world/gateway_node.h"
#include "sim/gateway_world/store_node.h"

namespace crankspur::gateway_sim {

/// See the file comment.
class FleetWorld {
public:
  explicit FleetWorld(FleetContext& context);

  /// Starts all processes.
  void start();

  std::vector<std::unique_ptr<GatewayNode>>& gateways() { return gateways_; }
  std::vector<std::unique_ptr<EngineProcess>>& engines() { return engines_; }
  EngineProcess& engine(std::uint32_t number) { return *engines_.at(number); }
  EngineProcess& engineAt(const std::string& address);
  /// @return the gateway with this member name, or nullptr.
  GatewayNode* gatewayNamed(const std::string& member);
  StoreNode& store() { return store_; }
  Callers& callers() { return callers_; }
  /// @return names of the members that gateways are given as seeds when they start.
  std::vector<std::string> seedNames() const;
  std::shared_ptr<const gateway::Configuration> configuration() const { return configuration_; }

private:
  FleetContext& context_;
  StoreNode store_;
  std::shared_ptr<const gateway::Configuration> configuration_;
  std::vector<std::unique_ptr<EngineProcess>> engines_;
  std::vector<std::unique_ptr<GatewayNode>> gateways_;
  Callers callers_;
};

}  // namespace crankspur::gateway_sim
