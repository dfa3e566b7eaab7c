/// @file The router process: dispatches requests to engines and streams the responses to sidecars.

#include <absl/flags/flag.h>

#include "base/event_log.h"
#include "command_line/command_line.h"
#include "node_settings/node_flags.h"
#include "router_process/router_process.h"
#include "router_process/router_settings.h"

ABSL_FLAG(std::vector<std::string>, peers, {}, "routers to connect to at start: IP:port, comma-separated");
ABSL_FLAG(int, machine_list_interval_ms, 0,
          "interval between reads of the machine list; 0: value of the settings file");
ABSL_FLAG(int, bundle_row_interval_ms, 0,
          "interval between reads of the accepted bundle's row; 0: value of the settings file");
ABSL_FLAG(int, traffic_threads, 0, "number of traffic threads; 0: value of the settings file");

namespace {

using namespace crankspur;

void overrideInterval(Duration& value, int milliseconds) {
  if (milliseconds > 0) value = std::chrono::milliseconds(milliseconds);
}

void applyFlags(RouterSettings& settings) {
  overrideIfSet(settings.peers, absl::GetFlag(FLAGS_peers));
  overrideInterval(settings.machine_list_interval, absl::GetFlag(FLAGS_machine_list_interval_ms));
  overrideInterval(settings.bundle_row_interval, absl::GetFlag(FLAGS_bundle_row_interval_ms));
  const int threads = absl::GetFlag(FLAGS_traffic_threads);
  if (threads > 0) settings.traffic_threads = static_cast<std::uint32_t>(threads);
}

}  // namespace

int main(int argc, char** argv) {
  parseCommandLine(
      "crankspur_router",
      "Dispatches language-model requests to engines. Settings are read from --settings FILE; flags override "
      "them. Prints \"listening PORT admin PORT\". SIGTERM stops it after all requests in flight have "
      "finished. Exit codes: 0 stopped, 2 invalid settings, 3 a port cannot be bound.",
      argc, argv);
  StderrEventLog startup_log("crankspur_router", LogFormat::KeyValue, LogLevel::Info);
  const auto settings =
      loadSettings<RouterSettings>({readRouterSettings, applyFlags, checkRouterSettings}, startup_log);
  if (!settings) return kRouterExitSettings;
  StderrEventLog log(settings->name, settings->log_format, settings->log_level);
  return makeRouterProcess(*settings, log)->run();
}
