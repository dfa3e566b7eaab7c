/// @file Guards against requests that run twice: when a server closed a kept-alive connection without a
/// response, the client sent each GET again by itself, so that neither the route's kind nor the retry budget
/// applied.

#include <catch2/catch.hpp>
#include <optional>

#include "unit/http/http_fixture.h"
#include "unit/http/raw_server.h"

using namespace crankspur;
using namespace crankspur::http;

namespace {

const std::string kResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Client with a kept-alive connection to a server that closes it on the second request, without a response.
struct ClosingFixture {
  ClosingFixture() { REQUIRE_FALSE(run("GET", {}).error); }

  Outcome run(const std::string& method, ExchangeOptions options) {
    std::optional<Outcome> outcome;
    ExchangeCallbacks callbacks;
    callbacks.on_done = [&](std::error_code error, SendState state, Response response) {
      outcome = {error, state, std::move(response)};
    };
    client->start(server.address(), {method, "/", {}, {}}, callbacks, options);
    runUntil(context, [&] { return outcome.has_value(); });
    return *outcome;
  }

  boost::asio::io_context context{1};
  RawServer server{context, {{kResponse}, {""}, {kResponse}}};
  std::unique_ptr<Client> client = makeClient(context.get_executor());
};

}  // namespace

TEST_CASE("a request whose reused connection is closed without a response is not sent again", "[http]") {
  const std::string method = GENERATE("GET", "HEAD", "POST");
  ClosingFixture fixture;
  const Outcome outcome = fixture.run(method, {});
  CHECK(outcome.error);
  CHECK(outcome.state == SendState::SentOutcomeUnknown);
  CHECK(fixture.server.requests() == 2);
}
