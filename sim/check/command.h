#pragma once
/// @file The subcommand `crankspur_sim check`.

#include <string>
#include <vector>

namespace crankspur::sim {

/// Runs the seeds selected by the flags and prints violations and a summary, whose last line is
/// "violations: V in M runs".
/// @param arguments positional arguments after the subcommand's name.
/// @return 0 without violations, 1 with violations, 2 on a usage error.
int runCheckCommand(const std::vector<std::string>& arguments);

}  // namespace crankspur::sim
