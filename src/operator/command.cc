#include "operator/command.h"

#include <algorithm>

#include "base/endpoint.h"
#include "operator/admin_fetch.h"
#include "operator/bundle_commands.h"
#include "operator/explain.h"
#include "operator/node_status.h"

namespace crankspur {

namespace {

constexpr Duration kStatusInterval = std::chrono::milliseconds(250);

ExitCode usageError(Report& report, const std::string& reason) {
  return report.fail(ExitCode::Usage, "{}; see crankspurctl --help", reason);
}

bool isAddress(const std::string& address) {
  boost::system::error_code error;
  parseEndpoint(address, error);
  return !error;
}

/// @return the first address that is not an IP:port, in quotes, or an empty string.
std::string findInvalidAddress(const OperatorCommand& command) {
  if (!command.platform.empty() && !isAddress(command.platform)) {
    return "'" + command.platform + "'";
  }
  const auto invalid = std::find_if_not(command.nodes.begin(), command.nodes.end(), isAddress);
  return invalid == command.nodes.end() ? "" : "'" + *invalid + "'";
}

/// A command with the positional arguments that follow its name.
struct Invocation {
  const OperatorCommand& command;
  std::vector<std::string> arguments;
  Report& report;
};

ExitCode runKeygen(const Invocation& invocation) {
  if (invocation.command.out.empty()) {
    return usageError(invocation.report, "keygen needs --out=PREFIX");
  }
  return generateKeys(invocation.command.out, invocation.report);
}

ExitCode runCheck(const Invocation& invocation) {
  return checkBundle(invocation.arguments[0], invocation.report);
}

ExitCode runSign(const Invocation& invocation) {
  if (invocation.command.key.empty()) {
    return usageError(invocation.report, "bundle sign needs --key=FILE");
  }
  return signBundleFile(invocation.arguments[0], invocation.command.key, invocation.report);
}

ExitCode runApprove(const Invocation& invocation) {
  if (invocation.command.key.empty()) {
    return usageError(invocation.report, "bundle approve needs --key=FILE");
  }
  return approveBundleFile(invocation.arguments[0], invocation.command.key, invocation.command.trusted_keys,
                           invocation.report);
}

ExitCode runDiff(const Invocation& invocation) {
  return diffBundleFiles(invocation.arguments[0], invocation.arguments[1], invocation.report);
}

ExitCode runRoll(const Invocation& invocation) {
  const OperatorCommand& command = invocation.command;
  if (command.platform.empty()) {
    return usageError(invocation.report, "bundle roll needs --platform=IP:PORT");
  }
  if (command.trusted_keys.authors.empty() || command.trusted_keys.approvers.empty()) {
    return usageError(invocation.report, "bundle roll needs --author_keys and --approver_keys");
  }
  const auto platform = makeHttpPlatformPort(command.platform);
  return rollBundleFile(invocation.arguments[0], command.trusted_keys, command.rolled_by, *platform,
                        invocation.report);
}

ExitCode runBundleStatus(const Invocation& invocation) {
  const OperatorCommand& command = invocation.command;
  if (command.platform.empty()) {
    return usageError(invocation.report, "bundle status needs --platform=IP:PORT");
  }
  const auto platform = makeHttpPlatformPort(command.platform);
  const SteadyClock clock;
  const TimePoint end = clock.now() + command.wait;
  while (true) {
    Report report;
    const auto responses = fetchFromAll(command.nodes, "/status", command.timeout);
    const ExitCode code = printBundleStatus(*platform, responses, report);
    if (code == ExitCode::Ok || clock.now() + kStatusInterval > end) {
      invocation.report.output += report.output;
      invocation.report.errors += report.errors;
      return code;
    }
    platform->sleepFor(kStatusInterval);
  }
}

ExitCode runStatus(const Invocation& invocation) {
  const OperatorCommand& command = invocation.command;
  if (command.nodes.empty()) {
    return usageError(invocation.report, "status needs --nodes=IP:PORT,...");
  }
  return printNodeStatus(fetchFromAll(command.nodes, "/status", command.timeout), invocation.report);
}

ExitCode runExplain(const Invocation& invocation) {
  const OperatorCommand& command = invocation.command;
  if (command.nodes.empty()) {
    return usageError(invocation.report, "explain needs --routers=IP:PORT,...");
  }
  const std::string& request_id = invocation.arguments[0];
  const auto responses = fetchFromAll(command.nodes, explainTarget(request_id), command.timeout);
  return printExplanation(request_id, responses, invocation.report);
}

/// Name, number of positional arguments and function of a command.
struct CommandEntry {
  std::vector<std::string> name;
  std::size_t arguments;
  ExitCode (*run)(const Invocation&);
};

const std::vector<CommandEntry>& commandEntries() {
  static const std::vector<CommandEntry> entries = {
      {{"keygen"}, 0, runKeygen},
      {{"bundle", "check"}, 1, runCheck},
      {{"bundle", "sign"}, 1, runSign},
      {{"bundle", "approve"}, 1, runApprove},
      {{"bundle", "diff"}, 2, runDiff},
      {{"bundle", "roll"}, 1, runRoll},
      {{"bundle", "status"}, 0, runBundleStatus},
      {{"status"}, 0, runStatus},
      {{"explain"}, 1, runExplain},
  };
  return entries;
}

bool startsWith(const std::vector<std::string>& positional, const std::vector<std::string>& name) {
  return positional.size() >= name.size() && std::equal(name.begin(), name.end(), positional.begin());
}

}  // namespace

ExitCode runOperatorCommand(const OperatorCommand& command, Report& report) {
  const std::string invalid_address = findInvalidAddress(command);
  if (!invalid_address.empty()) {
    return usageError(report, fmt::format("{} is no IP:port", invalid_address));
  }
  for (const CommandEntry& entry : commandEntries()) {
    if (!startsWith(command.positional, entry.name)) {
      continue;
    }
    const std::vector<std::string> arguments(
        command.positional.begin() + static_cast<std::ptrdiff_t>(entry.name.size()),
        command.positional.end());
    if (arguments.size() != entry.arguments) {
      return usageError(report, fmt::format("{} takes {} arguments, not {}", fmt::join(entry.name, " "),
                                            entry.arguments, arguments.size()));
    }
    return entry.run({command, arguments, report});
  }
  return usageError(report, command.positional.empty()
                                ? "a command is missing"
                                : fmt::format("'{}' is no command", command.positional[0]));
}

std::string operatorHelp() {
  return R"(crankspurctl: commands of crankspur's operators

  keygen --out=PREFIX                  write PREFIX.key (private) and PREFIX.pub; print the public key
  bundle check FILE                    check every field; print each problem with its place
  bundle diff OLD NEW                  print what changes
  bundle sign FILE --key=FILE          sign as author; writes FILE.author.sig
  bundle approve FILE --key=FILE       sign off as approver, with another key; writes FILE.approver.sig
      [--author_keys=KEY,...]            refuse unless one of these authors signed
  bundle roll FILE --platform=IP:PORT  accept the version; it must be the accepted one plus one
      --author_keys=KEY,... --approver_keys=KEY,...   public keys that the nodes trust
      [--operator=NAME]                  name recorded as the operator of the roll; default: $USER
  bundle status --platform=IP:PORT     print the accepted version and the one that each node holds
      [--routers=IP:ADMINPORT,...] [--wait_s=SECONDS]   wait until every node holds it
  status --nodes=IP:ADMINPORT,...      print a line for each router or sidecar
  explain REQUEST_ID --routers=IP:ADMINPORT,...   print why a request ran where it did

  --timeout_s=SECONDS  for each node's answer      --help  this text      --version

Exit codes: 0 done; 1 refused, nothing changed (bundle status: a node does not hold the version yet);
2 wrong command line or unusable file; 3 platform or node did not answer, nothing changed; 4 no answer, the
change may have taken effect: look with bundle status.
)";
}

}  // namespace crankspur
