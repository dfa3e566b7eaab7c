/// @file Stand-in for a model engine. Prints "listening PORT"; SIGTERM stops it after the work in flight.

#include <absl/flags/flag.h>
#include <fmt/format.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <optional>

#include "base/event_log.h"
#include "base/hash.h"
#include "command_line/command_line.h"
#include "json/json_reader.h"
#include "standins/engine_server/engine_codec.h"
#include "standins/engine_server/engine_server.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:port to listen on; port 0 lets the system choose");
ABSL_FLAG(std::string, name, "engine", "name that the engine reports");
ABSL_FLAG(std::string, role, "mixed", "reported role: mixed, prefill or decode");
ABSL_FLAG(std::string, models, "small:w1", "models loaded at start: model:weights[:adapter,...];...");
ABSL_FLAG(std::string, weight_store, "", "IP:port of the weight store; empty: loads take weights_load_ms");
ABSL_FLAG(std::string, kv_store, "",
          "IP:port of the KV store that computed blocks are published to; empty: none");
ABSL_FLAG(std::uint64_t, seed, 0,
          "seed of incarnations and event gaps; 0: derived from the time and process id");
ABSL_FLAG(double, prefill_tokens_per_second, 8000, "prefill speed");
ABSL_FLAG(std::uint32_t, prefill_chunk_tokens, 512, "tokens per prefill chunk");
ABSL_FLAG(double, prefill_chunk_base_ms, 5, "fixed cost of a prefill chunk");
ABSL_FLAG(double, decode_step_ms, 20, "decode step with an empty batch");
ABSL_FLAG(double, decode_step_per_request_ms, 0.4, "increase of the decode step per request in the batch");
ABSL_FLAG(double, decode_slowdown_while_prefilling, 1.5, "factor on the decode step during a prefill");
ABSL_FLAG(double, import_tokens_per_second, 100'000, "speed of KV import");
ABSL_FLAG(double, import_latency_ms, 5, "fixed cost of a KV import");
ABSL_FLAG(std::uint32_t, batch_limit, 32, "maximum number of running requests");
ABSL_FLAG(std::uint32_t, cache_blocks, 6000, "memory of running requests and cached prefixes, in blocks");
ABSL_FLAG(std::uint32_t, queue_tokens, 40'000, "maximum number of queued prompt tokens");
ABSL_FLAG(std::uint32_t, queue_requests, 256, "maximum number of queued requests");
ABSL_FLAG(double, event_gap_probability, 0, "probability that a cache event is lost");
ABSL_FLAG(double, event_delay_ms, 200, "age of a cache event when it becomes visible to readers");
ABSL_FLAG(double, load_lag_ms, 100, "age of the reported load");
ABSL_FLAG(double, weights_load_ms, 8000, "time to load weights without a weight store");
ABSL_FLAG(double, adapter_load_ms, 1000, "time to load an adapter");

namespace {

using namespace crankspur;
using namespace crankspur::standin;

constexpr int kExitUsage = 2;
constexpr int kExitCannotListen = 3;

Duration milliseconds(double value) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

EngineTimings timingsFromFlags() {
  EngineTimings timings;
  timings.prefill_tokens_per_second = absl::GetFlag(FLAGS_prefill_tokens_per_second);
  timings.prefill_chunk_tokens = absl::GetFlag(FLAGS_prefill_chunk_tokens);
  timings.prefill_chunk_base = milliseconds(absl::GetFlag(FLAGS_prefill_chunk_base_ms));
  timings.decode_step_base = milliseconds(absl::GetFlag(FLAGS_decode_step_ms));
  timings.decode_step_per_request = milliseconds(absl::GetFlag(FLAGS_decode_step_per_request_ms));
  timings.decode_slowdown_while_prefilling = absl::GetFlag(FLAGS_decode_slowdown_while_prefilling);
  timings.import_tokens_per_second = absl::GetFlag(FLAGS_import_tokens_per_second);
  timings.import_latency = milliseconds(absl::GetFlag(FLAGS_import_latency_ms));
  timings.batch_limit = absl::GetFlag(FLAGS_batch_limit);
  timings.cache_blocks = absl::GetFlag(FLAGS_cache_blocks);
  timings.queue_tokens = absl::GetFlag(FLAGS_queue_tokens);
  timings.queue_requests = absl::GetFlag(FLAGS_queue_requests);
  timings.event_gap_probability = absl::GetFlag(FLAGS_event_gap_probability);
  timings.event_delay = milliseconds(absl::GetFlag(FLAGS_event_delay_ms));
  timings.load_lag = milliseconds(absl::GetFlag(FLAGS_load_lag_ms));
  timings.weights_load = milliseconds(absl::GetFlag(FLAGS_weights_load_ms));
  timings.adapter_load = milliseconds(absl::GetFlag(FLAGS_adapter_load_ms));
  return timings;
}

EngineOptions optionsFromFlags(JsonProblem& problem) {
  EngineOptions options;
  options.name = absl::GetFlag(FLAGS_name);
  options.models = parseServedModels(absl::GetFlag(FLAGS_models), problem);
  options.publish_blocks = !absl::GetFlag(FLAGS_kv_store).empty();
  const std::optional<ServingRole> role = parseRole(absl::GetFlag(FLAGS_role));
  if (!role) problem.record("role", "must be mixed, prefill or decode");
  options.role = role.value_or(ServingRole::Mixed);
  return options;
}

/// @return the seed of the flag; if it is 0, a seed that differs at each start.
std::uint64_t seedFromFlags() {
  const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
  if (seed != 0) return seed;
  const auto now = std::chrono::system_clock::now().time_since_epoch().count();
  return combineHashes(static_cast<std::uint64_t>(now), static_cast<std::uint64_t>(::getpid()));
}

}  // namespace

int main(int argc, char** argv) {
  parseCommandLine(
      "standin_engine",
      "Stands in for a model engine in tests; docs/STANDINS.md documents its model. Prints \"listening "
      "PORT\". POST /control {\"action\":\"crash|freeze|thaw|leave\"} and GET /v1/stats are for tests.",
      argc, argv);
  StderrEventLog log("standin_engine", LogFormat::KeyValue, LogLevel::Info);
  JsonProblem problem;
  const EngineOptions options = optionsFromFlags(problem);
  const EngineTimings timings = timingsFromFlags();
  checkTimings(timings, problem);
  if (problem.found()) {
    log.write(EventId::SettingsRefused, {{"reason", problem.text()}});
    return kExitUsage;
  }

  boost::asio::io_context context(1);
  SteadyClock clock;
  EngineModel model(options, timings, seedFromFlags(), clock.now());
  EngineServer server(
      context.get_executor(), model, clock, log,
      {absl::GetFlag(FLAGS_weight_store), absl::GetFlag(FLAGS_kv_store), timings.weights_load});
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
