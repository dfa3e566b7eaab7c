#include "sim/check/fault.h"

#include <fmt/format.h>

namespace crankspur::sim {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kFirstFault = seconds(1);
/// A fault begins within this share of the load time.
constexpr double kBeginningShare = 0.5;
constexpr std::size_t kMostEngines = 3;
/// How often and how long an order is waited for.
constexpr Duration kOrderWatchInterval = milliseconds(2);
constexpr Duration kOrderWatch = seconds(8);

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

void FaultDriver::at(Duration after_start, Task task) {
  world_.context().queue.after(after_start, std::move(task));
}

Duration FaultDriver::beginning() {
  const auto latest = static_cast<double>(world_.site().load.count()) * kBeginningShare;
  return between(kFirstFault, Duration(static_cast<std::int64_t>(latest)));
}

Duration FaultDriver::between(Duration shortest, Duration longest) {
  return Duration(static_cast<std::int64_t>(random_.uniform(static_cast<std::uint64_t>(shortest.count()),
                                                            static_cast<std::uint64_t>(longest.count()))));
}

void FaultDriver::skewClocks(Duration largest_offset, double rate_spread) {
  for (const auto& host : world_.hosts()) {
    const Duration offset = between(Duration(0), largest_offset);
    host->setClock(offset, 1.0 + rate_spread * (random_.unit() - 0.5));
  }
}

void FaultDriver::plan(FaultKind kind) {
  planBackends(kind);
  planRouters(kind);
  planNetwork(kind);
  planStore(kind);
  planBundles(kind);
  planLeaving(kind);
  planFleet(kind);
  if (kind == FaultKind::TableDownHour) planTableOutage();
}

void FaultDriver::crashEngine(std::size_t index, Duration when) {
  const bool silent = random_.chance(0.5);
  const Duration down = random_.chance(0.6) ? between(milliseconds(5), milliseconds(200))
                                            : between(milliseconds(200), seconds(4));
  at(when, [this, index, silent] { world_.engineAt(index).crash(silent); });
  at(when + down, [this, index] { world_.engineAt(index).restart(); });
}

void FaultDriver::planBackends(FaultKind kind) {
  if (kind == FaultKind::EngineCrash) {
    const std::uint64_t crashes = random_.uniform(4, 14);
    for (std::uint64_t count = 0; count < crashes; ++count) {
      crashEngine(pick(world_.engineCount()), beginning());
    }
  } else if (kind == FaultKind::EngineFreeze) {
    const std::uint64_t freezes = random_.uniform(1, kMostEngines);
    for (std::uint64_t count = 0; count < freezes; ++count) {
      const std::size_t index = pick(world_.engineCount());
      const Duration from = beginning();
      at(from, [this, index] { world_.engineAt(index).freeze(); });
      at(from + between(milliseconds(200), seconds(10)), [this, index] { world_.engineAt(index).thaw(); });
    }
  } else if (kind == FaultKind::RunnerCrash) {
    const std::uint64_t crashes = random_.uniform(1, 4);
    for (std::uint64_t count = 0; count < crashes; ++count) {
      const std::size_t index = pick(world_.runnerCount());
      const bool silent = random_.chance(0.5);
      const Duration when = beginning();
      at(when, [this, index, silent] { world_.runnerAt(index).crash(silent); });
      at(when + between(milliseconds(50), seconds(3)), [this, index] { world_.runnerAt(index).restart(); });
    }
  } else if (kind == FaultKind::LostPieces) {
    const Duration from = beginning();
    const std::size_t index = pick(world_.engineCount());
    for (std::size_t offset = 0; offset < kMostEngines; ++offset) {
      const std::size_t engine = (index + offset) % world_.engineCount();
      at(from, [this, engine] { world_.engineAt(engine).setLostPieces(0.1); });
      at(from + seconds(6), [this, engine] { world_.engineAt(engine).setLostPieces(0); });
    }
    const std::size_t sidecar = pick(world_.sidecarCount());
    at(from, [this, sidecar] { world_.sidecarAt(sidecar).setLostPieces(0.05); });
    at(from + seconds(6), [this, sidecar] { world_.sidecarAt(sidecar).setLostPieces(0); });
  } else if (kind == FaultKind::PrefixShift) {
    for (std::uint64_t count = random_.uniform(1, 3); count > 0; --count) {
      at(beginning(), [this] { workload_.shiftPrefixes(); });
    }
  }
}

void FaultDriver::herdRestart(Duration when) {
  for (std::size_t index = 0; index < world_.routerCount(); ++index) {
    const Duration down = between(milliseconds(100), milliseconds(800));
    at(when + between(Duration(0), milliseconds(60)), [this, index] { world_.routerAt(index).crash(false); });
    at(when + down, [this, index] { world_.routerAt(index).start(); });
  }
}

void FaultDriver::stopAndRestart(std::size_t router, Duration when) {
  at(when, [this, router] { world_.routerAt(router).stop(); });
  // The process may need a while to finish; the new one starts when the old one is gone.
  for (int second = 1; second <= 12; ++second) {
    at(when + seconds(second), [this, router] {
      if (!world_.routerAt(router).host().up()) world_.routerAt(router).start();
    });
  }
}

void FaultDriver::planRouters(FaultKind kind) {
  if (kind == FaultKind::RouterRestart) {
    for (std::uint64_t count = random_.uniform(1, 3); count > 0; --count) {
      const std::size_t index = pick(world_.routerCount());
      const bool silent = random_.chance(0.5);
      const Duration when = beginning();
      at(when, [this, index, silent] { world_.routerAt(index).crash(silent); });
      at(when + between(milliseconds(50), seconds(3)), [this, index] { world_.routerAt(index).start(); });
    }
  } else if (kind == FaultKind::HerdRestart) {
    const Duration when = beginning();
    if (random_.chance(0.6))
      setStore(when - milliseconds(500), when + seconds(10), {standin::ServiceMode::Down});
    herdRestart(when);
  } else if (kind == FaultKind::RouterPause) {
    const Duration when = beginning();
    const bool holder = random_.chance(0.6);
    const std::size_t index = pick(world_.routerCount());
    auto paused = std::make_shared<std::size_t>(index);
    at(when, [this, holder, paused] {
      for (std::size_t router = 0; holder && router < world_.routerCount(); ++router) {
        if (world_.routerAt(router).holdsLease()) *paused = router;
      }
      world_.routerAt(*paused).pause();
    });
    at(when + between(milliseconds(300), seconds(9)), [this, paused] { world_.routerAt(*paused).wake(); });
  } else if (kind == FaultKind::SidecarRestart) {
    const std::size_t index = pick(world_.sidecarCount());
    const Duration when = beginning();
    at(when, [this, index] { world_.sidecarAt(index).crash(false); });
    at(when + between(milliseconds(100), seconds(2)), [this, index] { world_.sidecarAt(index).start(); });
  } else if (kind == FaultKind::PlannedStops) {
    Duration when = kFirstFault;
    for (std::size_t index = 0; index < world_.routerCount() && when < world_.site().load; ++index) {
      stopAndRestart(index, when);
      when += between(seconds(1), seconds(4));
    }
  } else if (kind == FaultKind::ZoneStop) {
    const std::string zone = world_.site().zones[pick(world_.site().zones.size())].zone;
    const Duration when = beginning();
    for (std::size_t index = 0; index < world_.routerCount(); ++index) {
      if (world_.routerAt(index).host().place().zone == zone) stopAndRestart(index, when);
    }
  }
}

void FaultDriver::partition(Duration from, Duration to) {
  const Place cut_off = world_.site().zones[pick(world_.site().zones.size())];
  const bool whole_region = world_.site().zones.size() > 3;
  std::set<std::string> inside;
  std::set<std::string> outside;
  for (const auto& host : world_.hosts()) {
    const Place& place = host->place();
    const bool in = whole_region ? place.region == cut_off.region : place.zone == cut_off.zone;
    (in ? inside : outside).insert(host->name());
  }
  const std::uint64_t number = next_cut_++;
  at(from, [this, number, inside, outside] {
    world_.trace().note("network", "partition {} begins", number);
    world_.context().network.cut(number, inside, outside);
  });
  at(to, [this, number] {
    world_.trace().note("network", "partition {} heals", number);
    world_.context().network.heal(number);
  });
}

void FaultDriver::planNetwork(FaultKind kind) {
  Network& network = world_.context().network;
  if (kind == FaultKind::ConnectionCuts) {
    for (std::uint64_t count = random_.uniform(2, 6); count > 0; --count) {
      at(beginning(), [this, &network] {
        world_.trace().note("network", "breaks {} connections", network.resetSome(0.3));
      });
    }
  } else if (kind == FaultKind::Disturbance) {
    const Duration from = beginning();
    const Duration extra = between(milliseconds(50), milliseconds(2500));
    const double share = 0.05 + 0.3 * random_.unit();
    at(from, [&network, extra, share] { network.setDisturbance(extra, share); });
    at(from + between(seconds(2), seconds(9)), [&network] { network.setDisturbance(Duration(0), 0); });
  } else if (kind == FaultKind::CrossedAnswers) {
    for (std::size_t index = 0; index < world_.sidecarCount(); ++index) {
      world_.sidecarAt(index).setRepeatedAnswers(0.4);
    }
    const Duration when = seconds(4) + between(Duration(0), seconds(6));
    roll(0, when - between(milliseconds(500), seconds(3)));
    pauseAllButOne(when);
  } else if (kind == FaultKind::Partition) {
    const Duration from = beginning();
    partition(from, from + between(milliseconds(500), seconds(9)));
  }
}

void FaultDriver::setStore(Duration from, Duration to, const standin::ServiceBehaviour& behaviour) {
  at(from, [this, behaviour] {
    world_.trace().note("platform", "store behaves in mode {}", static_cast<int>(behaviour.mode));
    world_.platform().setStoreBehaviour(behaviour);
  });
  at(to, [this] {
    world_.trace().note("platform", "store is up");
    world_.platform().setStoreBehaviour({});
  });
}

void FaultDriver::planStore(FaultKind kind) {
  const Duration from = beginning();
  const Duration to = from + between(seconds(1), seconds(10));
  if (kind == FaultKind::StoreDown) setStore(from, to, {standin::ServiceMode::Down});
  if (kind == FaultKind::StoreSlow) {
    setStore(from, to, {standin::ServiceMode::Slow, between(milliseconds(100), milliseconds(1500))});
  }
  if (kind == FaultKind::LostAnswers) {
    setStore(from, to, {standin::ServiceMode::LoseResponses, Duration(0), 0, 0.2 + 0.6 * random_.unit()});
  }
}

void FaultDriver::roll(std::size_t operator_index, Duration when) {
  const std::string weights = fmt::format("w{}", next_weights_++);
  at(when, [this, operator_index, weights] { world_.operatorAt(operator_index).roll(weights); });
}

void FaultDriver::rollBack(std::size_t operator_index, Duration when) {
  at(when, [this, operator_index] { world_.operatorAt(operator_index).roll("w1"); });
}

/// Watches for a holder that has decided on an order and not yet sent it, and pauses it then.
void FaultDriver::pauseHolderWithOrders(TimePoint until, Duration pause) {
  for (std::size_t index = 0; index < world_.routerCount(); ++index) {
    if (world_.routerAt(index).unsentOrders() == 0) continue;
    world_.routerAt(index).pause();
    roll(1, milliseconds(500));
    at(pause, [this, index] { world_.routerAt(index).wake(); });
    return;
  }
  if (world_.context().queue.now() >= until) return;
  at(kOrderWatchInterval, [this, until, pause] { pauseHolderWithOrders(until, pause); });
}

void FaultDriver::pauseAllButOne(Duration when) {
  const std::size_t spared = pick(world_.routerCount());
  for (std::size_t index = 0; index < world_.routerCount(); ++index) {
    if (index == spared) continue;
    at(when, [this, index] { world_.routerAt(index).pause(); });
    at(when + between(milliseconds(3200), milliseconds(4800)),
       [this, index] { world_.routerAt(index).wake(); });
  }
}

void FaultDriver::planBundles(FaultKind kind) {
  const bool rolls = kind == FaultKind::WeightsRoll || kind == FaultKind::OperatorRace;
  if (rolls) world_.context().repeated_bundle_share = 0.3;
  if (kind == FaultKind::WeightsRoll) {
    const Duration when = beginning();
    roll(0, when);
    if (random_.chance(0.6)) roll(1, when + between(milliseconds(500), seconds(8)));
  } else if (kind == FaultKind::OperatorRace) {
    for (std::uint64_t count = random_.uniform(1, 3); count > 0; --count) {
      const Duration when = beginning();
      roll(0, when);
      roll(1, when + between(Duration(0), milliseconds(6)));
    }
  } else if (kind == FaultKind::StalledOrders) {
    const Duration when = between(kFirstFault, seconds(5));
    roll(0, when);
    at(when, [this] {
      pauseHolderWithOrders(world_.context().queue.now() + kOrderWatch, between(seconds(9), seconds(18)));
    });
  } else if (kind == FaultKind::StoreDownAfterRoll) {
    const Duration when = beginning();
    roll(0, when);
    setStore(when + between(milliseconds(15), milliseconds(2500)), when + seconds(9),
             {standin::ServiceMode::Down});
    herdRestart(when + between(milliseconds(500), seconds(4)));
  }
}

/// An operator does not take the last one away: nothing could serve then, whatever routers do.
bool FaultDriver::isLastOfItsKind(const std::string& name, bool runner) {
  std::set<std::string> leaving = {name};
  for (const LeavingRecord& record : world_.context().records.leaving) leaving.insert(record.machine);
  const std::size_t count = runner ? world_.runnerCount() : world_.engineCount();
  for (std::size_t index = 0; index < count; ++index) {
    const Host& host = runner ? world_.runnerAt(index).host() : world_.engineAt(index).host();
    if (!leaving.contains(host.name())) return false;
  }
  return true;
}

void FaultDriver::leave(bool by_list, bool by_itself, Duration when) {
  const bool runner = random_.chance(0.3);
  const std::size_t index = pick(runner ? world_.runnerCount() : world_.engineCount());
  at(when, [this, runner, index, by_list, by_itself] {
    Host& host = runner ? world_.runnerAt(index).host() : world_.engineAt(index).host();
    if (isLastOfItsKind(host.name(), runner)) return;
    TimePoint seen = TimePoint::max();
    if (by_itself) {
      if (runner) world_.runnerAt(index).startLeaving();
      if (!runner) world_.engineAt(index).startLeaving();
      seen = world_.context().queue.now();
    }
    if (by_list) seen = std::min(seen, world_.platform().markLeaving(host.name()));
    world_.trace().note(host.name(), "leaves{}{}", by_list ? " by the list" : "",
                        by_itself ? " by itself" : "");
    world_.context().records.leaving.push_back({host.name(), seen, !by_list});
  });
}

void FaultDriver::planLeaving(FaultKind kind) {
  if (kind == FaultKind::LeavingEngine) {
    world_.platform().setListLag(between(milliseconds(200), seconds(6)));
    for (std::uint64_t count = random_.uniform(1, 3); count > 0; --count) {
      const bool by_list = random_.chance(0.5);
      leave(by_list, !by_list, beginning());
    }
  } else if (kind == FaultKind::LeavingUnseen) {
    const std::string zone = world_.site().zones[pick(world_.site().zones.size())].zone;
    std::set<std::string> routers;
    for (std::size_t index = 0; index < world_.routerCount(); ++index) {
      const Host& host = world_.routerAt(index).host();
      if (host.place().zone == zone) routers.insert(host.name());
    }
    const std::uint64_t number = next_cut_++;
    world_.context().network.cut(number, routers, {"platform"});
    for (int count = 0; count < 2; ++count) leave(true, false, beginning());
    at(world_.site().load - seconds(1), [this, number] { world_.context().network.heal(number); });
  }
}

}  // namespace crankspur::sim
