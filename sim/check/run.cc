#include "sim/check/run.h"

#include <algorithm>

#include "sim/check/checkers.h"
#include "sim/gateway_world/fleet_run.h"

namespace crankspur::sim {

namespace {

constexpr const char* kQuietScenario = "quiet";
constexpr const char* kPairScenario = "pair";
constexpr const char* kWiderPairScenario = "wider_pair";
constexpr const char* kLargeScenario = "large";
/// Not part of the scenario rotation, like the fleet scenarios.
constexpr const char* kTableDownHourScenario = "table_down_hour";
/// How often the pair scenarios occur in the rotation: each covers many combinations of faults.
constexpr int kPairTurns = 8;
constexpr int kWiderPairTurns = 4;
/// HourPartition is excluded from wider pairs because an hour takes long to simulate.
constexpr auto kLastWiderPairKind = static_cast<std::size_t>(FaultKind::HourPartition) - 1;
constexpr Duration kDrainTime = std::chrono::seconds(2);
/// Clock skew of runs without and with the fault clock_skew.
constexpr Duration kDefaultClockOffset = std::chrono::seconds(3000);
constexpr double kDefaultClockRateSpread = 0.02;
constexpr Duration kLargeClockOffset = std::chrono::minutes(60);
constexpr double kLargeClockRateSpread = 0.2;
/// Load of runs with the fault rack_loss, and the retry budget without and with the mechanism.
constexpr double kStormRequestsPerSecond = 60;
constexpr std::size_t kStormTenants = 2;
constexpr double kStormRetryBudget = 0.1;
constexpr double kUnlimitedRetryBudget = 10;
/// Load and claim group of runs with the fault table_down_hour.
constexpr double kOutageRequestsPerSecond = 1.5;
constexpr double kOutageOperationShare = 0.9;
constexpr std::uint32_t kOutageClaimGroup = 3;

/// @return the scenarios that seeds cycle through; index is the seed modulo the size.
std::vector<std::string> scenarioRotation() {
  std::vector<std::string> names = scenarioNames();
  std::erase(names, kTableDownHourScenario);
  for (const std::string& name : gateway_sim::fleetScenarioNames()) std::erase(names, name);
  for (int turn = 1; turn < kPairTurns; ++turn) names.emplace_back(kPairScenario);
  for (int turn = 1; turn < kWiderPairTurns; ++turn) names.emplace_back(kWiderPairScenario);
  return names;
}

bool isFleetScenario(const std::string& scenario) {
  const std::vector<std::string>& fleet_scenarios = gateway_sim::fleetScenarioNames();
  return std::find(fleet_scenarios.begin(), fleet_scenarios.end(), scenario) != fleet_scenarios.end();
}

std::string selectScenario(const RunOptions& options) {
  if (!options.scenario.empty()) return options.scenario;
  const std::vector<std::string> names = scenarioRotation();
  return names[options.seed % names.size()];
}

std::set<FaultKind> selectFaults(const std::string& scenario, RandomSource& random) {
  if (scenario == kQuietScenario) return {};
  if (scenario == kTableDownHourScenario) return {FaultKind::TableDownHour};
  if (const auto kind = findFault(scenario)) return {*kind};
  const std::size_t fault_count = scenario == kPairScenario || scenario == kWiderPairScenario ? 2 : 1;
  const auto first_wider_pair_kind = static_cast<std::size_t>(kFirstWiderPairKind);
  std::set<FaultKind> kinds;
  if (scenario == kWiderPairScenario)
    kinds.insert(faultNames()[random.uniform(first_wider_pair_kind, kLastWiderPairKind)].kind);
  while (kinds.size() < fault_count)
    kinds.insert(faultNames()[random.uniform(0, first_wider_pair_kind - 1)].kind);
  return kinds;
}

/// @return the site for a long table outage, with many operations so that some are repeated just when the
/// epoch of the claim group changes.
Site outageSite(Site site, const RemovedMechanisms& removed) {
  site.load = kTimeBeforeOutage + kTableOutageTime + kTimeAfterOutage;
  site.requests_per_second = kOutageRequestsPerSecond;
  site.operation_share = kOutageOperationShare;
  site.claim_group_size = removed.contains(Mechanism::ClaimGroup) ? 0 : kOutageClaimGroup;
  site.claim_lifetime = std::chrono::minutes(1);
  return site;
}

/// @return the site of that name, adapted to faults that need a certain load or topology.
Site siteFor(const std::string& name, const std::set<FaultKind>& faults, const RemovedMechanisms& removed) {
  if (faults.contains(FaultKind::HourPartition)) return makeSite("two_regions");
  Site site = makeSite(name);
  if (faults.contains(FaultKind::TableDownHour)) return outageSite(std::move(site), removed);
  if (!faults.contains(FaultKind::RackLoss)) return site;
  site.requests_per_second = kStormRequestsPerSecond;
  site.tenants.resize(kStormTenants);
  site.retry_budget = removed.contains(Mechanism::RetryBudget) ? kUnlimitedRetryBudget : kStormRetryBudget;
  return site;
}

}  // namespace

std::vector<std::string> scenarioNames() {
  std::vector<std::string> names = {kQuietScenario};
  for (const FaultName& fault : faultNames()) names.emplace_back(fault.name);
  names.emplace_back(kPairScenario);
  names.emplace_back(kWiderPairScenario);
  names.emplace_back(kLargeScenario);
  names.emplace_back(kTableDownHourScenario);
  const std::vector<std::string>& fleet_scenarios = gateway_sim::fleetScenarioNames();
  names.insert(names.end(), fleet_scenarios.begin(), fleet_scenarios.end());
  return names;
}

RunResult run(const RunOptions& options) {
  if (isFleetScenario(options.scenario)) return gateway_sim::runFleet(options);
  RandomSource random(options.seed);
  RunResult result;
  result.seed = options.seed;
  result.scenario = selectScenario(options);
  const bool large = result.scenario == kLargeScenario;
  const std::string site = large ? "large" : random.chance(0.5) ? "parts_desk" : "tallow_creek";
  const std::set<FaultKind> faults = selectFaults(result.scenario, random);

  World world(
      {siteFor(site, faults, options.removed), random.bits(), options.removed, options.keep_trace_lines});
  result.site = world.site().name;
  Workload workload(world, random.bits());
  FaultDriver driver(world, workload, random.bits());
  const bool default_skew = random.chance(0.5);
  if (faults.contains(FaultKind::ClockSkew)) {
    driver.skewClocks(kLargeClockOffset, kLargeClockRateSpread);
  } else if (default_skew) {
    driver.skewClocks(kDefaultClockOffset, kDefaultClockRateSpread);
  }
  for (const FaultName& fault : faultNames()) {
    if (faults.contains(fault.kind)) world.trace().note("run", "{} with {}", result.site, fault.name);
  }
  EventQueue& queue = world.context().queue;
  world.start();
  const TimePoint load_start = queue.now();
  workload.start();
  for (const FaultKind kind : faults) driver.schedule(kind);
  queue.runUntil(load_start + world.site().load + world.site().settle_time);

  const CheckInput input{world, faults, load_start, load_start + world.site().load + kDrainTime};
  result.violations = checkAll(input);
  result.requests = world.context().records.callers.size();
  for (const CallerRecord& caller : world.context().records.callers) result.answered += caller.end ? 1 : 0;
  result.events = queue.processed();
  result.trace_hash = world.trace().hash();
  result.trace_lines = world.trace().lines();
  return result;
}

}  // namespace crankspur::sim
