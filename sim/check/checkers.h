#pragma once
/// @file Checkers of what must always hold, one for each line. They judge by what was seen from outside.

#include <set>
#include <string>
#include <vector>

#include "sim/check/fault.h"
#include "sim/world/run_result.h"
#include "sim/world/world.h"

namespace crankspur::sim {

/// What checkers are given of a run.
struct CheckInput {
  World& world;
  const std::set<FaultKind>& faults;
  TimePoint load_begins;
  TimePoint faults_end;  ///< From here on nothing is wrong any more.
};

/// Each checker adds what it finds.
void checkCacheUse(const CheckInput& input, Violations& violations);      ///< Line 1.
void checkStreams(const CheckInput& input, Violations& violations);       ///< Lines 2 and 4.
void checkRestarts(const CheckInput& input, Violations& violations);      ///< Line 3.
void checkHerd(const CheckInput& input, Violations& violations);          ///< Line 3.
void checkNotRun(const CheckInput& input, Violations& violations);        ///< Line 5.
void checkAtMostOnce(const CheckInput& input, Violations& violations);    ///< Line 6.
void checkTableOutage(const CheckInput& input, Violations& violations);   ///< Line 6.
void checkLeaving(const CheckInput& input, Violations& violations);       ///< Line 7.
void checkPlannedStops(const CheckInput& input, Violations& violations);  ///< Line 8.
void checkBundles(const CheckInput& input, Violations& violations);       ///< Line 9.
void checkFencing(const CheckInput& input, Violations& violations);
/// Few engines load weights at once.
void checkWaves(const CheckInput& input, Violations& violations);
/// Nobody is told that a deadline passed before it did, whatever clocks show.
void checkDeadlines(const CheckInput& input, Violations& violations);
/// Lost engines do not multiply the load on the rest.
void checkRetryStorm(const CheckInput& input, Violations& violations);
void checkLiveness(const CheckInput& input, Violations& violations);

/// Runs every checker.
Violations checkAll(const CheckInput& input);

}  // namespace crankspur::sim
