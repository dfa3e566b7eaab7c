/// @file crankspur_sim: checks and experiments in a simulation with a virtual clock.

#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>

#include <iostream>
#include <string>
#include <vector>

#include "sim/check/command.h"
#include "sim/experiment/command.h"

namespace {

constexpr int kUsageError = 2;

/// Validates an argument of the form --name=value before Abseil parses it: on an invalid flag Abseil exits
/// with status 1, which this program uses for "violations found".
/// @return the error, or an empty string.
std::string flagError(const std::string& argument) {
  if (argument.substr(0, 2) != "--" || argument.size() == 2) return "";
  const std::string assignment = argument.substr(2);
  const std::size_t equals = assignment.find('=');
  const std::string name = assignment.substr(0, equals);
  absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
  if (flag == nullptr) {
    const bool negated = name.substr(0, 2) == "no" && absl::FindCommandLineFlag(name.substr(2)) != nullptr;
    return negated ? "" : "unknown flag --" + name;
  }
  std::string error;
  if (equals == std::string::npos || flag->ParseFrom(assignment.substr(equals + 1), &error)) return "";
  return "bad value of --" + name + ": " + error;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "crankspur_sim check [flags]: check invariants under injected failures\n"
      "crankspur_sim experiment [flags]: compare placement policies");
  for (int index = 1; index < argc; ++index) {
    const std::string flag_error = flagError(argv[index]);
    if (flag_error.empty()) continue;
    std::cerr << "crankspur_sim: " << flag_error << '\n';
    return kUsageError;
  }
  const std::vector<char*> positional = absl::ParseCommandLine(argc, argv);
  if (positional.size() < 2) {
    std::cerr << absl::ProgramUsageMessage() << '\n';
    return kUsageError;
  }
  const std::string command = positional[1];
  const std::vector<std::string> arguments(positional.begin() + 2, positional.end());
  if (command == "check") return crankspur::sim::runCheckCommand(arguments);
  if (command == "experiment") return crankspur::experiment::runExperimentCommand(arguments);
  std::cerr << "crankspur_sim: unknown command " << command << '\n';
  return kUsageError;
}
