/// @file The router: places requests on engines and streams their answers to sidecars.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include "base/event_log.h"
#include "router_process/router_process.h"
#include "router_process/router_settings.h"

ABSL_FLAG(std::string, settings, "", "settings file (TOML); see examples/router.toml");
ABSL_FLAG(std::string, name, "", "node name; overrides the file's name");
ABSL_FLAG(std::string, zone, "", "zone; overrides the file's zone");
ABSL_FLAG(std::string, region, "", "region; overrides the file's region");
ABSL_FLAG(std::string, listen, "", "IP:port for sidecars and routers; port 0 lets the system choose");
ABSL_FLAG(std::string, admin, "", "IP:port for /healthz, /metrics, /status and /explain");
ABSL_FLAG(std::string, platform, "", "IP:port of table service, object store and machine list");
ABSL_FLAG(std::vector<std::string>, peers, {}, "routers to connect to at start, IP:port, comma-separated");
ABSL_FLAG(std::vector<std::string>, author_keys, {},
          "public keys of bundle authors, base64, comma-separated");
ABSL_FLAG(std::vector<std::string>, approver_keys, {},
          "public keys of bundle approvers, base64, comma-separated");
ABSL_FLAG(std::string, log_format, "", "key_value or json; overrides the file's log_format");
ABSL_FLAG(int, machine_list_interval_ms, 0, "time between machine lists; 0 keeps the file's");
ABSL_FLAG(int, bundle_row_interval_ms, 0, "time between looks at the accepted bundle; 0 keeps the file's");
ABSL_FLAG(int, traffic_threads, 0, "traffic threads; 0 keeps the file's number");

namespace {

using namespace crankspur;

/// Puts a flag's value over the file's when the flag was given.
void override(std::string& value, const std::string& flag) {
  if (!flag.empty()) value = flag;
}

void overrideList(std::vector<std::string>& value, const std::vector<std::string>& flag) {
  if (!flag.empty()) value = flag;
}

void overrideInterval(Duration& value, int milliseconds) {
  if (milliseconds > 0) value = std::chrono::milliseconds(milliseconds);
}

void applyFlags(RouterSettings& settings) {
  override(settings.name, absl::GetFlag(FLAGS_name));
  override(settings.zone, absl::GetFlag(FLAGS_zone));
  override(settings.region, absl::GetFlag(FLAGS_region));
  override(settings.listen, absl::GetFlag(FLAGS_listen));
  override(settings.admin, absl::GetFlag(FLAGS_admin));
  override(settings.platform, absl::GetFlag(FLAGS_platform));
  overrideList(settings.peers, absl::GetFlag(FLAGS_peers));
  overrideList(settings.trusted_keys.authors, absl::GetFlag(FLAGS_author_keys));
  overrideList(settings.trusted_keys.approvers, absl::GetFlag(FLAGS_approver_keys));
  const std::string format = absl::GetFlag(FLAGS_log_format);
  if (!format.empty()) settings.log_format = format == "json" ? LogFormat::Json : LogFormat::KeyValue;
  overrideInterval(settings.machine_list_interval, absl::GetFlag(FLAGS_machine_list_interval_ms));
  overrideInterval(settings.bundle_row_interval, absl::GetFlag(FLAGS_bundle_row_interval_ms));
  const int threads = absl::GetFlag(FLAGS_traffic_threads);
  if (threads > 0) settings.traffic_threads = static_cast<std::uint32_t>(threads);
}

/// Reads the settings file when one was named.
/// @return false after logging every problem.
bool readSettings(RouterSettings& settings, EventLog& log) {
  const std::string path = absl::GetFlag(FLAGS_settings);
  if (path.empty()) return true;
  const std::optional<std::string> text = readFile(path);
  if (!text) {
    log.write(EventId::SettingsRefused, {{"file", path}, {"reason", "cannot be read"}});
    return false;
  }
  std::vector<SettingsProblem> problems;
  settings = readRouterSettings(*text, path, problems);
  for (const SettingsProblem& problem : problems) {
    log.write(
        EventId::SettingsRefused,
        {{"file", problem.file}, {"line", problem.line}, {"key", problem.key}, {"reason", problem.reason}});
  }
  return problems.empty();
}

}  // namespace

int main(int argc, char** argv) {
  absl::FlagsUsageConfig usage;
  usage.version_string = [] { return std::string("crankspur_router ") + CRANKSPUR_VERSION + "\n"; };
  absl::SetFlagsUsageConfig(usage);
  absl::SetProgramUsageMessage(
      "Places language-model requests on engines. Settings come from --settings FILE; flags override them. "
      "Prints \"listening PORT admin PORT\". SIGTERM stops it once everything in flight has ended. Exit "
      "codes: "
      "0 stopped, 2 wrong settings, 3 a port cannot be bound.");
  absl::ParseCommandLine(argc, argv);

  StderrEventLog startup_log("crankspur_router", LogFormat::KeyValue, LogLevel::Info);
  RouterSettings settings;
  if (!readSettings(settings, startup_log)) return kRouterExitSettings;
  applyFlags(settings);
  const std::string problem = checkRouterSettings(settings);
  if (!problem.empty()) {
    startup_log.write(EventId::SettingsRefused, {{"reason", problem}});
    return kRouterExitSettings;
  }
  StderrEventLog log(settings.name, settings.log_format, settings.log_level);
  return makeRouterProcess(settings, log)->run();
}
