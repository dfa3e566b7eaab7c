#pragma once
/// @file Checkers of the invariants. Requirement numbers are those of the column "Line" in docs/PROOFS.md.
/// Checkers use only behaviour that is observable from outside the components.

#include <set>
#include <string>
#include <vector>

#include "sim/check/fault.h"
#include "sim/world/run_result.h"
#include "sim/world/world.h"

namespace crankspur::sim {

/// Input of the checkers: one completed run.
struct CheckInput {
  World& world;
  const std::set<FaultKind>& faults;
  TimePoint load_start;
  TimePoint faults_end;  ///< All faults have ended by this time.
};

/// Each checker appends the violations that it finds.
void checkCacheUse(const CheckInput& input, Violations& violations);         ///< Requirement 1.
void checkStreams(const CheckInput& input, Violations& violations);          ///< Requirements 2 and 4.
void checkRestarts(const CheckInput& input, Violations& violations);         ///< Requirement 3.
void checkThunderingHerd(const CheckInput& input, Violations& violations);   ///< Requirement 3.
void checkNotRun(const CheckInput& input, Violations& violations);           ///< Requirement 5.
void checkAtMostOnce(const CheckInput& input, Violations& violations);       ///< Requirement 6.
void checkTableOutage(const CheckInput& input, Violations& violations);      ///< Requirement 6.
void checkLeavingBackends(const CheckInput& input, Violations& violations);  ///< Requirement 7.
void checkPlannedStops(const CheckInput& input, Violations& violations);     ///< Requirement 8.
void checkBundles(const CheckInput& input, Violations& violations);          ///< Requirement 9.
void checkFencing(const CheckInput& input, Violations& violations);
/// The number of engines that load weights concurrently stays within Knobs::parallel_weight_loads.
void checkParallelWeightLoads(const CheckInput& input, Violations& violations);
/// No request fails with DeadlineExceeded before its deadline has passed, whatever the skew of the clocks.
void checkDeadlines(const CheckInput& input, Violations& violations);
/// The loss of engines does not multiply the load on the remaining ones.
void checkRetryStorm(const CheckInput& input, Violations& violations);
/// Every request gets a final response in time; without faults, no request fails.
void checkLiveness(const CheckInput& input, Violations& violations);

/// Runs all checkers.
Violations checkAll(const CheckInput& input);

}  // namespace crankspur::sim
