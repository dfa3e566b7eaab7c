#include "sim/gateway_world/fleet_faults.h"

#include <set>

namespace crankspur::gateway_sim {
namespace {

constexpr std::uint64_t kMaxFaults = 12;
constexpr std::uint64_t kMaxSeries = 4;
constexpr std::uint64_t kFirstMilliseconds = 2'000;
/// No fault begins in the last seconds, so that gateways have time to agree.
constexpr std::uint64_t kQuietMilliseconds = 20'000;
constexpr double kEngineShare = 0.3;
constexpr double kResetShare = 0.5;
constexpr double kGatewayShare = 0.4;

}  // namespace

Duration FleetFaults::drawTime(std::uint64_t least_milliseconds, std::uint64_t most_milliseconds) {
  return std::chrono::milliseconds(random_.uniform(least_milliseconds, most_milliseconds));
}

/// Each draw is one fault or a series of the same.
void FleetFaults::plan() {
  const std::uint64_t draws = random_.uniform(0, kMaxFaults);
  const auto load = static_cast<std::uint64_t>(context_.site.load_time / std::chrono::milliseconds(1));
  const std::uint64_t last = load - kQuietMilliseconds;
  for (std::uint64_t draw = 0; draw < draws; ++draw) {
    const auto fault =
        static_cast<FleetFault>(random_.uniform(0, static_cast<std::uint64_t>(FleetFault::last)));
    const std::uint64_t strikes = random_.uniform(1, kMaxSeries);
    std::uint64_t at = random_.uniform(kFirstMilliseconds, last);
    for (std::uint64_t strike_number = 0; strike_number < strikes && at < last; ++strike_number) {
      context_.queue.after(std::chrono::milliseconds(at), [this, fault] { strike(fault); });
      at += random_.uniform(500, 5'000);
    }
  }
}

void FleetFaults::planOnly(FleetFault fault, Duration least, Duration most) {
  const Duration end = context_.site.load_time - std::chrono::milliseconds(kQuietMilliseconds);
  Duration at = std::chrono::milliseconds(kFirstMilliseconds);
  while (at < end) {
    context_.queue.after(at, [this, fault] { strike(fault); });
    at += drawTime(static_cast<std::uint64_t>(least / std::chrono::milliseconds(1)),
                   static_cast<std::uint64_t>(most / std::chrono::milliseconds(1)));
  }
}

void FleetFaults::strike(FleetFault fault) {
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
    case FleetFault::gateways_cut:
      return cutGateways();
    case FleetFault::gateway_paused:
      return pauseGateway();
    case FleetFault::gateway_suspended:
      return suspendGateway();
    case FleetFault::store_silent:
      return setStore(StoreMode::silent);
    case FleetFault::store_refuses:
      return setStore(StoreMode::refuses);
    case FleetFault::store_late:
      return setStore(StoreMode::late);
    case FleetFault::store_answer_lost:
      return setStore(StoreMode::answer_lost);
    case FleetFault::store_rows_lost:
      context_.records.store.push_back(
          {context_.queue.now(), context_.queue.now() + std::chrono::seconds(2)});
      return world_.store().loseRows(random_.unit());
    case FleetFault::datagrams_lost:
      return disturbDatagrams();
  }
}

void FleetFaults::note(std::uint32_t gateway, Duration time) {
  context_.records.gateways[gateway].push_back({context_.queue.now(), context_.queue.now() + time});
}

void FleetFaults::crashEngines(bool silent) {
  for (const auto& engine : world_.engines()) {
    if (random_.chance(kEngineShare)) engine->crash(silent);
  }
}

void FleetFaults::resetConnections() {
  context_.network.resetSome(kResetShare * (1 + random_.unit()));
  context_.records.connections.push_back({context_.queue.now(), context_.queue.now()});
}

void FleetFaults::killGateways(double share) {
  const bool silent = random_.chance(0.3);
  for (std::uint32_t number = 0; number < world_.gateways().size(); ++number) {
    GatewayNode& gateway = *world_.gateways()[number];
    if (!gateway.host().up() || !random_.chance(share)) continue;
    const Duration down = drawTime(200, 2'000);
    note(number, down);
    gateway.kill(silent);
    context_.queue.after(down, [&gateway] {
      if (!gateway.host().up()) gateway.start();
    });
  }
}

void FleetFaults::cutGateways() {
  const std::uint64_t number = next_cut_++;
  const Duration time = drawTime(1'000, 12'000);
  std::set<std::string> inside;
  std::set<std::string> outside = {world_.store().host().name()};
  for (std::uint32_t index = 0; index < world_.gateways().size(); ++index) {
    const std::string& name = world_.gateways()[index]->host().name();
    const bool is_cut = random_.chance(kGatewayShare);
    (is_cut ? inside : outside).insert(name);
    if (is_cut) note(index, time);
  }
  context_.network.cut(number, std::move(inside), std::move(outside));
  context_.queue.after(time, [this, number] { context_.network.heal(number); });
}

void FleetFaults::pauseGateway() {
  const auto number = static_cast<std::uint32_t>(random_.uniform(0, world_.gateways().size() - 1));
  const Duration time = drawTime(300, 7'000);
  note(number, time);
  world_.gateways()[number]->pause(time);
}

void FleetFaults::suspendGateway() {
  const auto number = static_cast<std::uint32_t>(random_.uniform(0, world_.gateways().size() - 1));
  const Duration time = drawTime(1'000, 15'000);
  note(number, time);
  world_.gateways()[number]->suspend(time);
}

void FleetFaults::setStore(StoreMode mode) {
  const Duration time = drawTime(500, 8'000);
  context_.records.store.push_back({context_.queue.now(), context_.queue.now() + time});
  world_.store().setMode(mode);
  context_.queue.after(time, [this, mode] {
    if (world_.store().mode() == mode) world_.store().setMode(StoreMode::sound);
  });
}

void FleetFaults::disturbDatagrams() {
  context_.datagrams.lost = 0.3 * random_.unit();
  context_.datagrams.doubled = 0.2 * random_.unit();
  context_.network.setDisturbance(drawTime(1, 300), random_.unit());
  const Duration time = drawTime(1'000, 15'000);
  context_.records.messages.push_back({context_.queue.now(), context_.queue.now() + time});
  context_.queue.after(time, [this] {
    context_.datagrams = {};
    context_.network.setDisturbance(Duration(0), 0);
  });
}

}  // namespace crankspur::gateway_sim
