/// @file The fault proxy process: a TCP proxy that delays, freezes and cuts connections in tests.

#include <absl/flags/flag.h>
#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>

#include "base/event_log.h"
#include "command_line/command_line.h"
#include "standins/fault_proxy/fault_proxy.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:port that the route named \"default\" listens on");
ABSL_FLAG(std::string, target, "", "IP:port of the server of the route named \"default\"");
ABSL_FLAG(std::vector<std::string>, routes, {},
          "additional routes: NAME=LISTEN_PORT:IP:PORT, comma-separated");
ABSL_FLAG(std::string, control, "127.0.0.1:0", "IP:port of the control port");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random connection cuts");

namespace {

using namespace crankspur;
using namespace crankspur::standin;

constexpr int kExitUsage = 2;
constexpr int kExitCannotListen = 3;

std::vector<RouteOptions> routesFromFlags() {
  std::vector<RouteOptions> routes;
  const std::string target = absl::GetFlag(FLAGS_target);
  if (!target.empty()) routes.push_back({"default", absl::GetFlag(FLAGS_listen), target});
  for (const std::string& text : absl::GetFlag(FLAGS_routes)) routes.push_back(parseRoute(text));
  return routes;
}

void printPorts(const FaultProxy& proxy, const std::vector<RouteOptions>& routes) {
  const std::vector<std::uint16_t> ports = proxy.ports();
  std::string line = fmt::format("listening {} control {}", ports.front(), proxy.controlPort());
  for (std::size_t index = 0; index < routes.size(); ++index) {
    line += fmt::format(" {}={}", routes[index].name, ports[index]);
  }
  fmt::print("{}\n", line);
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  parseCommandLine(
      "fault_proxy",
      "Forwards TCP connections and injects faults into them. Prints \"listening PORT control PORT "
      "NAME=PORT...\". "
      "POST /control on the control port accepts JSON: route, cut_now, reset, delay_to_server_ms, "
      "delay_to_client_ms, refuse, freeze, swallow_answers, cut_after_bytes_to_client, bytes_per_second, "
      "cut_chance. GET /status returns the routes.",
      argc, argv);

  StderrEventLog log("fault_proxy", LogFormat::KeyValue, LogLevel::Info);
  const std::vector<RouteOptions> routes = routesFromFlags();
  if (routes.empty()) {
    log.write(EventId::SettingsRefused, {{"key", "target"}, {"reason", "--target or --routes is required"}});
    return kExitUsage;
  }
  boost::asio::io_context context(1);
  FaultProxy proxy(context.get_executor(), absl::GetFlag(FLAGS_seed));
  for (const RouteOptions& route : routes) {
    const std::error_code error = proxy.addRoute(route);
    if (!error) continue;
    log.write(EventId::SettingsRefused, {{"key", route.name}, {"reason", error.message()}});
    return kExitCannotListen;
  }
  if (const std::error_code error = proxy.listenControl(absl::GetFlag(FLAGS_control))) {
    log.write(EventId::SettingsRefused, {{"key", "control"}, {"reason", error.message()}});
    return kExitCannotListen;
  }
  printPorts(proxy, routes);

  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
  context.run();
  return 0;
}
