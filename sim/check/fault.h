#pragma once
/// @file Faults that a run brings about, each with a seeded time and target.

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
  EngineCrash,         ///< Engines die and come back empty.
  EngineFreeze,        ///< Engines stop for a while and go on.
  RunnerCrash,         ///< Application runners die and come back.
  RouterRestart,       ///< A router dies and comes back empty.
  HerdRestart,         ///< All routers die together, sometimes while the store is down.
  RouterPause,         ///< A router stops past its lease and wakes.
  SidecarRestart,      ///< A sidecar dies and comes back empty.
  ConnectionCuts,      ///< Connections break.
  Disturbance,         ///< Messages are delayed, so that connections overtake each other.
  Partition,           ///< One zone (or region) is cut off for a while.
  StoreDown,           ///< Table and objects refuse everything.
  StoreSlow,           ///< Table and objects answer late.
  LostAnswers,         ///< Answers of the store are lost after the effect.
  LostPieces,          ///< Engines and routers lose pieces of answers.
  WeightsRoll,         ///< Bundles with other weights are rolled.
  OperatorRace,        ///< Two operators roll at once.
  PrefixShift,         ///< The hot prefixes change.
  LeavingEngine,       ///< Back ends leave; the list lags.
  LeavingUnseen,       ///< Back ends leave by the list, which one zone cannot read.
  PlannedStops,        ///< Routers stop as planned, one by one.
  ZoneStop,            ///< All routers of a zone stop as planned at once.
  StoreDownAfterRoll,  ///< A bundle is rolled, the store goes down, routers restart.
  CrossedAnswers,      ///< Answers come twice and late, from routers that were given up meanwhile.
  StalledOrders,       ///< The lease holder is paused between an order's decision and its sending.
  SamePrompts,         ///< Tenants send the same prompts, word for word, at the same time.
  ClockSkew,           ///< Clocks differ by up to an hour and run up to a tenth too fast or too slow.
  RackLoss,            ///< Engines of a zone are lost, the others die again and again, under many requests.
  HerdRateLimits,      ///< All routers restart while the platform allows only a few calls a second.
  WeightsWaves,        ///< Weights are rolled again while an earlier roll-out is under way.
  Rollback,            ///< Weights are rolled and then rolled back as a new version.
  HourPartition,       ///< A region is cut off for an hour, in which bundles are rolled.
  TableDownHour,       ///< The table is down for an hour, routers are replaced; not part of pairs.
};

/// A kind with its name.
struct FaultName {
  FaultKind kind;
  const char* name;
};

/// Kinds before this one take part in the scenario "pair"; later ones in "wider_pair", so that recorded seeds
/// of "pair" stay what they were.
inline constexpr FaultKind kFirstWiderKind = FaultKind::SamePrompts;

/// Length of the table outage and the times before and after it, in FaultKind::TableDownHour.
inline constexpr Duration kBeforeOutage = std::chrono::seconds(90);
inline constexpr Duration kTableOutage = std::chrono::hours(1);
inline constexpr Duration kAfterOutage = std::chrono::seconds(200);

/// @return every kind that a scenario of one fault or a pair is made of.
const std::vector<FaultName>& faultNames();
/// @return the kind of that name, if any.
std::optional<FaultKind> findFault(std::string_view name);

/// Brings faults about in one run.
class FaultDriver {
public:
  FaultDriver(World& world, Workload& workload, std::uint64_t seed)
      : world_(world), workload_(workload), random_(seed) {}
  /// Plans a fault of the kind; it begins and ends within the load time.
  void plan(FaultKind kind);
  /// Sets a clock of its own for every host; to be called before anything starts.
  /// @param rate_spread between the slowest and the fastest clock, around 1.
  void skewClocks(Duration largest_offset, double rate_spread);

private:
  void planBackends(FaultKind kind);
  void planRouters(FaultKind kind);
  void planNetwork(FaultKind kind);
  void planStore(FaultKind kind);
  void planBundles(FaultKind kind);
  void planLeaving(FaultKind kind);
  void planFleet(FaultKind kind);
  void loseRack();
  void herdWithRateLimits();
  void partForAnHour();
  void planTableOutage();  // table_outage.cc
  void openTableAtTimes(Duration from, Duration to);
  void replaceRouters(Duration from, Duration to, std::uint64_t times, bool minority_only);
  void disturbOutage(Duration from, Duration to);

  void at(Duration after_start, Task task);
  /// @return an instant early enough for the fault to end within the load time.
  Duration beginning();
  Duration between(Duration shortest, Duration longest);
  std::size_t pick(std::size_t count) { return random_.uniform(0, count - 1); }
  void crashEngine(std::size_t index, Duration when);
  void herdRestart(Duration when);
  void setStore(Duration from, Duration to, const standin::ServiceBehaviour& behaviour);
  void partition(Duration from, Duration to);
  void pauseHolderWithOrders(TimePoint until, Duration pause);
  void pauseAllButOne(Duration when);
  void replaceRouter(std::size_t index, Duration when);
  void roll(std::size_t operator_index, Duration when);
  void rollBack(std::size_t operator_index, Duration when);
  void stopAndRestart(std::size_t router, Duration when);
  bool isLastOfItsKind(const std::string& name, bool runner);
  void leave(bool by_list, bool by_itself, Duration when);

  World& world_;
  Workload& workload_;
  RandomSource random_;
  std::uint64_t next_cut_ = 1;
  std::uint64_t next_weights_ = 2;
};

}  // namespace crankspur::sim
