#pragma once
/// @file A simulated site with all its processes.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sim/world/context.h"
#include "sim/world/engine_node.h"
#include "sim/world/operator_node.h"
#include "sim/world/platform_node.h"
#include "sim/world/router_node.h"
#include "sim/world/runner_node.h"
#include "sim/world/sidecar_node.h"
#include "sim/world/site.h"

namespace crankspur::sim {

/// Options for building a world.
struct WorldOptions {
  Site site;
  std::uint64_t seed = 1;
  RemovedMechanisms removed;
  bool keep_trace_lines = false;
};

/// Owns all hosts and nodes of a site.
class World : public NodeDirectory {
public:
  explicit World(WorldOptions options);
  ~World() override;

  /// Starts every process and runs a warm-up period for discovery before any traffic.
  void start();

  RouterNode* router(const std::string& name) override;
  SidecarNode* sidecar(const std::string& name) override;
  EngineNode* engine(const std::string& name) override;
  RunnerNode* runner(const std::string& name) override;
  PlatformNode& platform() override { return *platform_; }

  RouterNode& routerAt(std::size_t index) { return *routers_[index]; }
  SidecarNode& sidecarAt(std::size_t index) { return *sidecars_[index]; }
  EngineNode& engineAt(std::size_t index) { return *engines_[index]; }
  RunnerNode& runnerAt(std::size_t index) { return *runners_[index]; }
  OperatorNode& operatorAt(std::size_t index) { return *operators_[index]; }
  std::size_t routerCount() const { return routers_.size(); }
  std::size_t sidecarCount() const { return sidecars_.size(); }
  std::size_t engineCount() const { return engines_.size(); }
  std::size_t runnerCount() const { return runners_.size(); }

  Context& context() { return *context_; }
  const Site& site() const { return options_.site; }
  Trace& trace() { return trace_; }
  /// @return all hosts, for clock skew and network partitions.
  const std::vector<std::unique_ptr<Host>>& hosts() const { return hosts_; }

private:
  Host& addHost(const SiteMachine& machine);
  void addPlatform();
  void addBackends();
  void addProcesses();
  std::vector<Machine> machineList() const;
  void observeRow(const TableRow& row);

  WorldOptions options_;
  EventQueue queue_;
  RandomSource random_;
  Network network_;
  Trace trace_;
  Records records_;
  std::unique_ptr<Context> context_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::unique_ptr<PlatformNode> platform_;
  std::vector<std::unique_ptr<EngineNode>> engines_;
  std::vector<std::unique_ptr<RunnerNode>> runners_;
  std::vector<std::unique_ptr<RouterNode>> routers_;
  std::vector<std::unique_ptr<SidecarNode>> sidecars_;
  std::vector<std::unique_ptr<OperatorNode>> operators_;
  std::map<std::string, EngineNode*> engines_by_name_;
  std::map<std::string, RunnerNode*> runners_by_name_;
  std::map<std::string, RouterNode*> routers_by_name_;
  std::map<std::string, SidecarNode*> sidecars_by_name_;
};

}  // namespace crankspur::sim
