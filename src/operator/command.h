#pragma once
/// @file Runs the commands of crankspurctl.

#include <string>
#include <vector>

#include "bundle/bundle.h"
#include "operator/report.h"

namespace crankspur {

/// The parsed command line.
struct OperatorCommand {
  std::vector<std::string> positional;  ///< For example {"bundle", "check", "FILE"}.
  std::string key;                      ///< Private key file.
  std::string out;                      ///< Prefix of the files that keygen writes.
  std::string platform;                 ///< "IP:port".
  std::vector<std::string> nodes;       ///< Admin ports, "IP:port".
  TrustedKeys trusted_keys;
  std::string rolled_by;
  Duration timeout = std::chrono::seconds(2);  ///< Limit for the response of each node.
  Duration wait{0};  ///< bundle status: maximum time to wait until every node holds the version.
};

/// Runs one command.
ExitCode runOperatorCommand(const OperatorCommand& command, Report& report);

/// @return the text of --help.
std::string operatorHelp();

}  // namespace crankspur
