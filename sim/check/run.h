#pragma once
/// @file One seeded simulation run: site, faults, callers, checkers.

#include <string>
#include <vector>

#include "sim/world/run_result.h"

namespace crankspur::sim {

/// @return names of all scenarios: "quiet", each fault, "pair" and "wider_pair" (two faults selected by the
/// seed, see kFirstWiderPairKind), "large", and those that run only with --scenario: an hour-long table
/// outage and the gateway fleets.
std::vector<std::string> scenarioNames();
/// Runs the scenario of one seed and checks the result.
RunResult run(const RunOptions& options);

}  // namespace crankspur::sim
