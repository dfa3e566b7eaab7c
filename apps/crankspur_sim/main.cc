/// @file crankspur_sim: simulations and experiments on a virtual clock.

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

/// The flag library ends the process with status 1 for a wrong flag, which here means "violations found": so
/// flags of the form --name=value are checked before it reads them.
/// @return what is wrong with the argument, or an empty string.
std::string flagProblem(const std::string& argument) {
  if (argument.substr(0, 2) != "--" || argument.size() == 2) return "";
  const std::string body = argument.substr(2);
  const std::size_t equals = body.find('=');
  const std::string name = body.substr(0, equals);
  absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
  if (flag == nullptr) {
    const bool negated = name.substr(0, 2) == "no" && absl::FindCommandLineFlag(name.substr(2)) != nullptr;
    return negated ? "" : "unknown flag --" + name;
  }
  std::string error;
  if (equals == std::string::npos || flag->ParseFrom(body.substr(equals + 1), &error)) return "";
  return "bad value of --" + name + ": " + error;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "crankspur_sim check [flags]: prove what must always hold under failures\n"
      "crankspur_sim experiment [flags]: compare placement policies");
  for (int index = 1; index < argc; ++index) {
    const std::string problem = flagProblem(argv[index]);
    if (problem.empty()) continue;
    std::cerr << "crankspur_sim: " << problem << '\n';
    return kUsageError;
  }
  const std::vector<char*> words = absl::ParseCommandLine(argc, argv);
  if (words.size() < 2) {
    std::cerr << absl::ProgramUsageMessage() << '\n';
    return kUsageError;
  }
  const std::string command = words[1];
  const std::vector<std::string> arguments(words.begin() + 2, words.end());
  if (command == "check") return crankspur::sim::runCheckCommand(arguments);
  if (command == "experiment") return crankspur::experiment::runExperimentCommand(arguments);
  std::cerr << "crankspur_sim: unknown command " << command << '\n';
  return kUsageError;
}
