#pragma once
/// @file One seeded run: site, faults, callers, checkers.

#include <string>
#include <vector>

#include "sim/world/run_result.h"

namespace crankspur::sim {

/// @return names of all scenarios: "quiet", each fault, "pair" and "wider_pair" (two faults by the
/// seed, see kFirstWiderKind), "large", and those that only --scenario names: an hour's outage of the table
/// and a fleet of gateways.
std::vector<std::string> scenarioNames();
/// Runs one seed.
RunResult run(const RunOptions& options);

}  // namespace crankspur::sim
