/// @file Faults that concern the whole fleet or its callers: same prompts, skewed clocks, the loss of a rack,
/// rate limits, roll-outs that overlap, a long partition.

#include "sim/check/fault.h"

namespace crankspur::sim {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// How long engines die again and again, and how often each.
constexpr Duration kDyingTime = seconds(9);
constexpr Duration kShortestLife = milliseconds(150);
constexpr Duration kLongestLife = milliseconds(700);
constexpr Duration kShortestDeath = milliseconds(20);
constexpr Duration kLongestDeath = milliseconds(120);
/// Calls a second that the platform allows while it is short of them.
constexpr RateLimit kScarceCalls{2.0, 2.0};
constexpr Duration kScarceTime = seconds(10);
constexpr Duration kPartLasts = minutes(60);
constexpr std::uint64_t kRollsWhileParted = 3;
constexpr Duration kAroundHealing = seconds(4);

}  // namespace

void FaultDriver::planFleet(FaultKind kind) {
  if (kind == FaultKind::SamePrompts) {
    workload_.sendDuplicatePrompts();
  } else if (kind == FaultKind::RackLoss) {
    loseRack();
  } else if (kind == FaultKind::HerdRateLimits) {
    herdWithRateLimits();
  } else if (kind == FaultKind::WeightsWaves) {
    Duration when = beginning();
    for (std::uint64_t count = random_.uniform(2, 3); count > 0; --count) {
      roll(0, when);
      when += between(seconds(1), seconds(4));
    }
  } else if (kind == FaultKind::Rollback) {
    world_.context().duplicate_bundle_rate = 0.3;
    const Duration when = beginning();
    roll(0, when);
    rollBack(random_.uniform(0, 1), when + between(milliseconds(200), seconds(8)));
  } else if (kind == FaultKind::HourPartition) {
    partForAnHour();
  }
}

void FaultDriver::loseRack() {
  const std::string zone = world_.site().zones[pick(world_.site().zones.size())].zone;
  const Duration from = between(seconds(3), seconds(6));
  for (std::size_t index = 0; index < world_.engineCount(); ++index) {
    if (world_.engineAt(index).host().location().zone == zone) {
      at(from, [this, index] { world_.engineAt(index).crash(true); });
      at(from + kDyingTime, [this, index] { world_.engineAt(index).restart(); });
      continue;
    }
    Duration when = from;
    while (when < from + kDyingTime) {
      when += between(kShortestLife, kLongestLife);
      at(when, [this, index] { world_.engineAt(index).crash(false); });
      when += between(kShortestDeath, kLongestDeath);
      at(when, [this, index] { world_.engineAt(index).restart(); });
    }
  }
}

void FaultDriver::herdWithRateLimits() {
  const Duration when = beginning();
  at(when, [this] { world_.platform().setStoreRateLimit(kScarceCalls); });
  at(when + kScarceTime,
     [this] { world_.platform().setStoreRateLimit(PlatformNode::kDefaultStoreRateLimit); });
  herdRestart(when + milliseconds(200));
}

void FaultDriver::partForAnHour() {
  world_.context().duplicate_bundle_rate = 0.3;
  const Duration from = between(seconds(2), seconds(20));
  const Duration to = from + kPartLasts;
  partition(from, to);
  for (std::uint64_t count = 0; count < kRollsWhileParted; ++count) {
    roll(count % 2, from + between(seconds(0), kPartLasts));
  }
  // The region comes back between two rolls that follow each other closely.
  roll(0, to - between(Duration(0), kAroundHealing));
  roll(1, to + between(Duration(0), kAroundHealing));
  for (int count = 0; count < 2; ++count) {
    const std::size_t index = pick(world_.routerCount());
    const Duration when = from + between(seconds(0), kPartLasts);
    at(when, [this, index] { world_.routerAt(index).crash(false); });
    at(when + seconds(2), [this, index] { world_.routerAt(index).start(); });
  }
}

}  // namespace crankspur::sim
