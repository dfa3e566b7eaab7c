#include "sim/check/run.h"

#include <algorithm>

#include "sim/check/checkers.h"
#include "sim/gateway_world/fleet_run.h"

namespace crankspur::sim {

namespace {

constexpr const char* kQuiet = "quiet";
constexpr const char* kPair = "pair";
constexpr const char* kWiderPair = "wider_pair";
constexpr const char* kLarge = "large";
/// They take no turn among the scenarios.
constexpr const char* kTableDownHour = "table_down_hour";
/// Pairs get this many turns among the scenarios, since there are many of them.
constexpr int kPairTurns = 8;
constexpr int kWiderPairTurns = 4;
/// An hour takes long to simulate: it is no part of wider pairs.
constexpr auto kLastWider = static_cast<std::size_t>(FaultKind::HourPartition) - 1;
constexpr Duration kWindDown = std::chrono::seconds(2);
/// Clocks of usual runs, and of those with the fault clock_skew.
constexpr Duration kUsualClockOffset = std::chrono::seconds(3000);
constexpr double kUsualClockRateSpread = 0.02;
constexpr Duration kLargeClockOffset = std::chrono::minutes(60);
constexpr double kLargeClockRateSpread = 0.2;
/// What a run with a retry storm is made of.
constexpr double kStormRequestsPerSecond = 60;
constexpr std::size_t kStormTenants = 2;
constexpr double kStormRetryBudget = 0.1;
constexpr double kNoRetryBudget = 10;
/// What a run with an hour's outage of the table is made of.
constexpr double kOutageRequestsPerSecond = 1.5;
constexpr double kOutageOperationShare = 0.9;
constexpr std::uint32_t kOutageClaimGroup = 3;

/// Scenarios in the order in which seeds take turns.
std::vector<std::string> turns() {
  std::vector<std::string> names = scenarioNames();
  std::erase(names, kTableDownHour);
  for (const std::string& name : gateway_sim::fleetScenarioNames()) std::erase(names, name);
  for (int turn = 1; turn < kPairTurns; ++turn) names.emplace_back(kPair);
  for (int turn = 1; turn < kWiderPairTurns; ++turn) names.emplace_back(kWiderPair);
  return names;
}

bool isFleet(const std::string& scenario) {
  const std::vector<std::string>& fleets = gateway_sim::fleetScenarioNames();
  return std::find(fleets.begin(), fleets.end(), scenario) != fleets.end();
}

std::string scenarioOf(const RunOptions& options) {
  if (!options.scenario.empty()) return options.scenario;
  const std::vector<std::string> names = turns();
  return names[options.seed % names.size()];
}

std::set<FaultKind> faultsOf(const std::string& scenario, RandomSource& random) {
  if (scenario == kQuiet) return {};
  if (scenario == kTableDownHour) return {FaultKind::TableDownHour};
  if (const auto kind = findFault(scenario)) return {*kind};
  const std::size_t wanted = scenario == kPair || scenario == kWiderPair ? 2 : 1;
  const auto first_wider = static_cast<std::size_t>(kFirstWiderKind);
  std::set<FaultKind> kinds;
  if (scenario == kWiderPair) kinds.insert(faultNames()[random.uniform(first_wider, kLastWider)].kind);
  while (kinds.size() < wanted) kinds.insert(faultNames()[random.uniform(0, first_wider - 1)].kind);
  return kinds;
}

/// @return the site of a long outage of the table: many orders, so that some are repeated just when an epoch
/// changes.
Site outageSite(Site site, const RemovedMechanisms& removed) {
  site.load = kBeforeOutage + kTableOutage + kAfterOutage;
  site.requests_per_second = kOutageRequestsPerSecond;
  site.operation_share = kOutageOperationShare;
  site.claim_group_size = removed.contains(Mechanism::ClaimGroup) ? 0 : kOutageClaimGroup;
  site.claim_lifetime = std::chrono::minutes(1);
  return site;
}

/// Fits the site to faults that need callers or machines of a certain kind.
Site siteFor(const std::string& name, const std::set<FaultKind>& faults, const RemovedMechanisms& removed) {
  if (faults.contains(FaultKind::HourPartition)) return makeSite("two_regions");
  Site site = makeSite(name);
  if (faults.contains(FaultKind::TableDownHour)) return outageSite(std::move(site), removed);
  if (!faults.contains(FaultKind::RackLoss)) return site;
  site.requests_per_second = kStormRequestsPerSecond;
  site.tenants.resize(kStormTenants);
  site.retry_budget = removed.contains(Mechanism::RetryBudget) ? kNoRetryBudget : kStormRetryBudget;
  return site;
}

}  // namespace

std::vector<std::string> scenarioNames() {
  std::vector<std::string> names = {kQuiet};
  for (const FaultName& fault : faultNames()) names.emplace_back(fault.name);
  names.emplace_back(kPair);
  names.emplace_back(kWiderPair);
  names.emplace_back(kLarge);
  names.emplace_back(kTableDownHour);
  const std::vector<std::string>& fleets = gateway_sim::fleetScenarioNames();
  names.insert(names.end(), fleets.begin(), fleets.end());
  return names;
}

RunResult run(const RunOptions& options) {
  if (isFleet(options.scenario)) return gateway_sim::runFleet(options);
  RandomSource random(options.seed);
  RunResult result;
  result.seed = options.seed;
  result.scenario = scenarioOf(options);
  const bool large = result.scenario == kLarge;
  const std::string site = large ? "large" : random.chance(0.5) ? "parts_desk" : "tallow_creek";
  const std::set<FaultKind> faults = faultsOf(result.scenario, random);

  World world(
      {siteFor(site, faults, options.removed), random.bits(), options.removed, options.keep_trace_lines});
  result.site = world.site().name;
  Workload workload(world, random.bits());
  FaultDriver driver(world, workload, random.bits());
  const bool usual_skew = random.chance(0.5);
  if (faults.contains(FaultKind::ClockSkew)) {
    driver.skewClocks(kLargeClockOffset, kLargeClockRateSpread);
  } else if (usual_skew) {
    driver.skewClocks(kUsualClockOffset, kUsualClockRateSpread);
  }
  for (const FaultName& fault : faultNames()) {
    if (faults.contains(fault.kind)) world.trace().note("run", "{} with {}", result.site, fault.name);
  }
  EventQueue& queue = world.context().queue;
  world.start();
  const TimePoint load_begins = queue.now();
  workload.start();
  for (const FaultKind kind : faults) driver.plan(kind);
  queue.runUntil(load_begins + world.site().load + world.site().settle_time);

  const CheckInput input{world, faults, load_begins, load_begins + world.site().load + kWindDown};
  result.violations = checkAll(input);
  result.requests = world.context().records.callers.size();
  for (const CallerRecord& caller : world.context().records.callers) result.answered += caller.end ? 1 : 0;
  result.events = queue.processed();
  result.trace_hash = world.trace().hash();
  result.trace_lines = world.trace().lines();
  return result;
}

}  // namespace crankspur::sim
