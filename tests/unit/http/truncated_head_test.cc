/// @file Guards against responses that end within their head and reach callers as complete ones with an empty
/// body: a server stops after some bytes of the head and closes.

#include <catch2/catch.hpp>
#include <optional>

#include "unit/http/http_fixture.h"
#include "unit/http/raw_server.h"

using namespace crankspur;
using namespace crankspur::http;

namespace {

const std::string kInterim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
const std::string kWhole = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Responses that consist of these bytes and the end of the connection.
struct TruncationFixture {
  /// @param first complete response that precedes on the same connection; empty: none.
  TruncationFixture(const std::string& first, const std::string& truncated)
      : server(context, first.empty() ? std::vector<RawServer::RawResponse>{{truncated, true}}
                                      : std::vector<RawServer::RawResponse>{{first}, {truncated, true}}) {
    if (!first.empty()) run();
  }

  std::error_code run() {
    std::optional<std::error_code> ended;
    ExchangeCallbacks callbacks;
    callbacks.on_headers = [&](int, const Headers&, BodyFraming) { ++heads; };
    callbacks.on_data = [](std::string_view) {};
    callbacks.on_done = [&](std::error_code error, SendState, const Response&) { ended = error; };
    heads = 0;
    client->start(server.address(), {"POST", "/", {}, {}}, callbacks);
    runUntil(context, [&] { return ended.has_value(); });
    return *ended;
  }

  boost::asio::io_context context{1};
  RawServer server;
  std::unique_ptr<Client> client = makeClient(context.get_executor());
  int heads = 0;
};

}  // namespace

TEST_CASE("a response that ends at any byte of its head fails its exchange without a head", "[http]") {
  const std::string head = GENERATE(
      std::string("HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n"),
      std::string("HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 12\r\n\r\n"),
      std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"),
      std::string("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"));
  const std::string first = GENERATE(std::string(), kWhole);
  const std::string interim = GENERATE(std::string(), kInterim);
  const std::string response = interim + head;
  for (std::size_t length = 1; length < response.size(); ++length) {
    INFO(length << " bytes of " << response);
    TruncationFixture fixture(first, response.substr(0, length));
    CHECK(fixture.run());
    CHECK(fixture.heads == 0);
  }
}

TEST_CASE("a response with two lengths fails its exchange", "[http]") {
  TruncationFixture fixture("", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nContent-Length: 3\r\n\r\nabc");
  CHECK(fixture.run());
  CHECK(fixture.heads == 0);
}
