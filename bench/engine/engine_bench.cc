/// @file Cost of the engine client per streamed token, without and with loopback TCP, and of the engine
/// stand-in's model, which limits the speed of simulations.

#include <benchmark/benchmark.h>

#include <boost/asio/io_context.hpp>

#include "engine/completion_decoder.h"
#include "engine/engine_client.h"
#include "http/server.h"
#include "standins/engine/engine_model.h"

namespace {

using namespace crankspur;

constexpr int kTokens = 1000;

const std::string kAccepted =
    "data: {\"type\":\"accepted\",\"incarnation\":7,\"weights_version\":\"w\",\"prompt_tokens\":20,"
    "\"cached_tokens\":16}\n\n";
const std::string kEnd =
    "data: "
    "{\"type\":\"end\",\"token_count\":1000,\"checksum\":\"00000000000000aa\",\"finish_reason\":\"stop\"}"
    "\n\n";

std::string tokenEvent(int offset) {
  return "data: {\"type\":\"tokens\",\"offset\":" + std::to_string(offset) +
         ",\"count\":1,\"text\":\"bab \"}\n\n";
}

/// Decodes a stream, one event per read.
void decodeStream(benchmark::State& state) {
  std::vector<std::string> events;
  for (int offset = 0; offset < kTokens; ++offset) events.push_back(tokenEvent(offset));
  std::uint64_t decoded = 0;
  const auto receive = [&decoded](const BackendEvent&) { ++decoded; };
  for (auto _ : state) {
    CompletionDecoder decoder;
    decoder.feed(kAccepted, receive);
    for (const std::string& event : events) decoder.feed(event, receive);
    decoder.feed(kEnd, receive);
  }
  benchmark::DoNotOptimize(decoded);
  state.SetItemsProcessed(state.iterations() * kTokens);
}
BENCHMARK(decodeStream);

/// Streams over loopback TCP; client and server share one thread, so the result includes both sides.
void streamOverLoopback(benchmark::State& state) {
  boost::asio::io_context context(1);
  std::error_code error;
  const auto server = http::listen(
      context.get_executor(), "127.0.0.1:0",
      [](const http::Request&, const std::shared_ptr<http::ResponseWriter>& writer) {
        writer->begin(200, {{"Content-Type", "text/event-stream"}});
        writer->write(kAccepted);
        for (int offset = 0; offset < kTokens; ++offset) writer->write(tokenEvent(offset));
        writer->write(kEnd);
        writer->end();
      },
      error);
  SteadyClock clock;
  const auto http_client = http::makeClient(context.get_executor());
  const auto client = makeEngineClient(*http_client, clock);
  DispatchCompletion dispatch;
  dispatch.address = "127.0.0.1:" + std::to_string(server->port());
  for (auto _ : state) {
    bool finished = false;
    const auto stream = client->complete(dispatch, [&finished](const BackendEvent& event) {
      finished =
          finished || std::holds_alternative<BackendEnd>(event) || std::holds_alternative<BackendLost>(event);
    });
    while (!finished) context.run_one();
  }
  state.SetItemsProcessed(state.iterations() * kTokens);
}
BENCHMARK(streamOverLoopback)->Unit(benchmark::kMillisecond);

/// Runs requests with a shared prefix through the engine model on a virtual clock.
void runEngineModel(benchmark::State& state) {
  using namespace crankspur::standin;
  TimePoint now{std::chrono::seconds(1)};
  EngineOptions options;
  options.models = {{"small", "w1", {}}};
  EngineModel model(options, EngineTimings{}, 1, now);
  StreamId stream = 0;
  for (auto _ : state) {
    CompletionRequest request;
    request.request_id = std::to_string(++stream);
    request.tenant = "parts";
    request.model = "small";
    request.prompt = std::string(16'000, 'p') + request.request_id;
    request.max_tokens = 100;
    model.submit(stream, request, now);
    while (model.inFlight() > 0) {
      now = *model.nextTimer();
      model.onTimer(now);
      benchmark::DoNotOptimize(model.takeOutputs());
    }
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(runEngineModel)->Unit(benchmark::kMicrosecond);

}  // namespace
