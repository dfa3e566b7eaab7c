/// @file Stand-in for an application runner. Prints "listening PORT"; SIGTERM stops it after the work in
/// flight.

#include <absl/flags/flag.h>
#include <fmt/format.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>

#include "base/event_log.h"
#include "base/hash.h"
#include "command_line/command_line.h"
#include "standins/app_runner/app_runner_server.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:port to listen on; port 0 lets the system choose");
ABSL_FLAG(std::string, name, "runner", "name that the runner reports");
ABSL_FLAG(std::vector<std::string>, operations, (std::vector<std::string>{"order", "booking"}),
          "operations it executes, comma-separated");
ABSL_FLAG(double, delay_ms, 20, "time from the arrival of a call to its effect and response");
ABSL_FLAG(double, lose_request_probability, 0, "probability that a call is cut off before it runs");
ABSL_FLAG(double, lose_answer_probability, 0, "probability that a call runs and its response is lost");
ABSL_FLAG(std::uint64_t, seed, 0,
          "seed of the incarnation and of faults; 0: derived from the time and process id");

namespace {

using namespace crankspur;
using namespace crankspur::standin;

constexpr int kExitUsage = 2;
constexpr int kExitCannotListen = 3;

AppRunnerOptions optionsFromFlags() {
  AppRunnerOptions options;
  options.name = absl::GetFlag(FLAGS_name);
  options.operations = absl::GetFlag(FLAGS_operations);
  options.delay = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(absl::GetFlag(FLAGS_delay_ms)));
  options.lose_request_probability = absl::GetFlag(FLAGS_lose_request_probability);
  options.lose_answer_probability = absl::GetFlag(FLAGS_lose_answer_probability);
  return options;
}

bool isValid(const AppRunnerOptions& options) {
  const auto is_probability = [](double value) { return value >= 0 && value <= 1; };
  return options.delay >= Duration{0} && is_probability(options.lose_request_probability) &&
         is_probability(options.lose_answer_probability);
}

std::uint64_t seedFromFlags() {
  const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
  if (seed != 0) return seed;
  const auto now = std::chrono::system_clock::now().time_since_epoch().count();
  return combineHashes(static_cast<std::uint64_t>(now), static_cast<std::uint64_t>(::getpid()));
}

}  // namespace

int main(int argc, char** argv) {
  parseCommandLine(
      "standin_app_runner",
      "Stands in for an application runner in tests; does not deduplicate. Prints \"listening PORT\". GET "
      "/v1/executions returns counts; POST /control sets delay_ms, lose_answers, lose_requests and action.",
      argc, argv);

  StderrEventLog log("standin_app_runner", LogFormat::KeyValue, LogLevel::Info);
  const AppRunnerOptions options = optionsFromFlags();
  if (!isValid(options)) {
    log.write(EventId::SettingsRefused,
              {{"reason", "delay_ms must be at least 0 and probabilities must be from 0 to 1"}});
    return kExitUsage;
  }
  boost::asio::io_context context(1);
  SteadyClock clock;
  AppRunnerModel model(options, seedFromFlags());
  AppRunnerServer server(context.get_executor(), model, clock);
  if (const std::error_code error = server.start(absl::GetFlag(FLAGS_listen))) {
    log.write(EventId::SettingsRefused,
              {{"key", "listen"}, {"value", absl::GetFlag(FLAGS_listen)}, {"reason", error.message()}});
    return kExitCannotListen;
  }
  fmt::print("listening {}\n", server.port());
  std::fflush(stdout);

  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](const boost::system::error_code&, int) {
    log.write(EventId::ProcessStopping, {{"in_flight", model.inFlight()}});
    server.stop([&context] { context.stop(); });
  });
  context.run();
  log.write(EventId::ProcessStopped, {});
  return 0;
}
