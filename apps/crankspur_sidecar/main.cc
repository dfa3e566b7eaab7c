/// @file The sidecar process: serves chat completions over HTTP to a caller and sends each request to a
/// router.

#include <absl/flags/flag.h>

#include "base/event_log.h"
#include "command_line/command_line.h"
#include "node_settings/node_flags.h"
#include "sidecar/sidecar_process.h"
#include "sidecar/sidecar_settings.h"

ABSL_FLAG(std::vector<std::string>, routers, {}, "routers to connect to at start: IP:port, comma-separated");

namespace {

using namespace crankspur;

void applyFlags(SidecarSettings& settings) {
  overrideIfSet(settings.routers, absl::GetFlag(FLAGS_routers));
}

}  // namespace

int main(int argc, char** argv) {
  parseCommandLine(
      "crankspur_sidecar",
      "Runs beside a caller: serves chat completions and operations over HTTP and sends them to "
      "routers. Prints "
      "\"listening PORT admin PORT\" when it is ready. SIGTERM stops it after the requests in flight.\n"
      "Exit codes: 0 stopped, 2 invalid settings or flags, 3 a port cannot be bound.",
      argc, argv);
  StderrEventLog startup_log("crankspur_sidecar", LogFormat::KeyValue, LogLevel::Info);
  const auto settings =
      loadSettings<SidecarSettings>({readSidecarSettings, applyFlags, checkSidecarSettings}, startup_log);
  if (!settings) return kExitSettings;
  StderrEventLog log(settings->name, settings->log_format, settings->log_level);
  return makeSidecarProcess(*settings, log)->run();
}
