/// @file Cost of frames: encoding, decoding, and transfer between the two ends of a loopback
/// connection on one thread.

#include <benchmark/benchmark.h>

#include <boost/asio/io_context.hpp>

#include "internal_protocol/codec.h"
#include "internal_protocol/connection.h"

namespace {

using namespace crankspur;

/// @return a stream piece as engines typically send it: one token of a few bytes.
StreamPiece makePiece() {
  return {"0123456789abcdef-000001", 1, 100, 1, " token"};
}

void encodeStreamPiece(benchmark::State& state) {
  const Message message = makePiece();
  for (auto _ : state) benchmark::DoNotOptimize(encodeFrame(message));
}
BENCHMARK(encodeStreamPiece);

void decodeStreamPiece(benchmark::State& state) {
  const std::string frame = encodeFrame(makePiece());
  for (auto _ : state) benchmark::DoNotOptimize(decodeFrame(frame));
}
BENCHMARK(decodeStreamPiece);

/// Encodes and decodes a submit request with a prompt of `range` bytes.
void carrySubmitRequest(benchmark::State& state) {
  SubmitRequest request;
  request.request_id = "0123456789abcdef-000001";
  request.prompt = std::string(static_cast<std::size_t>(state.range(0)), 'p');
  const Message message = request;
  for (auto _ : state) benchmark::DoNotOptimize(decodeFrame(encodeFrame(message)));
  state.SetBytesProcessed(state.iterations() * state.range(0));
}
BENCHMARK(carrySubmitRequest)->Arg(1024)->Arg(64 * 1024)->Arg(1024 * 1024);

/// Both ends of a connection, in one io_context.
struct ConnectionPair {
  ConnectionPair() {
    std::error_code error;
    const auto accept = [this](std::shared_ptr<FrameConnection>) {
      FrameConnection::Callbacks callbacks;
      callbacks.on_message = [this](Message) { ++received; };
      return callbacks;
    };
    listener = listenFrames(
        context.get_executor(), "127.0.0.1:0", [] { return Hello{}; }, accept, error);
    FrameConnection::Callbacks callbacks;
    callbacks.on_hello = [this](const Hello&) { ready = true; };
    const std::string address = "127.0.0.1:" + std::to_string(listener->port());
    sender = connectFrames(context.get_executor(), address, Hello{}, callbacks);
    while (!ready) context.run_one();
  }

  boost::asio::io_context context{1};
  std::unique_ptr<FrameListener> listener;
  std::shared_ptr<FrameConnection> sender;
  bool ready = false;
  std::int64_t received = 0;
};

/// Sends `range` frames per iteration through a connection; both ends share the thread.
void framesOverLoopback(benchmark::State& state) {
  ConnectionPair pair;
  const Message message = makePiece();
  std::int64_t sent = 0;
  for (auto _ : state) {
    for (std::int64_t count = 0; count < state.range(0); ++count) pair.sender->send(message);
    sent += state.range(0);
    while (pair.received < sent) pair.context.run_one();
  }
  state.SetItemsProcessed(sent);
}
BENCHMARK(framesOverLoopback)->Arg(1)->Arg(16)->Arg(256);

}  // namespace
