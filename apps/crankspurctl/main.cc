/// @file Command line of crankspur's operators.

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

ABSL_FLAG(std::string, key, "", "file of the private key that signs");
ABSL_FLAG(std::string, out, "", "prefix of the files that keygen writes");
ABSL_FLAG(std::string, platform, "", "IP:port of the platform");
ABSL_FLAG(std::vector<std::string>, routers, {}, "comma-separated IP:port of routers' admin ports");
ABSL_FLAG(std::vector<std::string>, nodes, {}, "comma-separated IP:port of nodes' admin ports");
ABSL_FLAG(std::vector<std::string>, author_keys, {}, "comma-separated base64 public keys of authors");
ABSL_FLAG(std::vector<std::string>, approver_keys, {}, "comma-separated base64 public keys of approvers");
ABSL_FLAG(std::string, operator, "", "who rolls, as told to others; else the user's name");
ABSL_FLAG(double, timeout_s, 2, "seconds to wait for each node's answer");
ABSL_FLAG(double, wait_s, 0, "seconds to wait until every node holds the accepted bundle");

namespace {

using namespace crankspur;

int exitWith(ExitCode code) {
  return static_cast<int>(code);
}

/// @return what is wrong with a word that may be a flag; empty when nothing is. Abseil itself would end the
/// process with an exit code that means something else here.
std::string judgeFlag(std::string_view word) {
  if (!word.starts_with("--") || word == "--") {
    return "";
  }
  const std::string_view body = word.substr(2);
  const std::size_t equals = body.find('=');
  const std::string_view name = body.substr(0, equals);
  absl::CommandLineFlag* flag = absl::FindCommandLineFlag({name.data(), name.size()});
  if (flag == nullptr) {
    return fmt::format("--{} is no flag", name);
  }
  if (equals == std::string_view::npos) {
    return fmt::format("--{} needs a value: --{}=VALUE", name, name);
  }
  const std::string_view value = body.substr(equals + 1);
  std::string error;
  if (!flag->ParseFrom({value.data(), value.size()}, &error)) {
    return fmt::format("--{}: {}", name, error);
  }
  return "";
}

std::string userName() {
  std::string given = absl::GetFlag(FLAGS_operator);
  if (!given.empty()) {
    return given;
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
    const std::string_view word = argv[index];
    if (word == "--help" || word == "-h") {
      fmt::print("{}", operatorHelp());
      return exitWith(ExitCode::Ok);
    }
    if (word == "--version") {
      fmt::print("crankspurctl {}\n", CRANKSPUR_VERSION);
      return exitWith(ExitCode::Ok);
    }
    const std::string problem = judgeFlag(word);
    if (!problem.empty()) {
      fmt::print(stderr, "{}; see crankspurctl --help\n", problem);
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
