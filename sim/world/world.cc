#include "sim/world/world.h"

#include "base/hash.h"
#include "sim/world/bundle_maker.h"
#include "sim/world/table_rows.h"

namespace crankspur::sim {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWarmUp = seconds(4);
constexpr std::size_t kOperators = 2;
/// Tokens generated per request and step; a larger value reduces the number of events.
constexpr std::uint32_t kTokensPerStep = 6;
constexpr std::uint32_t kCacheBlocks = 4000;
constexpr std::size_t kSeedRouters = 3;

standin::EngineTimings engineTimings() {
  standin::EngineTimings timings;
  timings.tokens_per_step = kTokensPerStep;
  timings.cache_blocks = kCacheBlocks;
  timings.event_gap_probability = 0.02;
  return timings;
}

template <typename Node>
Node* findNode(const std::map<std::string, Node*>& nodes, const std::string& name) {
  const auto found = nodes.find(name);
  return found == nodes.end() ? nullptr : found->second;
}

}  // namespace

World::World(WorldOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      network_(queue_, options_.site.delays, random_.bits()),
      trace_(queue_, options_.keep_trace_lines) {
  context_ = std::make_unique<Context>(
      Context{queue_, network_, trace_, records_, random_, options_.removed, *this, 0});
  addPlatform();
  addBackends();
  addProcesses();
  platform_->setMachines(machineList());
}

World::~World() = default;

Host& World::addHost(const SiteMachine& machine) {
  hosts_.push_back(std::make_unique<Host>(machine.name, machine.place, queue_));
  return *hosts_.back();
}

void World::addPlatform() {
  const Location place = options_.site.zones.front();
  platform_ = std::make_unique<PlatformNode>(*context_, addHost({"platform", place, ""}), random_.bits());
  platform_->setWriteObserver([this](const TableRow& row) { observeRow(row); });
  for (std::size_t index = 0; index < kOperators; ++index) {
    Host& host = addHost({"operator-" + std::to_string(index), place, ""});
    operators_.push_back(std::make_unique<OperatorNode>(*context_, host, options_.site));
  }
}

void World::addBackends() {
  for (const SiteMachine& machine : options_.site.engines) {
    standin::EngineOptions engine;
    engine.name = machine.name;
    engine.models = {{kModel, "w1", {"reviews"}}};
    engine.scope_cache_entries = !context_->without(Mechanism::TenantSalt);
    engines_.push_back(
        std::make_unique<EngineNode>(*context_, addHost(machine), engine, engineTimings(), random_.bits()));
    engines_by_name_[machine.name] = engines_.back().get();
  }
  for (const SiteMachine& machine : options_.site.runners) {
    runners_.push_back(std::make_unique<RunnerNode>(*context_, addHost(machine)));
    runners_by_name_[machine.name] = runners_.back().get();
  }
}

void World::addProcesses() {
  std::vector<MemberRecord> seeds;
  std::vector<std::string> seed_names;
  for (const SiteMachine& machine : options_.site.routers) {
    if (seeds.size() >= kSeedRouters) break;
    MemberRecord record;
    record.name = machine.name;
    record.address = machine.name;
    record.zone = machine.place.zone;
    record.region = machine.place.region;
    seeds.push_back(record);
    seed_names.push_back(machine.name);
  }
  for (const SiteMachine& machine : options_.site.routers) {
    routers_.push_back(std::make_unique<RouterNode>(*context_, addHost(machine), seeds, trustedKeys()));
    routers_by_name_[machine.name] = routers_.back().get();
  }
  for (const SiteMachine& machine : options_.site.sidecars) {
    sidecars_.push_back(
        std::make_unique<SidecarNode>(*context_, addHost(machine), seed_names, trustedKeys()));
    sidecars_by_name_[machine.name] = sidecars_.back().get();
  }
}

std::vector<Machine> World::machineList() const {
  std::vector<Machine> machines;
  const auto add = [&machines](const SiteMachine& machine, MachineRole role) {
    machines.push_back({machine.name, role, machine.pool, machine.name, machine.place.zone,
                        machine.place.region, MachineState::Live});
  };
  for (const SiteMachine& machine : options_.site.engines) add(machine, MachineRole::Engine);
  for (const SiteMachine& machine : options_.site.runners) add(machine, MachineRole::Runner);
  for (const SiteMachine& machine : options_.site.routers) add(machine, MachineRole::Router);
  return machines;
}

void World::start() {
  operators_.front()->roll("w1");
  queue_.runUntil(queue_.now() + seconds(1));
  for (const auto& node : routers_) node->start();
  for (const auto& node : sidecars_) node->start();
  queue_.runUntil(queue_.now() + kWarmUp);
}

void World::observeRow(const TableRow& row) {
  if (row.key != kBundleRowKey) return;
  const BundleRow bundle = decodeBundleRow(row);
  trace_.note("platform", "accepts bundle {} {}", bundle.version, bundle.digest.substr(0, 8));
  records_.accepted_bundles.push_back({bundle.version, bundle.digest, queue_.now()});
}

RouterNode* World::router(const std::string& name) {
  return findNode(routers_by_name_, name);
}
SidecarNode* World::sidecar(const std::string& name) {
  return findNode(sidecars_by_name_, name);
}
EngineNode* World::engine(const std::string& name) {
  return findNode(engines_by_name_, name);
}
RunnerNode* World::runner(const std::string& name) {
  return findNode(runners_by_name_, name);
}

}  // namespace crankspur::sim
