#pragma once
/// @file One seeded simulation run: site, faults, callers, checkers.

#include <string>
#include <vector>

#include "sim/world/run_result.h"

namespace crankspur::sim {

/// @return names of all scenarios:
/// - "quiet": no fault;
/// - the name of a fault: only that fault;
/// - "pair" and "wider_pair": two faults selected by the seed, see kFirstWiderPairKind;
/// - "large": one fault selected by the seed, at the large site;
/// - scenarios that no seed selects and that run only with --scenario: the hour-long table outage and the
///   scenarios of gateway fleets.
std::vector<std::string> scenarioNames();
/// Runs `options.scenario`, or the scenario that the seed selects when it is empty, and checks the result.
RunResult run(const RunOptions& options);

}  // namespace crankspur::sim
