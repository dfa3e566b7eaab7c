#pragma once
/// @file The subcommand `crankspur_sim experiment`.

#include <string>
#include <vector>

namespace crankspur::experiment {

/// Runs the experiment that the arguments and flags describe and prints its table.
/// @param arguments words after the subcommand's name, flags excluded.
/// @return the process's exit status.
int runExperimentCommand(const std::vector<std::string>& arguments);

}  // namespace crankspur::experiment
