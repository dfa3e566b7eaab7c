/// @file Faults that affect the whole fleet or its callers: identical prompts, the loss of a rack, rate
/// limits, overlapping roll-outs, a long partition.

#include "sim/check/fault.h"

namespace crankspur::sim {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// How long engines crash repeatedly, and the bounds of their uptimes and downtimes.
constexpr Duration kCrashLoopTime = seconds(9);
constexpr Duration kMinUptime = milliseconds(150);
constexpr Duration kMaxUptime = milliseconds(700);
constexpr Duration kMinDowntime = milliseconds(20);
constexpr Duration kMaxDowntime = milliseconds(120);
/// Rate limit of platform calls, per second, during FaultKind::HerdRateLimits.
constexpr RateLimit kReducedRateLimit{2.0, 2.0};
constexpr Duration kReducedRateTime = seconds(10);
constexpr Duration kPartitionTime = minutes(60);
constexpr std::uint64_t kRollsDuringPartition = 3;
constexpr Duration kMaxRollOffsetFromHealing = seconds(4);

}  // namespace

void FaultDriver::scheduleFleetFaults(FaultKind kind) {
  if (kind == FaultKind::SamePrompts) {
    workload_.sendDuplicatePrompts();
  } else if (kind == FaultKind::RackLoss) {
    scheduleRackLoss();
  } else if (kind == FaultKind::HerdRateLimits) {
    scheduleHerdWithRateLimits();
  } else if (kind == FaultKind::WeightsWaves) {
    Duration when = randomStart();
    for (std::uint64_t count = random_.uniform(2, 3); count > 0; --count) {
      scheduleRoll(0, when);
      when += randomBetween(seconds(1), seconds(4));
    }
  } else if (kind == FaultKind::Rollback) {
    world_.context().duplicate_bundle_rate = 0.3;
    const Duration when = randomStart();
    scheduleRoll(0, when);
    const std::size_t operator_index = random_.uniform(0, 1);
    scheduleRollback(operator_index, when + randomBetween(milliseconds(200), seconds(8)));
  } else if (kind == FaultKind::HourPartition) {
    scheduleHourPartition();
  }
}

void FaultDriver::scheduleRackLoss() {
  const std::string zone = world_.site().zones[randomIndex(world_.site().zones.size())].zone;
  const Duration from = randomBetween(seconds(3), seconds(6));
  for (std::size_t index = 0; index < world_.engineCount(); ++index) {
    if (world_.engineAt(index).host().location().zone == zone) {
      runAfter(from, [this, index] { world_.engineAt(index).crash(true); });
      runAfter(from + kCrashLoopTime, [this, index] { world_.engineAt(index).restart(); });
      continue;
    }
    Duration when = from;
    while (when < from + kCrashLoopTime) {
      when += randomBetween(kMinUptime, kMaxUptime);
      runAfter(when, [this, index] { world_.engineAt(index).crash(false); });
      when += randomBetween(kMinDowntime, kMaxDowntime);
      runAfter(when, [this, index] { world_.engineAt(index).restart(); });
    }
  }
}

void FaultDriver::scheduleHerdWithRateLimits() {
  const Duration when = randomStart();
  runAfter(when, [this] { world_.platform().setStoreRateLimit(kReducedRateLimit); });
  runAfter(when + kReducedRateTime,
           [this] { world_.platform().setStoreRateLimit(PlatformNode::kDefaultStoreRateLimit); });
  scheduleHerdRestart(when + milliseconds(200));
}

void FaultDriver::scheduleHourPartition() {
  world_.context().duplicate_bundle_rate = 0.3;
  const Duration from = randomBetween(seconds(2), seconds(20));
  const Duration to = from + kPartitionTime;
  schedulePartition(from, to);
  for (std::uint64_t count = 0; count < kRollsDuringPartition; ++count) {
    scheduleRoll(count % 2, from + randomBetween(seconds(0), kPartitionTime));
  }
  // The partition heals between two roll-outs in quick succession.
  scheduleRoll(0, to - randomBetween(Duration(0), kMaxRollOffsetFromHealing));
  scheduleRoll(1, to + randomBetween(Duration(0), kMaxRollOffsetFromHealing));
  for (int count = 0; count < 2; ++count) {
    const std::size_t index = randomIndex(world_.routerCount());
    const Duration when = from + randomBetween(seconds(0), kPartitionTime);
    runAfter(when, [this, index] { world_.routerAt(index).crash(false); });
    runAfter(when + seconds(2), [this, index] { world_.routerAt(index).start(); });
  }
}

}  // namespace crankspur::sim
