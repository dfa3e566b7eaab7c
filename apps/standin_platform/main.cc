/// @file Stand-in for the platform: table service, object store, weight store and machine list on one port.

#include <absl/flags/flag.h>
#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <optional>

#include "base/event_log.h"
#include "command_line/command_line.h"
#include "node_settings/node_settings.h"
#include "standins/platform/machine_file.h"
#include "standins/platform/platform_server.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:port to listen on; port 0 lets the system choose");
ABSL_FLAG(std::string, machines, "", "TOML file with [[machines]]: name, role, pool, address, zone, region");
ABSL_FLAG(double, machine_list_lag_ms, 2000, "delay until a change of a machine is listed");
ABSL_FLAG(double, table_rate, 500, "table service calls per second");
ABSL_FLAG(double, objects_rate, 200, "object store calls per second");
ABSL_FLAG(double, weights_rate, 20, "weight store calls per second");
ABSL_FLAG(double, machines_rate, 100, "machine list calls per second");
ABSL_FLAG(std::uint64_t, weights_bytes, 14'000'000'000, "size of each model's weights");
ABSL_FLAG(double, weights_bytes_per_second, 2e9, "speed of a single transfer");
ABSL_FLAG(std::uint32_t, full_speed_weight_loads, 3, "concurrent transfers that run at full speed");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random choice of lost responses");

namespace {

using namespace crankspur;
using namespace crankspur::standin;

constexpr int kExitUsage = 2;
constexpr int kExitCannotListen = 3;

/// @return a limit whose burst is the calls of one second.
RateLimit rateLimit(double per_second) {
  return {per_second, std::max(1.0, per_second)};
}

PlatformOptions optionsFromFlags() {
  PlatformOptions options;
  options.limits = {rateLimit(absl::GetFlag(FLAGS_table_rate)), rateLimit(absl::GetFlag(FLAGS_objects_rate)),
                    rateLimit(absl::GetFlag(FLAGS_weights_rate)),
                    rateLimit(absl::GetFlag(FLAGS_machines_rate))};
  options.machine_list_lag =
      Duration(static_cast<std::int64_t>(absl::GetFlag(FLAGS_machine_list_lag_ms) * 1000));
  options.weights_bytes = absl::GetFlag(FLAGS_weights_bytes);
  options.weights_bytes_per_second = absl::GetFlag(FLAGS_weights_bytes_per_second);
  options.full_speed_weight_loads = absl::GetFlag(FLAGS_full_speed_weight_loads);
  return options;
}

/// @return whether all numbers given as flags are valid.
bool isValid(const PlatformOptions& options) {
  const auto is_positive = [](const RateLimit& limit) { return limit.per_second > 0; };
  return std::all_of(options.limits.begin(), options.limits.end(), is_positive) &&
         options.machine_list_lag >= Duration{0} && options.weights_bytes_per_second > 0 &&
         options.full_speed_weight_loads > 0;
}

/// @return the machines of the file, or empty after logging the problems.
std::optional<std::vector<Machine>> readMachines(const std::string& path, EventLog& log) {
  if (path.empty()) {
    return std::vector<Machine>{};
  }
  const std::optional<std::string> text = readFile(path);
  if (!text) {
    log.write(EventId::SettingsRefused, {{"file", path}, {"reason", "cannot be read"}});
    return std::nullopt;
  }
  std::vector<SettingsProblem> problems;
  std::vector<Machine> machines = parseMachineFile(*text, path, problems);
  logSettingsProblems(problems, log);
  if (!problems.empty()) {
    return std::nullopt;
  }
  return machines;
}

}  // namespace

int main(int argc, char** argv) {
  parseCommandLine(
      "standin_platform",
      "Stands in for the platform in tests: transactional table, objects, weights and machine list over "
      "HTTP. Prints \"listening PORT\". POST /control sets modes, rates and machines.",
      argc, argv);

  StderrEventLog log("standin_platform", LogFormat::KeyValue, LogLevel::Info);
  const PlatformOptions options = optionsFromFlags();
  if (!isValid(options)) {
    log.write(EventId::SettingsRefused, {{"reason", "rates and speeds must be above 0"}});
    return kExitUsage;
  }
  std::optional<std::vector<Machine>> machines = readMachines(absl::GetFlag(FLAGS_machines), log);
  if (!machines) {
    return kExitUsage;
  }

  boost::asio::io_context context(1);
  SteadyClock clock;
  PlatformModel model(options, absl::GetFlag(FLAGS_seed));
  model.setInitialMachines(std::move(*machines));
  PlatformServer server(context.get_executor(), model, clock);
  if (const std::error_code error = server.start(absl::GetFlag(FLAGS_listen))) {
    log.write(EventId::SettingsRefused,
              {{"key", "listen"}, {"value", absl::GetFlag(FLAGS_listen)}, {"reason", error.message()}});
    return kExitCannotListen;
  }
  fmt::print("listening {}\n", server.port());
  std::fflush(stdout);

  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
  context.run();
  return 0;
}
