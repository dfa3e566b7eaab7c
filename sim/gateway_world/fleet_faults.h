#pragma once
/// @file Faults of a simulated fleet, in series and overlapping, drawn from the seed.

#include "base/random.h"
#include "sim/gateway_world/fleet_world.h"

namespace crankspur::gateway_sim {

/// One kind of fault.
enum class FleetFault {
  engines_crash,        ///< Some engines crash at once, by no request.
  engines_lose_power,   ///< The same, without a word to their connections.
  connections_reset,    ///< A share of all connections is reset.
  gateways_killed,      ///< Some gateways are killed and started again.
  all_gateways_killed,  ///< All of them.
  gateways_cut,         ///< Some gateways reach neither the others nor the store.
  gateway_paused,       ///< One process stands still.
  gateway_suspended,    ///< One machine stands still, its steady clock too.
  store_silent,
  store_refuses,
  store_late,
  store_answer_lost,
  store_rows_lost,  ///< Rows of engines vanish until they write again.
  datagrams_lost,   ///< Datagrams are lost and doubled.
  last = datagrams_lost,
};

/// Plans faults and carries them out.
class FleetFaults {
public:
  FleetFaults(FleetContext& context, FleetWorld& world, std::uint64_t seed)
      : context_(context), world_(world), random_(seed) {}

  /// Draws faults for the time of load; the last seconds of it are free of new ones.
  void plan();
  /// The same, of one kind that strikes again and again.
  /// @param least, most pause between two strikes.
  void planOnly(FleetFault fault, Duration least, Duration most);

private:
  void strike(FleetFault fault);
  void crashEngines(bool silent);
  void resetConnections();
  void killGateways(double share);
  void cutGateways();
  void pauseGateway();
  void suspendGateway();
  void setStore(StoreMode mode);
  void disturbDatagrams();
  void note(std::uint32_t gateway, Duration time);
  Duration drawTime(std::uint64_t least_milliseconds, std::uint64_t most_milliseconds);

  FleetContext& context_;
  FleetWorld& world_;
  RandomSource random_;
  std::uint64_t next_cut_ = 1;
};

}  // namespace crankspur::gateway_sim
