/// @file crankspur_sim: simulations and experiments on a virtual clock.

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>
#include <string>
#include <vector>

#include "sim/experiment/command.h"

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("crankspur_sim experiment [flags]: compare placement policies");
  const std::vector<char*> words = absl::ParseCommandLine(argc, argv);
  if (words.size() < 2) {
    std::cerr << absl::ProgramUsageMessage() << '\n';
    return 2;
  }
  const std::string command = words[1];
  const std::vector<std::string> arguments(words.begin() + 2, words.end());
  if (command == "experiment") return crankspur::experiment::runExperimentCommand(arguments);
  std::cerr << "crankspur_sim: unknown command " << command << '\n';
  return 2;
}
