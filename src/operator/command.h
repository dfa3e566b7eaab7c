#pragma once
/// @file Dispatch of crankspurctl's commands.

#include <string>
#include <vector>

#include "bundle/bundle.h"
#include "operator/report.h"

namespace crankspur {

/// The command line after parsing.
struct OperatorCommand {
  std::vector<std::string> words;  ///< For example {"bundle", "check", "FILE"}.
  std::string key;                 ///< Private key file.
  std::string out;                 ///< Prefix of the files that keygen writes.
  std::string platform;            ///< "IP:port".
  std::vector<std::string> nodes;  ///< Admin ports, "IP:port".
  TrustedKeys trusted_keys;
  std::string rolled_by;
  Duration timeout = std::chrono::seconds(2);  ///< For each node's answer.
  Duration wait{0};                            ///< bundle status: how long to wait for every node to hold.
};

/// Runs one command.
ExitCode runOperatorCommand(const OperatorCommand& command, Report& report);

/// @return what --help prints.
std::string operatorHelp();

}  // namespace crankspur
