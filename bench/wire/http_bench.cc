/// @file Cost of HTTP: complete exchanges on a keep-alive connection, and chunks of a stream, with client and
/// server on one thread.

#include <benchmark/benchmark.h>

#include <boost/asio/io_context.hpp>

#include "http/client.h"
#include "http/server.h"

namespace {

using namespace crankspur;
using namespace crankspur::http;

struct HttpPair {
  explicit HttpPair(RequestHandler handler) {
    std::error_code error;
    server = listen(context.get_executor(), "127.0.0.1:0", std::move(handler), error);
    client = makeClient(context.get_executor());
    address = "127.0.0.1:" + std::to_string(server->port());
  }

  boost::asio::io_context context{1};
  std::unique_ptr<Server> server;
  std::unique_ptr<Client> client;
  std::string address;
};

void httpExchange(benchmark::State& state) {
  HttpPair pair([](Request request, std::shared_ptr<ResponseWriter> writer) {
    writer->respond(jsonResponse(200, std::move(request.body)));
  });
  for (auto _ : state) {
    bool done = false;
    ExchangeCallbacks callbacks;
    callbacks.on_done = [&done](std::error_code, SendState, Response) { done = true; };
    pair.client->start(pair.address, {"POST", "/", {}, "{\"a\":1}"}, callbacks);
    while (!done) pair.context.run_one();
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(httpExchange);

/// One iteration writes, sends and receives one chunk of 64 bytes, up to its on_data callback.
void httpStreamChunk(benchmark::State& state) {
  std::shared_ptr<ResponseWriter> stream;
  HttpPair pair([&stream](Request, std::shared_ptr<ResponseWriter> writer) {
    writer->begin(200, {{"Content-Type", "text/event-stream"}});
    stream = std::move(writer);
  });
  std::size_t received = 0;
  ExchangeCallbacks callbacks;
  callbacks.on_data = [&received](std::string_view bytes) { received += bytes.size(); };
  pair.client->start(pair.address, {}, callbacks);
  while (!stream) pair.context.run_one();
  const std::string chunk(64, 'x');
  std::size_t sent = 0;
  for (auto _ : state) {
    stream->write(chunk);
    sent += chunk.size();
    while (received < sent) pair.context.run_one();
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(httpStreamChunk);

void parseEvents(benchmark::State& state) {
  std::string stream;
  for (int count = 0; count < 100; ++count) {
    stream += "data: {\"type\":\"tokens\",\"offset\":1,\"count\":1,\"text\":\"x\"}\n\n";
  }
  std::size_t events = 0;
  for (auto _ : state) {
    EventStreamParser parser;
    parser.feed(stream, [&events](std::string_view) { ++events; });
  }
  state.SetItemsProcessed(static_cast<std::int64_t>(events));
}
BENCHMARK(parseEvents);

}  // namespace
