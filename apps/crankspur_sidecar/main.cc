/// @file The caller-side process: serves chat completions over HTTP and sends each request to a router.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <fmt/format.h>

#include <optional>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "sidecar/sidecar_process.h"
#include "sidecar/sidecar_settings.h"

ABSL_FLAG(std::string, settings, "", "TOML settings file; flags override it");
ABSL_FLAG(std::string, name, "", "name of this sidecar, unique in the fleet");
ABSL_FLAG(std::string, zone, "", "zone this sidecar is in");
ABSL_FLAG(std::string, region, "", "region this sidecar is in");
ABSL_FLAG(std::string, listen, "", "IP:port for callers; port 0 lets the system choose");
ABSL_FLAG(std::string, admin, "", "IP:port for health, metrics and status");
ABSL_FLAG(std::vector<std::string>, routers, {}, "comma-separated IP:port of routers to begin with");
ABSL_FLAG(std::string, platform, "", "IP:port of the machine list; empty: none");
ABSL_FLAG(std::vector<std::string>, author_keys, {}, "comma-separated base64 Ed25519 keys of bundle authors");
ABSL_FLAG(std::vector<std::string>, approver_keys, {},
          "comma-separated base64 Ed25519 keys of bundle approvers");
ABSL_FLAG(std::string, log_format, "", "key_value or json");

namespace {

using namespace crankspur;

void overrideText(std::string& value, const std::string& flag) {
  if (!flag.empty()) value = flag;
}

void overrideList(std::vector<std::string>& value, const std::vector<std::string>& flag) {
  if (!flag.empty()) value = flag;
}

/// @return false when the flags are wrong.
bool applyFlags(SidecarSettings& settings, EventLog& log) {
  overrideText(settings.name, absl::GetFlag(FLAGS_name));
  overrideText(settings.zone, absl::GetFlag(FLAGS_zone));
  overrideText(settings.region, absl::GetFlag(FLAGS_region));
  overrideText(settings.listen, absl::GetFlag(FLAGS_listen));
  overrideText(settings.admin, absl::GetFlag(FLAGS_admin));
  overrideText(settings.platform, absl::GetFlag(FLAGS_platform));
  overrideList(settings.routers, absl::GetFlag(FLAGS_routers));
  overrideList(settings.trusted_keys.authors, absl::GetFlag(FLAGS_author_keys));
  overrideList(settings.trusted_keys.approvers, absl::GetFlag(FLAGS_approver_keys));
  const std::string format = absl::GetFlag(FLAGS_log_format);
  if (format == "json") {
    settings.log_format = LogFormat::Json;
  } else if (format == "key_value") {
    settings.log_format = LogFormat::KeyValue;
  } else if (!format.empty()) {
    log.write(EventId::SettingsRefused, {{"key", "--log_format"}, {"reason", "must be key_value or json"}});
    return false;
  }
  return true;
}

/// @return the settings, or empty after logging what is wrong.
std::optional<SidecarSettings> loadSettings(EventLog& log) {
  SidecarSettings settings;
  const std::string path = absl::GetFlag(FLAGS_settings);
  if (!path.empty()) {
    const std::optional<std::string> text = readFile(path);
    if (!text) {
      log.write(EventId::SettingsRefused, {{"file", path}, {"reason", "cannot be read"}});
      return std::nullopt;
    }
    std::vector<SettingsProblem> problems;
    settings = readSidecarSettings(*text, path, problems);
    for (const SettingsProblem& problem : problems) {
      log.write(
          EventId::SettingsRefused,
          {{"file", problem.file}, {"line", problem.line}, {"key", problem.key}, {"reason", problem.reason}});
    }
    if (!problems.empty()) return std::nullopt;
  }
  if (!applyFlags(settings, log)) return std::nullopt;
  const std::string reason = checkSidecarSettings(settings);
  if (!reason.empty()) {
    log.write(EventId::SettingsRefused, {{"file", path}, {"reason", reason}});
    return std::nullopt;
  }
  return settings;
}

}  // namespace

int main(int argc, char** argv) {
  absl::FlagsUsageConfig usage;
  usage.version_string = [] { return std::string("crankspur_sidecar ") + CRANKSPUR_VERSION + "\n"; };
  absl::SetFlagsUsageConfig(usage);
  absl::SetProgramUsageMessage(
      "Runs beside a caller: serves chat completions and operations over HTTP and sends them to routers. "
      "Prints "
      "\"listening PORT admin PORT\" when it serves. SIGTERM finishes requests in flight.\n"
      "Exit status: 0 stopped, 2 settings or flags wrong, 3 cannot listen.");
  absl::ParseCommandLine(argc, argv);

  StderrEventLog start_log("crankspur_sidecar", LogFormat::KeyValue, LogLevel::Info);
  std::optional<SidecarSettings> settings = loadSettings(start_log);
  if (!settings) return kExitSettings;
  StderrEventLog log(settings->name, settings->log_format, settings->log_level);
  return makeSidecarProcess(std::move(*settings), log)->run();
}
