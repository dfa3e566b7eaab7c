#include "sim/gateway_world/fleet_run.h"

#include <fmt/format.h>

#include "sim/gateway_world/fleet_checkers.h"
#include "sim/gateway_world/fleet_faults.h"
#include "sim/gateway_world/fleet_world.h"

namespace crankspur::gateway_sim {
namespace {

/// Time from the start of the processes to the first request.
constexpr Duration kWarmUp = std::chrono::seconds(3);
/// Time after the last request in which all requests end and gateways reach agreement.
constexpr Duration kWindDown = std::chrono::seconds(9);

constexpr const char* kMixed = "gateway";
constexpr const char* kResets = "gateway_resets";
constexpr const char* kRestarts = "gateway_restarts";
constexpr const char* kDepartures = "gateway_departures";
constexpr const char* kBuilds = "gateway_builds";
constexpr const char* kPartitions = "gateway_partitions";
constexpr const char* kNotices = "gateway_notices";
constexpr const char* kBrittle = "gateway_brittle";
constexpr const char* kRetries = "gateway_retries";
constexpr const char* kReleases = "gateway_releases";
constexpr const char* kLag = "gateway_lag";
/// Load and slots with which engines are nearly full at times.
constexpr double kBrittleRequestsPerEngine = 6;
constexpr std::uint32_t kBrittleSlots = 6;
constexpr std::uint32_t kBuildCount = 3;
/// Load with which the retry budget depends on the requests more than on its slack, and maximum of the
/// engines that a request may reach.
constexpr double kMinRetriesLoad = 30;
constexpr double kMaxRetriesLoad = 90;
constexpr double kRetriesSlackPerGateway = 3;
constexpr std::uint64_t kMaxAttempts = 6;
constexpr Duration kRetriesLoadTime = std::chrono::seconds(60);

/// Load and retries with which many streams are open when all gateways are killed, and their callers are
/// still there when they are back.
constexpr double kReleasesLoad = 30;
constexpr int kReleasesRetries = 12;
/// Each release replaces all engines within its interval.
constexpr int kReleaseCount = 3;
constexpr Duration kReleaseInterval = std::chrono::seconds(27);
constexpr std::uint64_t kMaxReleaseDelayMilliseconds = 6'000;

/// Each release begins when gateways have seen one build for longer than clients resume streams.
constexpr int kLagReleaseCount = 2;
constexpr Duration kFirstLagRelease = std::chrono::seconds(33);
constexpr Duration kLagReleaseInterval = std::chrono::seconds(48);
constexpr Duration kLagLoadTime = std::chrono::seconds(125);
constexpr std::uint64_t kMaxLagReleaseDelayMilliseconds = 1'500;
constexpr int kLagRetries = 6;
constexpr double kOtherFaultsChance = 0.4;

void planFaults(const std::string& scenario, FleetFaults& faults) {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  if (scenario == kResets)
    return faults.planRepeated(FleetFault::connections_reset, milliseconds(600), seconds(12));
  if (scenario == kRestarts)
    return faults.planRepeated(FleetFault::all_gateways_killed, seconds(10), seconds(20));
  if (scenario == kPartitions)
    return faults.planRepeated(FleetFault::gateways_partitioned_from_engines, seconds(4), seconds(20));
  if (scenario == kLag) return faults.planLag(kOtherFaultsChance);
  faults.plan();
  if (scenario == kReleases) {
    faults.planReleases();
    faults.planRepeated(FleetFault::all_gateways_killed, seconds(2), seconds(9));
  }
  if (scenario == kNotices) {
    faults.planRepeated(FleetFault::engines_pause, milliseconds(500), seconds(4));
    faults.planRepeated(FleetFault::engines_leave, seconds(1), seconds(5));
  }
  if (scenario == kRetries) {
    faults.planRepeated(FleetFault::engines_fail, seconds(3), seconds(15));
    faults.planRepeated(FleetFault::callers_move, seconds(6), seconds(20));
    faults.planRepeated(FleetFault::gateways_killed, seconds(5), seconds(25));
    faults.planRepeated(FleetFault::gateways_partitioned_from_engines, seconds(10), seconds(30));
  }
  if (scenario == kBrittle) faults.planRepeated(FleetFault::engines_brittle, seconds(8), seconds(20));
  if (scenario == kDepartures) faults.planRepeated(FleetFault::engines_leave, milliseconds(300), seconds(3));
}

std::vector<TimePoint> drawReleases(RandomSource& random, TimePoint load_start) {
  std::vector<TimePoint> releases;
  for (int release = 0; release < kReleaseCount; ++release) {
    const auto delay = std::chrono::milliseconds(random.uniform(0, kMaxReleaseDelayMilliseconds));
    releases.push_back(load_start + kReleaseInterval * release + delay);
  }
  return releases;
}

std::vector<TimePoint> drawLagReleases(RandomSource& random, TimePoint load_start) {
  std::vector<TimePoint> releases;
  for (int release = 0; release < kLagReleaseCount; ++release) {
    const auto delay = std::chrono::milliseconds(random.uniform(0, kMaxLagReleaseDelayMilliseconds));
    releases.push_back(load_start + kFirstLagRelease + kLagReleaseInterval * release + delay);
  }
  return releases;
}

/// Applies what the scenario changes of a drawn site.
void adaptSite(const std::string& scenario, RandomSource& random, TimePoint load_start, FleetSite& site) {
  site.retries_broken_responses = scenario == kResets;
  if (scenario == kBuilds) site.builds = kBuildCount;
  if (scenario == kReleases) {
    site.releases = drawReleases(random, load_start);
    site.builds = kReleaseCount + 1;
    site.requests_per_second = kReleasesLoad;
    site.caller_retries = kReleasesRetries;
    site.retries_unreachable = true;
    site.poison.clear();
  }
  if (scenario == kLag) {
    site.releases = drawLagReleases(random, load_start);
    site.builds = kLagReleaseCount + 1;
    site.load_time = kLagLoadTime;
    site.requests_per_second = kReleasesLoad;
    site.caller_retries = kLagRetries;
    site.poison.clear();
  }
  site.relays = scenario == kPartitions || scenario == kRetries;
  site.states_departures = scenario == kNotices;
  if (scenario == kBrittle) {
    site.engine_slots = kBrittleSlots;
    site.lists_slots = true;
    site.requests_per_second = kBrittleRequestsPerEngine * site.engines;
  }
  if (scenario == kRetries) {
    site.requests_per_second = kMinRetriesLoad + (kMaxRetriesLoad - kMinRetriesLoad) * random.unit();
    site.load_time = kRetriesLoadTime;
    site.max_attempts = static_cast<std::uint32_t>(random.uniform(2, kMaxAttempts));
    site.retry_slack_per_gateway = kRetriesSlackPerGateway;
    site.poison.clear();
  }
}

}  // namespace

const std::vector<std::string>& fleetScenarioNames() {
  static const std::vector<std::string> names = {kMixed,   kResets,     kRestarts, kDepartures,
                                                 kBuilds,  kPartitions, kNotices,  kBrittle,
                                                 kRetries, kReleases,   kLag};
  return names;
}

sim::RunResult runFleet(const sim::RunOptions& options) {
  RandomSource random(options.seed);
  FleetContext context(random.bits(), options.removed, options.keep_trace_lines);
  const TimePoint load_start = context.queue.now() + kWarmUp;
  context.site = drawFleetSite(random, load_start);
  adaptSite(options.scenario, random, load_start, context.site);
  FleetWorld world(context);
  FleetFaults faults(context, world, random.bits());
  world.start();
  context.queue.runUntil(load_start);
  world.callers().start();
  planFaults(options.scenario, faults);
  context.queue.runUntil(load_start + context.site.load_time + kWindDown);

  sim::RunResult result;
  result.seed = options.seed;
  result.scenario = options.scenario;
  result.site = fmt::format("{} gateways, {} engines", context.site.gateways, context.site.engines);
  result.violations = checkFleet(context, world);
  result.requests = context.records.attempts.size();
  for (const Attempt& attempt : context.records.attempts) {
    result.answered += attempt.outcome == AttemptOutcome::completed ? 1 : 0;
  }
  result.events = context.queue.processed();
  result.trace_hash = context.trace.hash();
  result.trace_lines = context.trace.lines();
  return result;
}

}  // namespace crankspur::gateway_sim
