#pragma once
/// @file The subcommand `crankspur_sim experiment`.

#include <string>
#include <vector>

namespace crankspur::experiment {

/// Runs the experiment selected by the flags and prints its result table.
/// @param arguments positional arguments after the subcommand's name.
/// @return the exit status of the process.
int runExperimentCommand(const std::vector<std::string>& arguments);

}  // namespace crankspur::experiment
