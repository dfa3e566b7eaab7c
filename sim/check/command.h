#pragma once
/// @file The subcommand `crankspur_sim check`.

#include <string>
#include <vector>

namespace crankspur::sim {

/// Runs the seeds that the flags describe, prints violations and a summary; the last line is
/// "violations: V in M runs".
/// @param arguments words after the subcommand's name, flags excluded.
/// @return 0, or 1 when a run had a violation, or 2 for wrong usage.
int runCheckCommand(const std::vector<std::string>& arguments);

}  // namespace crankspur::sim
