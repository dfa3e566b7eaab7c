#include "sim/gateway_world/fleet_faults.h"

#include <algorithm>
#include <set>

namespace crankspur::gateway_sim {
namespace {

constexpr std::uint64_t kMaxFaults = 12;
constexpr std::uint64_t kMaxSeries = 4;
constexpr std::uint64_t kFirstMilliseconds = 2'000;
/// No fault begins in this last part of the load time, so that gateways can reach agreement.
constexpr std::uint64_t kFaultFreeMilliseconds = 20'000;
constexpr double kEngineShare = 0.3;
constexpr double kResetShare = 0.5;
constexpr double kGatewayShare = 0.4;
/// Share of the engines that a gateway does not reach in a partition that is not complete.
constexpr double kPartitionedEngineShare = 0.9;
constexpr std::size_t kEnginesPerLeaving = 4;
constexpr std::size_t kEnginesPerPausing = 4;
constexpr double kAnnouncedShare = 0.5;
constexpr double kMinFailingShare = 0.5;
constexpr std::uint64_t kMinMoves = 3;
constexpr std::uint64_t kMaxMoves = 8;
/// The second half of the engines is replaced this long after the first, whose new processes serve by then.
constexpr Duration kReplacementInterval = std::chrono::seconds(12);
constexpr std::uint64_t kReplacementSpreadMilliseconds = 1'000;
/// Rounds in which gateways lag and engines crash after a release, until all engines are replaced. The first
/// engines of the new build are those that crash at the release.
constexpr std::uint64_t kMaxLagRounds = 4;
constexpr std::uint64_t kMaxFirstLagMilliseconds = 1'000;
constexpr std::uint64_t kMaxCrashesInRound = 3;
constexpr std::uint64_t kMinCrashIntervalMilliseconds = 400;
constexpr std::uint64_t kMaxCrashIntervalMilliseconds = 2'500;
constexpr double kNewestEngineShare = 0.6;
constexpr Duration kTimeToReplacement = std::chrono::seconds(8);

}  // namespace

Duration FleetFaults::drawDuration(std::uint64_t min_milliseconds, std::uint64_t max_milliseconds) {
  return std::chrono::milliseconds(random_.uniform(min_milliseconds, max_milliseconds));
}

/// Each draw yields one fault or a series of faults of one kind.
void FleetFaults::plan() {
  const std::uint64_t draws = random_.uniform(0, kMaxFaults);
  const auto load = static_cast<std::uint64_t>(context_.site.load_time / std::chrono::milliseconds(1));
  const std::uint64_t last = load - kFaultFreeMilliseconds;
  for (std::uint64_t draw = 0; draw < draws; ++draw) {
    const auto fault =
        static_cast<FleetFault>(random_.uniform(0, static_cast<std::uint64_t>(FleetFault::last)));
    const std::uint64_t injections = random_.uniform(1, kMaxSeries);
    std::uint64_t at = random_.uniform(kFirstMilliseconds, last);
    for (std::uint64_t injection = 0; injection < injections && at < last; ++injection) {
      context_.queue.after(std::chrono::milliseconds(at), [this, fault] { inject(fault); });
      at += random_.uniform(500, 5'000);
    }
  }
}

void FleetFaults::planRepeated(FleetFault fault, Duration min_interval, Duration max_interval) {
  const Duration end = context_.site.load_time - std::chrono::milliseconds(kFaultFreeMilliseconds);
  Duration at = std::chrono::milliseconds(kFirstMilliseconds);
  while (at < end) {
    context_.queue.after(at, [this, fault] { inject(fault); });
    at += drawDuration(static_cast<std::uint64_t>(min_interval / std::chrono::milliseconds(1)),
                       static_cast<std::uint64_t>(max_interval / std::chrono::milliseconds(1)));
  }
}

void FleetFaults::planReleases() {
  for (const TimePoint release : context_.site.releases) {
    context_.queue.at(release, [this] { replaceEngines(0); });
    context_.queue.at(release + kReplacementInterval, [this] { replaceEngines(1); });
  }
}

void FleetFaults::planLag(double other_faults_chance) {
  if (random_.chance(other_faults_chance)) plan();
  for (const TimePoint release : context_.site.releases) {
    context_.queue.at(release, [this] { inject(FleetFault::engines_crash); });
    // The first engines of the build join while gateways lag already.
    TimePoint at = release + drawDuration(0, kMaxFirstLagMilliseconds);
    for (std::uint64_t rounds = random_.uniform(1, kMaxLagRounds); rounds > 0; --rounds) {
      context_.queue.at(at, [this] { letGatewaysLag(); });
      for (std::uint64_t crashes = random_.uniform(1, kMaxCrashesInRound); crashes > 0; --crashes) {
        at += drawDuration(kMinCrashIntervalMilliseconds, kMaxCrashIntervalMilliseconds);
        context_.queue.at(at, [this, release] { crashEnginesSince(release); });
      }
    }
    context_.queue.at(at + kTimeToReplacement, [this] { replaceEngines(0); });
    context_.queue.at(at + kTimeToReplacement + kReplacementInterval, [this] { replaceEngines(1); });
  }
}

/// Streams that had begun at the build released then break.
void FleetFaults::crashEnginesSince(TimePoint release) {
  for (const auto& engine : world_.engines()) {
    const TimePoint started_at{std::chrono::milliseconds(engine->startMilliseconds())};
    if (started_at >= release && random_.chance(kNewestEngineShare)) engine->crash(false);
  }
}

/// In one of the ways in which a gateway does not receive for some time what the others do.
void FleetFaults::letGatewaysLag() {
  const std::uint64_t draw = random_.uniform(0, 9);
  if (draw < 4) return inject(FleetFault::gateways_partitioned_from_store);
  if (draw < 6) return inject(FleetFault::gateways_partitioned);
  if (draw < 8) return inject(FleetFault::gateway_paused);
  inject(draw == 8 ? FleetFault::gateway_suspended : FleetFault::gateways_killed);
}

void FleetFaults::replaceEngines(std::uint32_t half) {
  context_.trace.note("faults", "half {} of the engines is replaced", half);
  for (const auto& engine : world_.engines()) {
    if (engine->number() % 2 != half) continue;
    const Duration delay = drawDuration(0, kReplacementSpreadMilliseconds);
    const bool announced = random_.chance(kAnnouncedShare);
    context_.queue.after(delay, [&engine, announced] { engine->leave(announced); });
  }
}

void FleetFaults::inject(FleetFault fault) {
  context_.trace.note("faults", "kind {}", static_cast<int>(fault));
  switch (fault) {
    case FleetFault::engines_crash:
      return crashEngines(false);
    case FleetFault::engines_lose_power:
      return crashEngines(true);
    case FleetFault::connections_reset:
      return resetConnections();
    case FleetFault::gateways_killed:
      return killGateways(kGatewayShare);
    case FleetFault::all_gateways_killed:
      return killGateways(1.0);
    case FleetFault::gateways_partitioned:
      return partitionGateways();
    case FleetFault::gateway_paused:
      return pauseGateway();
    case FleetFault::gateway_suspended:
      return suspendGateway();
    case FleetFault::store_unresponsive:
      return setStore(StoreMode::unresponsive);
    case FleetFault::store_refuses:
      return setStore(StoreMode::refuses);
    case FleetFault::store_slow:
      return setStore(StoreMode::slow);
    case FleetFault::store_response_lost:
      return setStore(StoreMode::response_lost);
    case FleetFault::store_rows_lost:
      context_.records.store.push_back(
          {context_.queue.now(), context_.queue.now() + std::chrono::seconds(2)});
      return world_.store().loseRows(random_.unit());
    case FleetFault::datagrams_lost:
      return disturbDatagrams();
    case FleetFault::engines_leave:
      return letEngineLeave();
    case FleetFault::engines_pause:
      return letEnginePause();
    case FleetFault::engines_brittle:
      return makeEnginesBrittle();
    case FleetFault::gateways_partitioned_from_engines:
      return partitionGatewaysFromEngines();
    case FleetFault::gateways_partitioned_from_store:
      return partitionGatewaysFromStore();
    case FleetFault::engines_fail:
      return failEngines();
    case FleetFault::callers_move:
      return moveCallers(random_.uniform(kMinMoves, kMaxMoves));
  }
}

void FleetFaults::recordDisturbance(std::uint32_t gateway, Duration time) {
  context_.records.gateways[gateway].push_back({context_.queue.now(), context_.queue.now() + time});
}

void FleetFaults::crashEngines(bool silent) {
  for (const auto& engine : world_.engines()) {
    if (random_.chance(kEngineShare)) engine->crash(silent);
  }
}

/// At most a quarter of the engines leave at a time, so that the others can take the requests.
void FleetFaults::letEngineLeave() {
  const auto& engines = world_.engines();
  const auto leaving =
      std::count_if(engines.begin(), engines.end(), [](const auto& engine) { return engine->isLeaving(); });
  if (static_cast<std::size_t>(leaving) * kEnginesPerLeaving >= engines.size()) return;
  engines[random_.uniform(0, engines.size() - 1)]->leave(random_.chance(kAnnouncedShare));
}

/// At most a quarter of the engines reject requests at a time, all of them or a part.
void FleetFaults::letEnginePause() {
  const auto& engines = world_.engines();
  const auto pausing = std::count_if(engines.begin(), engines.end(),
                                     [](const auto& engine) { return engine->rejectsRequests(); });
  if (static_cast<std::size_t>(pausing) * kEnginesPerPausing >= engines.size()) return;
  const double share = random_.chance(0.5) ? 1.0 : 0.2 + 0.6 * random_.unit();
  const Duration time = drawDuration(1'000, 12'000);
  engines[random_.uniform(0, engines.size() - 1)]->rejectRequests(share, time, drawDuration(800, 5'000));
}

void FleetFaults::makeEnginesBrittle() {
  auto& periods = context_.records.brittle_periods;
  const TimePoint now = context_.queue.now();
  if (!periods.empty() && now < periods.back().to) return;
  const auto tolerated = static_cast<std::uint32_t>(random_.uniform(2, 8));
  periods.push_back({now, now + drawDuration(6'000, 16'000), tolerated});
}

void FleetFaults::failEngines() {
  const auto failure =
      static_cast<EngineFailure>(random_.uniform(0, static_cast<std::uint64_t>(EngineFailure::last)));
  const double share = kMinFailingShare + (1 - kMinFailingShare) * random_.unit();
  const Duration time = drawDuration(2'000, 20'000);
  context_.records.failing_engines.push_back({context_.queue.now(), context_.queue.now() + time});
  for (const auto& engine : world_.engines()) {
    if (random_.chance(share)) engine->failRequests(failure, share, time);
  }
}

/// A planned stop, or a change of the addresses that callers get, moves the requests of one gateway to
/// another one at once.
void FleetFaults::moveCallers(std::uint64_t moves) {
  if (moves == 0) return world_.callers().useGateway(std::nullopt);
  world_.callers().useGateway(random_.uniform(0, world_.gateways().size() - 1));
  context_.queue.after(drawDuration(1'000, 3'000), [this, moves] { moveCallers(moves - 1); });
}

void FleetFaults::resetConnections() {
  context_.network.resetRandomChannels(kResetShare * (1 + random_.unit()));
  context_.records.connections.push_back({context_.queue.now(), context_.queue.now()});
}

void FleetFaults::killGateways(double share) {
  const bool silent = random_.chance(0.3);
  if (share >= 1) context_.records.fleet_kills.push_back(context_.queue.now());
  for (std::uint32_t number = 0; number < world_.gateways().size(); ++number) {
    GatewayNode& gateway = *world_.gateways()[number];
    if (!gateway.host().up() || !random_.chance(share)) continue;
    const Duration down = drawDuration(200, 2'000);
    recordDisturbance(number, down);
    gateway.kill(silent);
    context_.queue.after(down, [&gateway] {
      if (!gateway.host().up()) gateway.start();
    });
  }
}

void FleetFaults::partitionGateways() {
  const std::uint64_t number = next_partition_++;
  const Duration time = drawDuration(1'000, 12'000);
  std::set<std::string> inside;
  std::set<std::string> outside = {world_.store().host().name()};
  for (std::uint32_t index = 0; index < world_.gateways().size(); ++index) {
    const std::string& name = world_.gateways()[index]->host().name();
    const bool is_partitioned = random_.chance(kGatewayShare);
    (is_partitioned ? inside : outside).insert(name);
    if (is_partitioned) recordDisturbance(index, time);
  }
  context_.network.partition(number, std::move(inside), std::move(outside));
  context_.queue.after(time, [this, number] { context_.network.heal(number); });
}

/// The connections stay open and go silent. In some cases a few engines remain in reach.
void FleetFaults::partitionGatewaysFromEngines() {
  const std::uint64_t number = next_partition_++;
  const Duration time = drawDuration(2'000, 14'000);
  const double engine_share = random_.chance(0.5) ? 1.0 : kPartitionedEngineShare;
  std::set<std::string> gateways;
  std::set<std::string> engines;
  for (std::uint32_t index = 0; index < world_.gateways().size(); ++index) {
    if (!random_.chance(kGatewayShare)) continue;
    gateways.insert(world_.gateways()[index]->host().name());
    context_.records.engine_partitions.push_back({index, context_.queue.now(), context_.queue.now() + time});
    recordDisturbance(index, time);
  }
  for (const auto& engine : world_.engines()) {
    if (random_.chance(engine_share)) engines.insert(engine->host().name());
  }
  context_.network.partition(number, std::move(gateways), std::move(engines));
  context_.queue.after(time, [this, number] { context_.network.heal(number); });
}

void FleetFaults::partitionGatewaysFromStore() {
  const std::uint64_t number = next_partition_++;
  const Duration time = drawDuration(1'000, 8'000);
  std::set<std::string> gateways;
  for (std::uint32_t index = 0; index < world_.gateways().size(); ++index) {
    if (!random_.chance(kGatewayShare)) continue;
    gateways.insert(world_.gateways()[index]->host().name());
    recordDisturbance(index, time);
  }
  context_.network.partition(number, std::move(gateways), {world_.store().host().name()});
  context_.queue.after(time, [this, number] { context_.network.heal(number); });
}

void FleetFaults::pauseGateway() {
  const auto number = static_cast<std::uint32_t>(random_.uniform(0, world_.gateways().size() - 1));
  const Duration time = drawDuration(300, 7'000);
  recordDisturbance(number, time);
  world_.gateways()[number]->pause(time);
}

void FleetFaults::suspendGateway() {
  const auto number = static_cast<std::uint32_t>(random_.uniform(0, world_.gateways().size() - 1));
  const Duration time = drawDuration(1'000, 15'000);
  recordDisturbance(number, time);
  world_.gateways()[number]->suspend(time);
}

void FleetFaults::setStore(StoreMode mode) {
  const Duration time = drawDuration(500, 8'000);
  context_.records.store.push_back({context_.queue.now(), context_.queue.now() + time});
  world_.store().setMode(mode);
  context_.queue.after(time, [this, mode] {
    if (world_.store().mode() == mode) world_.store().setMode(StoreMode::healthy);
  });
}

void FleetFaults::disturbDatagrams() {
  context_.datagrams.loss = 0.3 * random_.unit();
  context_.datagrams.duplication = 0.2 * random_.unit();
  const Duration max_delay = drawDuration(1, 300);
  context_.network.setExtraDelay(max_delay, random_.unit());
  const Duration time = drawDuration(1'000, 15'000);
  context_.records.messages.push_back({context_.queue.now(), context_.queue.now() + time});
  context_.queue.after(time, [this] {
    context_.datagrams = {};
    context_.network.setExtraDelay(Duration(0), 0);
  });
}

}  // namespace crankspur::gateway_sim
