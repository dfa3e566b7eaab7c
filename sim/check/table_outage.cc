/// @file The scenario in which the table service is down for an hour while routers are replaced.

#include <set>

#include "sim/check/fault.h"
#include "sim/world/table_rows.h"

namespace crankspur::sim {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Share of runs in which a majority of the claim group stays live throughout.
constexpr double kLiveMajorityShare = 0.5;
constexpr Duration kMaxResponseLossBefore = seconds(12);
constexpr Duration kMaxResponseLossAfter = seconds(10);
constexpr std::uint64_t kMaxRecoveries = 20;
constexpr Duration kMaxRecoveryTime = seconds(20);
constexpr Duration kMaxPause = seconds(9);

}  // namespace

void FaultDriver::scheduleTableOutage() {
  const Duration end = kTimeBeforeOutage + kTableOutageTime;
  TableOutage outage;
  outage.majority_live = random_.chance(kLiveMajorityShare);
  outage.span = {world_.context().queue.now() + kTimeBeforeOutage, world_.context().queue.now() + end};
  world_.context().records.table_outage = outage;
  const standin::ServiceBehaviour losing_responses{standin::ServiceMode::LoseResponses, Duration(0), 0,
                                                   0.2 + 0.6 * random_.unit()};
  scheduleStoreBehaviour(kTimeBeforeOutage - randomBetween(Duration(0), kMaxResponseLossBefore),
                         kTimeBeforeOutage, losing_responses);
  scheduleStoreBehaviour(kTimeBeforeOutage, end, {standin::ServiceMode::Down});
  if (random_.chance(0.5))
    scheduleStoreBehaviour(end, end + randomBetween(seconds(1), kMaxResponseLossAfter), losing_responses);
  const std::uint64_t replacements = random_.uniform(6, 20);
  scheduleRouterReplacements(kTimeBeforeOutage + seconds(1), end, replacements, outage.majority_live);
  for (std::uint64_t count = random_.uniform(2, 8); count > 0; --count) {
    const std::size_t index = randomIndex(world_.runnerCount());
    const Duration when = randomBetween(kTimeBeforeOutage, end);
    runAfter(when, [this, index] { world_.runnerAt(index).crash(false); });
    runAfter(when + randomBetween(milliseconds(50), seconds(3)),
             [this, index] { world_.runnerAt(index).restart(); });
  }
  if (outage.majority_live) return;
  scheduleBriefTableRecoveries(kTimeBeforeOutage + seconds(60), end - seconds(60));
  scheduleOutageDisturbances(kTimeBeforeOutage - seconds(20), end + seconds(30));
  // While claims granted without the table are still being written to it.
  scheduleRouterReplacements(end - seconds(5), end + seconds(20), random_.uniform(0, 6), false);
}

/// Brings the table back for short periods, long enough for a new epoch, each shortly after the loss of a
/// router.
void FaultDriver::scheduleBriefTableRecoveries(Duration from, Duration to) {
  for (std::uint64_t count = random_.uniform(4, kMaxRecoveries); count > 0; --count) {
    const Duration when = randomBetween(from, to);
    const std::size_t router = randomIndex(world_.routerCount());
    scheduleRouterReplacement(router, when - randomBetween(Duration(0), seconds(8)));
    runAfter(when, [this] { world_.platform().setStoreBehaviour({}); });
    runAfter(when + randomBetween(seconds(4), kMaxRecoveryTime),
             [this] { world_.platform().setStoreBehaviour({standin::ServiceMode::Down}); });
  }
}

void FaultDriver::scheduleRouterReplacement(std::size_t index, Duration when) {
  const bool silent = random_.chance(0.5);
  const Duration down = randomBetween(milliseconds(50), seconds(8));
  runAfter(when, [this, index, silent] { world_.routerAt(index).crash(silent); });
  runAfter(when + down, [this, index] { world_.routerAt(index).start(); });
}

void FaultDriver::scheduleRouterReplacements(Duration from, Duration to, std::uint64_t times,
                                             bool minority_only) {
  for (std::uint64_t count = 0; count < times; ++count) {
    const Duration when = randomBetween(from, to);
    if (!minority_only) {
      scheduleRouterReplacement(randomIndex(world_.routerCount()), when);
      continue;
    }
    const std::size_t target = randomIndex(world_.routerCount());
    runAfter(when, [this, target] {
      // Replaces only the first member and routers outside the group; no new epoch can begin while the table
      // is down.
      const ClaimGroupRow group = decodeClaimGroupRow(world_.platform().row(kClaimGroupRowKey));
      std::set<std::string> protected_members;
      for (std::size_t member = 1; member < group.members.size(); ++member) {
        protected_members.insert(group.members[member].address);
      }
      if (!protected_members.contains(world_.routerAt(target).host().name()))
        scheduleRouterReplacement(target, Duration(0));
    });
  }
}

void FaultDriver::scheduleOutageDisturbances(Duration from, Duration to) {
  Network& network = world_.context().network;
  for (std::uint64_t count = random_.uniform(4, 16); count > 0; --count) {
    const std::size_t index = randomIndex(world_.routerCount());
    const Duration when = randomBetween(from, to);
    runAfter(when, [this, index] { world_.routerAt(index).pause(); });
    runAfter(when + randomBetween(milliseconds(300), kMaxPause),
             [this, index] { world_.routerAt(index).wake(); });
  }
  for (std::uint64_t count = random_.uniform(2, 8); count > 0; --count) {
    const Duration when = randomBetween(from, to);
    schedulePartition(when, when + randomBetween(milliseconds(500), seconds(20)));
  }
  for (std::uint64_t count = random_.uniform(2, 8); count > 0; --count) {
    const Duration when = randomBetween(from, to);
    const Duration extra_delay = randomBetween(milliseconds(50), milliseconds(2500));
    const double share = 0.05 + 0.3 * random_.unit();
    runAfter(when, [&network, extra_delay, share] { network.setExtraDelay(extra_delay, share); });
    runAfter(when + randomBetween(seconds(2), seconds(20)),
             [&network] { network.setExtraDelay(Duration(0), 0); });
    runAfter(randomBetween(from, to), [&network] { network.resetRandomChannels(0.3); });
  }
  for (std::uint64_t count = random_.uniform(1, 4); count > 0; --count) {
    const std::size_t index = randomIndex(world_.sidecarCount());
    const Duration when = randomBetween(from, to);
    runAfter(when, [this, index] { world_.sidecarAt(index).crash(false); });
    runAfter(when + randomBetween(milliseconds(100), seconds(2)),
             [this, index] { world_.sidecarAt(index).start(); });
  }
}

}  // namespace crankspur::sim
