#pragma once
/// @file Faults injected into a run, each with a time and target drawn from the seed.

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sim/world/workload.h"
#include "sim/world/world.h"

namespace crankspur::sim {

/// Kinds of faults and of planned events.
enum class FaultKind {
  EngineCrash,         ///< Engines crash and restart with an empty cache.
  EngineFreeze,        ///< Engines freeze for a while and then continue.
  RunnerCrash,         ///< Application runners crash and restart.
  RouterRestart,       ///< A router crashes and restarts without state.
  HerdRestart,         ///< All routers crash together, sometimes while the store is down.
  RouterPause,         ///< A router is paused, possibly beyond its lease, and resumes.
  SidecarRestart,      ///< A sidecar crashes and restarts without state.
  ConnectionCuts,      ///< Connections are reset.
  Disturbance,         ///< Messages are delayed, which reorders them across connections.
  Partition,           ///< One zone or region is cut off from the others.
  StoreDown,           ///< Table and object store refuse all calls.
  StoreSlow,           ///< Table and object store respond late.
  LostAnswers,         ///< Responses of the store are lost after the call took effect.
  LostPieces,          ///< Engines and routers lose parts of response streams.
  WeightsRoll,         ///< Bundles with new weights are rolled out.
  OperatorRace,        ///< Two operators roll out bundles concurrently.
  PrefixShift,         ///< The hot prefixes change.
  LeavingEngine,       ///< Back ends leave while the machine list is stale.
  LeavingUnseen,       ///< Back ends are marked as leaving in the machine list, which one zone cannot read.
  PlannedStops,        ///< Routers are shut down gracefully, one after the other.
  ZoneStop,            ///< All routers of a zone are shut down gracefully at once.
  StoreDownAfterRoll,  ///< A bundle is rolled out, the store fails, routers restart.
  CrossedAnswers,      ///< Responses are duplicated and arrive late, from routers already given up on.
  StalledOrders,       ///< The lease holder is paused after deciding on an order and before sending it.
  SamePrompts,         ///< Tenants send identical prompts at the same time.
  ClockSkew,           ///< Clocks differ by up to an hour and run up to a tenth too fast or too slow.
  RackLoss,            ///< Engines of a zone are lost and the others crash repeatedly, under high load.
  HerdRateLimits,      ///< All routers restart while the platform limits calls to a few per second.
  WeightsWaves,        ///< Weights are rolled out while an earlier roll-out is in progress.
  Rollback,            ///< Weights are rolled out, then rolled back as a new bundle version.
  HourPartition,       ///< A region is partitioned for an hour, during which bundles are rolled out.
  TableDownHour,       ///< The table is down for an hour while routers are replaced; never part of a pair.
};

/// A fault kind and its name, which is also the name of its scenario.
struct FaultName {
  FaultKind kind;
  const char* name;
};

/// Kinds before this one take part in the scenario "pair", this and later ones in "wider_pair", so that
/// recorded seeds of "pair" still reproduce the same runs.
inline constexpr FaultKind kFirstWiderPairKind = FaultKind::SamePrompts;

/// Length of the table outage and the times before and after it, in FaultKind::TableDownHour.
inline constexpr Duration kTimeBeforeOutage = std::chrono::seconds(90);
inline constexpr Duration kTableOutageTime = std::chrono::hours(1);
inline constexpr Duration kTimeAfterOutage = std::chrono::seconds(200);

/// @return all kinds that form single-fault and pair scenarios.
const std::vector<FaultName>& faultNames();
/// @return the kind of that name, if any.
std::optional<FaultKind> findFault(std::string_view name);

/// Injects faults into one run.
class FaultDriver {
public:
  FaultDriver(World& world, Workload& workload, std::uint64_t seed)
      : world_(world), workload_(workload), random_(seed) {}
  /// Schedules a fault of the kind, which starts and ends within the load time.
  void schedule(FaultKind kind);
  /// Gives every host its own clock offset and rate. Must be called before the world starts.
  /// @param rate_spread difference between the fastest and the slowest clock rate, centred on 1.
  void skewClocks(Duration max_offset, double rate_spread);

private:
  void scheduleBackendFaults(FaultKind kind);
  void scheduleRouterFaults(FaultKind kind);
  void scheduleNetworkFaults(FaultKind kind);
  void scheduleStoreFaults(FaultKind kind);
  void scheduleBundleFaults(FaultKind kind);
  void scheduleLeavingBackends(FaultKind kind);
  void scheduleFleetFaults(FaultKind kind);
  void scheduleRackLoss();
  void scheduleHerdWithRateLimits();
  void scheduleHourPartition();
  void scheduleTableOutage();  // table_outage.cc
  void scheduleBriefTableRecoveries(Duration from, Duration to);
  void scheduleRouterReplacements(Duration from, Duration to, std::uint64_t times, bool minority_only);
  void scheduleOutageDisturbances(Duration from, Duration to);

  void runAfter(Duration after_start, Task task);
  /// @return a start time early enough for the fault to end within the load time.
  Duration randomStart();
  Duration randomBetween(Duration min_duration, Duration max_duration);
  std::size_t randomIndex(std::size_t count) { return random_.uniform(0, count - 1); }
  void scheduleEngineCrash(std::size_t index, Duration when);
  void scheduleHerdRestart(Duration when);
  void scheduleStoreBehaviour(Duration from, Duration to, const standin::ServiceBehaviour& behaviour);
  void schedulePartition(Duration from, Duration to);
  void pauseHolderBeforeSending(TimePoint until, Duration pause);
  void schedulePauseOfAllButOne(Duration when);
  void scheduleRouterReplacement(std::size_t index, Duration when);
  void scheduleRoll(std::size_t operator_index, Duration when);
  void scheduleRollback(std::size_t operator_index, Duration when);
  void schedulePlannedRestart(std::size_t router, Duration when);
  bool isLastOfKind(const std::string& name, bool runner);
  void scheduleLeaving(bool by_list, bool by_itself, Duration when);

  World& world_;
  Workload& workload_;
  RandomSource random_;
  std::uint64_t next_partition_ = 1;
  std::uint64_t next_weights_ = 2;
};

}  // namespace crankspur::sim
