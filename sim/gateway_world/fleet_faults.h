#pragma once
/// @file Faults of a simulated fleet, drawn from the seed; they occur in series and may overlap.

#include "base/random.h"
#include "sim/gateway_world/fleet_world.h"

namespace crankspur::gateway_sim {

/// One kind of fault.
enum class FleetFault {
  engines_crash,         ///< Some engines crash, not caused by a request.
  engines_lose_power,    ///< As above, but their connections are not closed.
  connections_reset,     ///< A share of all connections is reset.
  gateways_killed,       ///< Some gateways are killed and restarted.
  all_gateways_killed,   ///< All gateways are killed and restarted.
  gateways_partitioned,  ///< Some gateways reach neither the others nor the store.
  gateway_paused,        ///< One process is paused.
  gateway_suspended,     ///< One machine is suspended, including its steady clock.
  store_unresponsive,
  store_refuses,
  store_slow,
  store_response_lost,
  store_rows_lost,  ///< Rows of engines are removed until the engines write them again.
  datagrams_lost,   ///< Datagrams are lost and duplicated, and messages delayed.
  last = datagrams_lost,
  // Not among the faults that plan() draws from:
  engines_leave,                      ///< An engine leaves as planned.
  gateways_partitioned_from_engines,  ///< Some gateways do not reach most or all engines.
  engines_pause,                      ///< An engine rejects requests and asks gateways for a pause.
  engines_brittle,                    ///< All engines are brittle for some time.
  engines_fail,                       ///< Most engines fail most of their requests for some time.
  gateways_partitioned_from_store,    ///< Some gateways reach the others, but not the store.
  callers_move,  ///< All callers use the same gateway, and another one every few seconds.
};

/// Schedules and injects faults.
class FleetFaults {
public:
  FleetFaults(FleetContext& context, FleetWorld& world, std::uint64_t seed)
      : context_(context), world_(world), random_(seed) {}

  /// Schedules random faults during the load time, except for its last part.
  void plan();
  /// Schedules faults of one kind, repeated during the same time.
  /// @param min_interval, max_interval bounds of the time between two faults.
  void planRepeated(FleetFault fault, Duration min_interval, Duration max_interval);
  /// Schedules gateways that lag, and crashes of engines, at each release of the site. Engines that crashed
  /// run the newer build then. All engines are replaced some time later.
  /// @param other_faults_chance of the faults of plan() besides.
  void planLag(double other_faults_chance);
  /// Schedules the replacement of all engines at each release of the site.
  void planReleases();

private:
  void inject(FleetFault fault);
  void crashEngines(bool silent);
  void letEngineLeave();
  void replaceEngines(std::uint32_t half);
  void letEnginePause();
  void makeEnginesBrittle();
  void failEngines();
  void moveCallers(std::uint64_t moves);
  void resetConnections();
  void killGateways(double share);
  void partitionGateways();
  void partitionGatewaysFromEngines();
  void partitionGatewaysFromStore();
  void letGatewaysLag();
  void crashEnginesSince(TimePoint release);
  void pauseGateway();
  void suspendGateway();
  void setStore(StoreMode mode);
  void disturbDatagrams();
  void recordDisturbance(std::uint32_t gateway, Duration time);
  Duration drawDuration(std::uint64_t min_milliseconds, std::uint64_t max_milliseconds);

  FleetContext& context_;
  FleetWorld& world_;
  RandomSource random_;
  std::uint64_t next_partition_ = 1;
};

}  // namespace crankspur::gateway_sim
