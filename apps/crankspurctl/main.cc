/// @file The operators' command-line tool.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "operator/command.h"

ABSL_FLAG(std::string, key, "", "file with the private key to sign with");
ABSL_FLAG(std::string, out, "", "prefix of the files written by keygen");
ABSL_FLAG(std::string, platform, "", "IP:port of the platform");
ABSL_FLAG(std::vector<std::string>, routers, {}, "comma-separated IP:port of routers' admin ports");
ABSL_FLAG(std::vector<std::string>, nodes, {}, "comma-separated IP:port of nodes' admin ports");
ABSL_FLAG(std::vector<std::string>, author_keys, {}, "comma-separated base64 public keys of authors");
ABSL_FLAG(std::vector<std::string>, approver_keys, {}, "comma-separated base64 public keys of approvers");
ABSL_FLAG(std::string, operator, "", "name recorded as the operator of a roll; default: $USER");
ABSL_FLAG(double, timeout_s, 2, "seconds to wait for the response of each node");
ABSL_FLAG(double, wait_s, 0, "seconds to wait until all nodes have the accepted bundle");

namespace {

using namespace crankspur;

int exitWith(ExitCode code) {
  return static_cast<int>(code);
}

/// Validates a flag before Abseil parses it: on an invalid flag Abseil exits with status 1, which has another
/// meaning here.
/// @return the error; empty if `argument` is valid or not a flag.
std::string flagError(std::string_view argument) {
  if (!argument.starts_with("--") || argument == "--") {
    return "";
  }
  const std::string_view assignment = argument.substr(2);
  const std::size_t equals = assignment.find('=');
  const std::string_view name = assignment.substr(0, equals);
  absl::CommandLineFlag* flag = absl::FindCommandLineFlag({name.data(), name.size()});
  if (flag == nullptr) {
    return fmt::format("unknown flag --{}", name);
  }
  if (equals == std::string_view::npos) {
    return fmt::format("--{} requires a value: --{}=VALUE", name, name);
  }
  const std::string_view value = assignment.substr(equals + 1);
  std::string error;
  if (!flag->ParseFrom({value.data(), value.size()}, &error)) {
    return fmt::format("--{}: {}", name, error);
  }
  return "";
}

std::string userName() {
  std::string name = absl::GetFlag(FLAGS_operator);
  if (!name.empty()) {
    return name;
  }
  const char* user = std::getenv("USER");
  return user == nullptr ? "unknown" : user;
}

Duration fromSeconds(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

OperatorCommand readCommand(const std::vector<char*>& positional) {
  OperatorCommand command;
  command.positional.assign(positional.begin() + 1, positional.end());
  command.key = absl::GetFlag(FLAGS_key);
  command.out = absl::GetFlag(FLAGS_out);
  command.platform = absl::GetFlag(FLAGS_platform);
  command.nodes = absl::GetFlag(FLAGS_nodes);
  for (const std::string& router : absl::GetFlag(FLAGS_routers)) {
    command.nodes.push_back(router);
  }
  command.trusted_keys = {absl::GetFlag(FLAGS_author_keys), absl::GetFlag(FLAGS_approver_keys)};
  command.rolled_by = userName();
  command.timeout = fromSeconds(absl::GetFlag(FLAGS_timeout_s));
  command.wait = fromSeconds(absl::GetFlag(FLAGS_wait_s));
  return command;
}

}  // namespace

int main(int argc, char** argv) {
  for (int index = 1; index < argc; ++index) {
    const std::string_view argument = argv[index];
    if (argument == "--help" || argument == "-h") {
      fmt::print("{}", operatorHelp());
      return exitWith(ExitCode::Ok);
    }
    if (argument == "--version") {
      fmt::print("crankspurctl {}\n", CRANKSPUR_VERSION);
      return exitWith(ExitCode::Ok);
    }
    const std::string flag_error = flagError(argument);
    if (!flag_error.empty()) {
      fmt::print(stderr, "{}; see crankspurctl --help\n", flag_error);
      return exitWith(ExitCode::Usage);
    }
  }
  const std::vector<char*> positional = absl::ParseCommandLine(argc, argv);
  Report report;
  const ExitCode code = runOperatorCommand(readCommand(positional), report);
  fmt::print("{}", report.output);
  fmt::print(stderr, "{}", report.errors);
  return exitWith(code);
}
