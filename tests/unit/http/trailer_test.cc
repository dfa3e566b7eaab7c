/// @file Guards against trailer fields that count as header fields: they were appended to those of the head,
/// so that a client could change the head after its checks, and counted against no limit, so that many of
/// them ended the process.

#include <catch2/catch.hpp>
#include <optional>

#include "unit/http/http_fixture.h"
#include "unit/http/raw_client.h"
#include "unit/http/raw_server.h"

using namespace crankspur;
using namespace crankspur::http;

namespace {

const std::string kChunkedHead =
    "POST / HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\nModel: m\r\n\r\n";
const std::string kChunk = "1\r\na\r\n";

void echoModel(const Request& request, const std::shared_ptr<ResponseWriter>& writer) {
  writer->respond(
      {200, {}, request.header("Model") + "," + request.header("Other") + "," + request.body.text()});
}

std::string trailers(std::size_t count) {
  std::string text;
  for (std::size_t index = 0; index < count; ++index) text += "X-Trailer: " + std::string(31, 't') + "\r\n";
  return text;
}

/// Runs an exchange with a server that sends `response`.
Outcome exchangeWith(const std::string& response) {
  boost::asio::io_context context{1};
  RawServer server(context, {{response}});
  const auto client = makeClient(context.get_executor());
  std::optional<Outcome> outcome;
  ExchangeCallbacks callbacks;
  callbacks.on_done = [&](std::error_code error, SendState state, Response received) {
    outcome = {error, state, std::move(received)};
  };
  client->start(server.address(), {"GET", "/", {}, {}}, callbacks);
  runUntil(context, [&] { return outcome.has_value(); });
  return *outcome;
}

const std::string kChunkedResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nModel: m\r\n\r\n";

}  // namespace

TEST_CASE("trailer fields of a request are no header fields", "[http]") {
  HttpFixture fixture(&echoModel);
  RawClient client(fixture, kChunkedHead + kChunk + "0\r\nModel: x\r\nOther: y\r\n\r\n");
  fixture.runUntil([&] { return client.closed; });
  CHECK(client.received.ends_with("\r\nm,,a"));
}

TEST_CASE("trailer fields of a request beyond the header limit get 431", "[http]") {
  // 2,000 fields have 88,000 bytes; 400 stay within the size that may be buffered.
  const std::size_t count = GENERATE(2'000, 400);
  HttpFixture fixture(&echoModel);
  RawClient client(fixture, kChunkedHead + kChunk + "0\r\n" + trailers(count) + "\r\n");
  fixture.runUntil([&] { return client.closed; });
  CHECK(client.status() == "431");
  CHECK(fixture.run({"POST", "/", {{"Model", "m"}}, "after"}).response.body == "m,,after");
}

TEST_CASE("a chunk extension without end is rejected once it exceeds the buffer", "[http]") {
  HttpFixture fixture(&echoModel);
  RawClient client(fixture, kChunkedHead + "1;" + std::string(400'000, 'e'));
  fixture.runUntil([&] { return client.closed; });
  CHECK(client.status() == "431");
}

TEST_CASE("trailer fields of a response are no header fields", "[http]") {
  const Outcome outcome = exchangeWith(kChunkedResponseHead + kChunk + "0\r\nModel: x\r\nOther: y\r\n\r\n");
  CHECK_FALSE(outcome.error);
  CHECK(outcome.response.body == "a");
  CHECK(outcome.response.headers.at("Model") == "m");
  CHECK_FALSE(outcome.response.headers.contains("Other"));
}

TEST_CASE("trailer fields of a response beyond the limit fail its exchange", "[http]") {
  CHECK(exchangeWith(kChunkedResponseHead + kChunk + "0\r\n" + trailers(2'000) + "\r\n").error);
}

TEST_CASE("a chunk extension of a response without end fails its exchange", "[http]") {
  CHECK(exchangeWith(kChunkedResponseHead + "1;" + std::string(400'000, 'e')).error);
}
