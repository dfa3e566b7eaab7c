/// @file The scenario of a table service that is down for an hour while routers are replaced.

#include <set>

#include "sim/check/fault.h"
#include "sim/world/table_rows.h"

namespace crankspur::sim {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Share of runs in which nothing takes a majority of the claim group away.
constexpr double kMajorityLivesShare = 0.5;
constexpr Duration kLostAnswersBefore = seconds(12);
constexpr Duration kLostAnswersAfter = seconds(10);
constexpr std::uint64_t kMostOpenings = 20;
constexpr Duration kLongestOpening = seconds(20);
constexpr Duration kLongestFreeze = seconds(9);

}  // namespace

void FaultDriver::planTableOutage() {
  const Duration end = kBeforeOutage + kTableOutage;
  TableOutage outage;
  outage.majority_lives = random_.chance(kMajorityLivesShare);
  outage.span = {world_.context().queue.now() + kBeforeOutage, world_.context().queue.now() + end};
  world_.context().records.table_outage = outage;
  const standin::ServiceBehaviour losing{standin::ServiceMode::LoseResponses, Duration(0), 0,
                                         0.2 + 0.6 * random_.unit()};
  setStore(kBeforeOutage - between(Duration(0), kLostAnswersBefore), kBeforeOutage, losing);
  setStore(kBeforeOutage, end, {standin::ServiceMode::Down});
  if (random_.chance(0.5)) setStore(end, end + between(seconds(1), kLostAnswersAfter), losing);
  const std::uint64_t replacements = random_.uniform(6, 20);
  replaceRouters(kBeforeOutage + seconds(1), end, replacements, outage.majority_lives);
  for (std::uint64_t count = random_.uniform(2, 8); count > 0; --count) {
    const std::size_t index = pick(world_.runnerCount());
    const Duration when = between(kBeforeOutage, end);
    at(when, [this, index] { world_.runnerAt(index).crash(false); });
    at(when + between(milliseconds(50), seconds(3)), [this, index] { world_.runnerAt(index).restart(); });
  }
  if (outage.majority_lives) return;
  openTableAtTimes(kBeforeOutage + seconds(60), end - seconds(60));
  disturbOutage(kBeforeOutage - seconds(20), end + seconds(30));
  // While claims made without the table are still on their way into it.
  replaceRouters(end - seconds(5), end + seconds(20), random_.uniform(0, 6), false);
}

/// The table comes back for moments, long enough for a new epoch, with a router lost shortly before.
void FaultDriver::openTableAtTimes(Duration from, Duration to) {
  for (std::uint64_t count = random_.uniform(4, kMostOpenings); count > 0; --count) {
    const Duration when = between(from, to);
    replaceRouter(pick(world_.routerCount()), when - between(Duration(0), seconds(8)));
    at(when, [this] { world_.platform().setStoreBehaviour({}); });
    at(when + between(seconds(4), kLongestOpening),
       [this] { world_.platform().setStoreBehaviour({standin::ServiceMode::Down}); });
  }
}

void FaultDriver::replaceRouter(std::size_t index, Duration when) {
  const bool silent = random_.chance(0.5);
  const Duration down = between(milliseconds(50), seconds(8));
  at(when, [this, index, silent] { world_.routerAt(index).crash(silent); });
  at(when + down, [this, index] { world_.routerAt(index).start(); });
}

void FaultDriver::replaceRouters(Duration from, Duration to, std::uint64_t times, bool minority_only) {
  for (std::uint64_t count = 0; count < times; ++count) {
    const Duration when = between(from, to);
    if (!minority_only) {
      replaceRouter(pick(world_.routerCount()), when);
      continue;
    }
    const std::size_t wanted = pick(world_.routerCount());
    at(when, [this, wanted] {
      // The first member and those outside the group; a new epoch cannot begin meanwhile.
      const ClaimGroupRow group = decodeClaimGroupRow(world_.platform().row(kClaimGroupRowKey));
      std::set<std::string> spared;
      for (std::size_t place = 1; place < group.members.size(); ++place) {
        spared.insert(group.members[place].address);
      }
      if (!spared.contains(world_.routerAt(wanted).host().name())) replaceRouter(wanted, Duration(0));
    });
  }
}

void FaultDriver::disturbOutage(Duration from, Duration to) {
  Network& network = world_.context().network;
  for (std::uint64_t count = random_.uniform(4, 16); count > 0; --count) {
    const std::size_t index = pick(world_.routerCount());
    const Duration when = between(from, to);
    at(when, [this, index] { world_.routerAt(index).pause(); });
    at(when + between(milliseconds(300), kLongestFreeze), [this, index] { world_.routerAt(index).wake(); });
  }
  for (std::uint64_t count = random_.uniform(2, 8); count > 0; --count) {
    const Duration when = between(from, to);
    partition(when, when + between(milliseconds(500), seconds(20)));
  }
  for (std::uint64_t count = random_.uniform(2, 8); count > 0; --count) {
    const Duration when = between(from, to);
    const Duration extra = between(milliseconds(50), milliseconds(2500));
    const double share = 0.05 + 0.3 * random_.unit();
    at(when, [&network, extra, share] { network.setDisturbance(extra, share); });
    at(when + between(seconds(2), seconds(20)), [&network] { network.setDisturbance(Duration(0), 0); });
    at(between(from, to), [&network] { network.resetSome(0.3); });
  }
  for (std::uint64_t count = random_.uniform(1, 4); count > 0; --count) {
    const std::size_t index = pick(world_.sidecarCount());
    const Duration when = between(from, to);
    at(when, [this, index] { world_.sidecarAt(index).crash(false); });
    at(when + between(milliseconds(100), seconds(2)), [this, index] { world_.sidecarAt(index).start(); });
  }
}

}  // namespace crankspur::sim
