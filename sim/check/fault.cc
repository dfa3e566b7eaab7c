#include "sim/check/fault.h"

#include <fmt/format.h>

namespace crankspur::sim {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kEarliestFault = seconds(1);
/// A fault starts within this share of the load time.
constexpr double kLatestStartShare = 0.5;
constexpr std::size_t kMaxEngines = 3;
/// Interval and time limit of polling for an unsent order.
constexpr Duration kOrderPollInterval = milliseconds(2);
constexpr Duration kOrderPollTimeout = seconds(8);

}  // namespace

const std::vector<FaultName>& faultNames() {
  static const std::vector<FaultName> names = {
      {FaultKind::EngineCrash, "engine_crash"},
      {FaultKind::EngineFreeze, "engine_freeze"},
      {FaultKind::RunnerCrash, "runner_crash"},
      {FaultKind::RouterRestart, "router_restart"},
      {FaultKind::HerdRestart, "herd_restart"},
      {FaultKind::RouterPause, "router_pause"},
      {FaultKind::SidecarRestart, "sidecar_restart"},
      {FaultKind::ConnectionCuts, "connection_cuts"},
      {FaultKind::Disturbance, "disturbance"},
      {FaultKind::Partition, "partition"},
      {FaultKind::StoreDown, "store_down"},
      {FaultKind::StoreSlow, "store_slow"},
      {FaultKind::LostAnswers, "lost_answers"},
      {FaultKind::LostPieces, "lost_pieces"},
      {FaultKind::WeightsRoll, "weights_roll"},
      {FaultKind::OperatorRace, "operator_race"},
      {FaultKind::PrefixShift, "prefix_shift"},
      {FaultKind::LeavingEngine, "leaving_engine"},
      {FaultKind::LeavingUnseen, "leaving_unseen"},
      {FaultKind::PlannedStops, "planned_stops"},
      {FaultKind::ZoneStop, "zone_stop"},
      {FaultKind::StoreDownAfterRoll, "store_down_after_roll"},
      {FaultKind::CrossedAnswers, "crossed_answers"},
      {FaultKind::StalledOrders, "stalled_orders"},
      {FaultKind::SamePrompts, "same_prompts"},
      {FaultKind::ClockSkew, "clock_skew"},
      {FaultKind::RackLoss, "rack_loss"},
      {FaultKind::HerdRateLimits, "herd_rate_limits"},
      {FaultKind::WeightsWaves, "weights_waves"},
      {FaultKind::Rollback, "rollback"},
      {FaultKind::HourPartition, "hour_partition"},
  };
  return names;
}

std::optional<FaultKind> findFault(std::string_view name) {
  for (const FaultName& entry : faultNames()) {
    if (name == entry.name) return entry.kind;
  }
  return std::nullopt;
}

void FaultDriver::runAfter(Duration after_start, Task task) {
  world_.context().queue.after(after_start, std::move(task));
}

Duration FaultDriver::randomStart() {
  const auto latest = static_cast<double>(world_.site().load.count()) * kLatestStartShare;
  return randomBetween(kEarliestFault, Duration(static_cast<std::int64_t>(latest)));
}

Duration FaultDriver::randomBetween(Duration min_duration, Duration max_duration) {
  return Duration(static_cast<std::int64_t>(random_.uniform(
      static_cast<std::uint64_t>(min_duration.count()), static_cast<std::uint64_t>(max_duration.count()))));
}

void FaultDriver::skewClocks(Duration max_offset, double rate_spread) {
  for (const auto& host : world_.hosts()) {
    const Duration offset = randomBetween(Duration(0), max_offset);
    host->setClock(offset, 1.0 + rate_spread * (random_.unit() - 0.5));
  }
}

void FaultDriver::schedule(FaultKind kind) {
  scheduleBackendFaults(kind);
  scheduleRouterFaults(kind);
  scheduleNetworkFaults(kind);
  scheduleStoreFaults(kind);
  scheduleBundleFaults(kind);
  scheduleLeavingBackends(kind);
  scheduleFleetFaults(kind);
  if (kind == FaultKind::TableDownHour) scheduleTableOutage();
}

void FaultDriver::scheduleEngineCrash(std::size_t index, Duration when) {
  const bool silent = random_.chance(0.5);
  const Duration down = random_.chance(0.6) ? randomBetween(milliseconds(5), milliseconds(200))
                                            : randomBetween(milliseconds(200), seconds(4));
  runAfter(when, [this, index, silent] { world_.engineAt(index).crash(silent); });
  runAfter(when + down, [this, index] { world_.engineAt(index).restart(); });
}

void FaultDriver::scheduleBackendFaults(FaultKind kind) {
  if (kind == FaultKind::EngineCrash) {
    const std::uint64_t crashes = random_.uniform(4, 14);
    for (std::uint64_t count = 0; count < crashes; ++count) {
      const std::size_t engine = randomIndex(world_.engineCount());
      scheduleEngineCrash(engine, randomStart());
    }
  } else if (kind == FaultKind::EngineFreeze) {
    const std::uint64_t freezes = random_.uniform(1, kMaxEngines);
    for (std::uint64_t count = 0; count < freezes; ++count) {
      const std::size_t index = randomIndex(world_.engineCount());
      const Duration from = randomStart();
      runAfter(from, [this, index] { world_.engineAt(index).freeze(); });
      runAfter(from + randomBetween(milliseconds(200), seconds(10)),
               [this, index] { world_.engineAt(index).thaw(); });
    }
  } else if (kind == FaultKind::RunnerCrash) {
    const std::uint64_t crashes = random_.uniform(1, 4);
    for (std::uint64_t count = 0; count < crashes; ++count) {
      const std::size_t index = randomIndex(world_.runnerCount());
      const bool silent = random_.chance(0.5);
      const Duration when = randomStart();
      runAfter(when, [this, index, silent] { world_.runnerAt(index).crash(silent); });
      runAfter(when + randomBetween(milliseconds(50), seconds(3)),
               [this, index] { world_.runnerAt(index).restart(); });
    }
  } else if (kind == FaultKind::LostPieces) {
    const Duration from = randomStart();
    const std::size_t index = randomIndex(world_.engineCount());
    for (std::size_t offset = 0; offset < kMaxEngines; ++offset) {
      const std::size_t engine = (index + offset) % world_.engineCount();
      runAfter(from, [this, engine] { world_.engineAt(engine).setPieceLossRate(0.1); });
      runAfter(from + seconds(6), [this, engine] { world_.engineAt(engine).setPieceLossRate(0); });
    }
    const std::size_t sidecar = randomIndex(world_.sidecarCount());
    runAfter(from, [this, sidecar] { world_.sidecarAt(sidecar).setPieceLossRate(0.05); });
    runAfter(from + seconds(6), [this, sidecar] { world_.sidecarAt(sidecar).setPieceLossRate(0); });
  } else if (kind == FaultKind::PrefixShift) {
    for (std::uint64_t count = random_.uniform(1, 3); count > 0; --count) {
      runAfter(randomStart(), [this] { workload_.shiftPrefixes(); });
    }
  }
}

void FaultDriver::scheduleHerdRestart(Duration when) {
  for (std::size_t index = 0; index < world_.routerCount(); ++index) {
    const Duration down = randomBetween(milliseconds(100), milliseconds(800));
    runAfter(when + randomBetween(Duration(0), milliseconds(60)),
             [this, index] { world_.routerAt(index).crash(false); });
    runAfter(when + down, [this, index] { world_.routerAt(index).start(); });
  }
}

void FaultDriver::schedulePlannedRestart(std::size_t router, Duration when) {
  runAfter(when, [this, router] { world_.routerAt(router).stop(); });
  // A stopping process first finishes its work; the new one is started once the old one has exited.
  for (int second = 1; second <= 12; ++second) {
    runAfter(when + seconds(second), [this, router] {
      if (!world_.routerAt(router).host().up()) world_.routerAt(router).start();
    });
  }
}

void FaultDriver::scheduleRouterFaults(FaultKind kind) {
  if (kind == FaultKind::RouterRestart) {
    for (std::uint64_t count = random_.uniform(1, 3); count > 0; --count) {
      const std::size_t index = randomIndex(world_.routerCount());
      const bool silent = random_.chance(0.5);
      const Duration when = randomStart();
      runAfter(when, [this, index, silent] { world_.routerAt(index).crash(silent); });
      runAfter(when + randomBetween(milliseconds(50), seconds(3)),
               [this, index] { world_.routerAt(index).start(); });
    }
  } else if (kind == FaultKind::HerdRestart) {
    const Duration when = randomStart();
    if (random_.chance(0.6))
      scheduleStoreBehaviour(when - milliseconds(500), when + seconds(10), {standin::ServiceMode::Down});
    scheduleHerdRestart(when);
  } else if (kind == FaultKind::RouterPause) {
    const Duration when = randomStart();
    const bool holder = random_.chance(0.6);
    const std::size_t index = randomIndex(world_.routerCount());
    auto paused = std::make_shared<std::size_t>(index);
    runAfter(when, [this, holder, paused] {
      for (std::size_t router = 0; holder && router < world_.routerCount(); ++router) {
        if (world_.routerAt(router).holdsLease()) *paused = router;
      }
      world_.routerAt(*paused).pause();
    });
    runAfter(when + randomBetween(milliseconds(300), seconds(9)),
             [this, paused] { world_.routerAt(*paused).wake(); });
  } else if (kind == FaultKind::SidecarRestart) {
    const std::size_t index = randomIndex(world_.sidecarCount());
    const Duration when = randomStart();
    runAfter(when, [this, index] { world_.sidecarAt(index).crash(false); });
    runAfter(when + randomBetween(milliseconds(100), seconds(2)),
             [this, index] { world_.sidecarAt(index).start(); });
  } else if (kind == FaultKind::PlannedStops) {
    Duration when = kEarliestFault;
    for (std::size_t index = 0; index < world_.routerCount() && when < world_.site().load; ++index) {
      schedulePlannedRestart(index, when);
      when += randomBetween(seconds(1), seconds(4));
    }
  } else if (kind == FaultKind::ZoneStop) {
    const std::string zone = world_.site().zones[randomIndex(world_.site().zones.size())].zone;
    const Duration when = randomStart();
    for (std::size_t index = 0; index < world_.routerCount(); ++index) {
      if (world_.routerAt(index).host().location().zone == zone) schedulePlannedRestart(index, when);
    }
  }
}

void FaultDriver::schedulePartition(Duration from, Duration to) {
  const Location isolated = world_.site().zones[randomIndex(world_.site().zones.size())];
  const bool whole_region = world_.site().zones.size() > 3;
  std::set<std::string> inside;
  std::set<std::string> outside;
  for (const auto& host : world_.hosts()) {
    const Location& location = host->location();
    const bool is_inside = whole_region ? location.region == isolated.region : location.zone == isolated.zone;
    (is_inside ? inside : outside).insert(host->name());
  }
  const std::uint64_t number = next_partition_++;
  runAfter(from, [this, number, inside, outside] {
    world_.trace().note("network", "partition {} begins", number);
    world_.context().network.partition(number, inside, outside);
  });
  runAfter(to, [this, number] {
    world_.trace().note("network", "partition {} heals", number);
    world_.context().network.heal(number);
  });
}

void FaultDriver::scheduleNetworkFaults(FaultKind kind) {
  Network& network = world_.context().network;
  if (kind == FaultKind::ConnectionCuts) {
    for (std::uint64_t count = random_.uniform(2, 6); count > 0; --count) {
      runAfter(randomStart(), [this, &network] {
        world_.trace().note("network", "breaks {} connections", network.resetRandomChannels(0.3));
      });
    }
  } else if (kind == FaultKind::Disturbance) {
    const Duration from = randomStart();
    const Duration extra_delay = randomBetween(milliseconds(50), milliseconds(2500));
    const double share = 0.05 + 0.3 * random_.unit();
    runAfter(from, [&network, extra_delay, share] { network.setExtraDelay(extra_delay, share); });
    runAfter(from + randomBetween(seconds(2), seconds(9)),
             [&network] { network.setExtraDelay(Duration(0), 0); });
  } else if (kind == FaultKind::CrossedAnswers) {
    for (std::size_t index = 0; index < world_.sidecarCount(); ++index) {
      world_.sidecarAt(index).setDuplicateResponseRate(0.4);
    }
    const Duration when = seconds(4) + randomBetween(Duration(0), seconds(6));
    scheduleRoll(0, when - randomBetween(milliseconds(500), seconds(3)));
    schedulePauseOfAllButOne(when);
  } else if (kind == FaultKind::Partition) {
    const Duration from = randomStart();
    schedulePartition(from, from + randomBetween(milliseconds(500), seconds(9)));
  }
}

void FaultDriver::scheduleStoreBehaviour(Duration from, Duration to,
                                         const standin::ServiceBehaviour& behaviour) {
  runAfter(from, [this, behaviour] {
    world_.trace().note("platform", "store behaves in mode {}", static_cast<int>(behaviour.mode));
    world_.platform().setStoreBehaviour(behaviour);
  });
  runAfter(to, [this] {
    world_.trace().note("platform", "store is up");
    world_.platform().setStoreBehaviour({});
  });
}

void FaultDriver::scheduleStoreFaults(FaultKind kind) {
  const Duration from = randomStart();
  const Duration to = from + randomBetween(seconds(1), seconds(10));
  if (kind == FaultKind::StoreDown) scheduleStoreBehaviour(from, to, {standin::ServiceMode::Down});
  if (kind == FaultKind::StoreSlow) {
    scheduleStoreBehaviour(
        from, to, {standin::ServiceMode::Slow, randomBetween(milliseconds(100), milliseconds(1500))});
  }
  if (kind == FaultKind::LostAnswers) {
    scheduleStoreBehaviour(from, to,
                           {standin::ServiceMode::LoseResponses, Duration(0), 0, 0.2 + 0.6 * random_.unit()});
  }
}

void FaultDriver::scheduleRoll(std::size_t operator_index, Duration when) {
  const std::string weights = fmt::format("w{}", next_weights_++);
  runAfter(when, [this, operator_index, weights] { world_.operatorAt(operator_index).roll(weights); });
}

void FaultDriver::scheduleRollback(std::size_t operator_index, Duration when) {
  runAfter(when, [this, operator_index] { world_.operatorAt(operator_index).roll("w1"); });
}

/// Polls for a lease holder with an order that is decided but not yet sent, and pauses that router.
void FaultDriver::pauseHolderBeforeSending(TimePoint until, Duration pause) {
  for (std::size_t index = 0; index < world_.routerCount(); ++index) {
    if (world_.routerAt(index).unsentOrders() == 0) continue;
    world_.routerAt(index).pause();
    scheduleRoll(1, milliseconds(500));
    runAfter(pause, [this, index] { world_.routerAt(index).wake(); });
    return;
  }
  if (world_.context().queue.now() >= until) return;
  runAfter(kOrderPollInterval, [this, until, pause] { pauseHolderBeforeSending(until, pause); });
}

void FaultDriver::schedulePauseOfAllButOne(Duration when) {
  const std::size_t running = randomIndex(world_.routerCount());
  for (std::size_t index = 0; index < world_.routerCount(); ++index) {
    if (index == running) continue;
    runAfter(when, [this, index] { world_.routerAt(index).pause(); });
    runAfter(when + randomBetween(milliseconds(3200), milliseconds(4800)),
             [this, index] { world_.routerAt(index).wake(); });
  }
}

void FaultDriver::scheduleBundleFaults(FaultKind kind) {
  const bool rolls = kind == FaultKind::WeightsRoll || kind == FaultKind::OperatorRace;
  if (rolls) world_.context().duplicate_bundle_rate = 0.3;
  if (kind == FaultKind::WeightsRoll) {
    const Duration when = randomStart();
    scheduleRoll(0, when);
    if (random_.chance(0.6)) scheduleRoll(1, when + randomBetween(milliseconds(500), seconds(8)));
  } else if (kind == FaultKind::OperatorRace) {
    for (std::uint64_t count = random_.uniform(1, 3); count > 0; --count) {
      const Duration when = randomStart();
      scheduleRoll(0, when);
      scheduleRoll(1, when + randomBetween(Duration(0), milliseconds(6)));
    }
  } else if (kind == FaultKind::StalledOrders) {
    const Duration when = randomBetween(kEarliestFault, seconds(5));
    scheduleRoll(0, when);
    runAfter(when, [this] {
      pauseHolderBeforeSending(world_.context().queue.now() + kOrderPollTimeout,
                               randomBetween(seconds(9), seconds(18)));
    });
  } else if (kind == FaultKind::StoreDownAfterRoll) {
    const Duration when = randomStart();
    scheduleRoll(0, when);
    scheduleStoreBehaviour(when + randomBetween(milliseconds(15), milliseconds(2500)), when + seconds(9),
                           {standin::ServiceMode::Down});
    scheduleHerdRestart(when + randomBetween(milliseconds(500), seconds(4)));
  }
}

/// An operator does not remove the last back end of a kind: no request could be served then.
bool FaultDriver::isLastOfKind(const std::string& name, bool runner) {
  std::set<std::string> leaving = {name};
  for (const LeavingRecord& record : world_.context().records.leaving) leaving.insert(record.machine);
  const std::size_t count = runner ? world_.runnerCount() : world_.engineCount();
  for (std::size_t index = 0; index < count; ++index) {
    const Host& host = runner ? world_.runnerAt(index).host() : world_.engineAt(index).host();
    if (!leaving.contains(host.name())) return false;
  }
  return true;
}

void FaultDriver::scheduleLeaving(bool by_list, bool by_itself, Duration when) {
  const bool runner = random_.chance(0.3);
  const std::size_t index = randomIndex(runner ? world_.runnerCount() : world_.engineCount());
  runAfter(when, [this, runner, index, by_list, by_itself] {
    Host& host = runner ? world_.runnerAt(index).host() : world_.engineAt(index).host();
    if (isLastOfKind(host.name(), runner)) return;
    TimePoint visible_at = TimePoint::max();
    if (by_itself) {
      if (runner) world_.runnerAt(index).startLeaving();
      if (!runner) world_.engineAt(index).startLeaving();
      visible_at = world_.context().queue.now();
    }
    if (by_list) visible_at = std::min(visible_at, world_.platform().markLeaving(host.name()));
    world_.trace().note(host.name(), "leaves{}{}", by_list ? " by the list" : "",
                        by_itself ? " by itself" : "");
    world_.context().records.leaving.push_back({host.name(), visible_at, !by_list});
  });
}

void FaultDriver::scheduleLeavingBackends(FaultKind kind) {
  if (kind == FaultKind::LeavingEngine) {
    world_.platform().setListLag(randomBetween(milliseconds(200), seconds(6)));
    for (std::uint64_t count = random_.uniform(1, 3); count > 0; --count) {
      const bool by_list = random_.chance(0.5);
      scheduleLeaving(by_list, !by_list, randomStart());
    }
  } else if (kind == FaultKind::LeavingUnseen) {
    const std::string zone = world_.site().zones[randomIndex(world_.site().zones.size())].zone;
    std::set<std::string> routers;
    for (std::size_t index = 0; index < world_.routerCount(); ++index) {
      const Host& host = world_.routerAt(index).host();
      if (host.location().zone == zone) routers.insert(host.name());
    }
    const std::uint64_t number = next_partition_++;
    world_.context().network.partition(number, routers, {"platform"});
    for (int count = 0; count < 2; ++count) scheduleLeaving(true, false, randomStart());
    runAfter(world_.site().load - seconds(1), [this, number] { world_.context().network.heal(number); });
  }
}

}  // namespace crankspur::sim
