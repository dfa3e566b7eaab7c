/// @file Guards against responses that are taken for those of another request. A faulty server sends a
/// response twice, and the copy arrives where the response to the next request on the connection is due. An
/// id in the response tells them apart. Where there is none, the connection must not carry the next request.

#include <catch2/catch.hpp>
#include <optional>

#include "unit/http/http_fixture.h"
#include "unit/http/raw_server.h"

using namespace crankspur;
using namespace crankspur::http;

namespace {

const std::string kIdentified = "HTTP/1.1 200 OK\r\nX-Id: one\r\nContent-Length: 0\r\n\r\n";
const std::string kUnidentified = "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n";

ResponseOwner ownerById(int, const Headers& headers) {
  const auto id = headers.find("X-Id");
  if (id == headers.end()) return ResponseOwner::not_stated;
  return id->second == "one" ? ResponseOwner::this_request : ResponseOwner::earlier_request;
}

/// Client of a server whose responses state the id of their request or not.
struct OwnerFixture {
  explicit OwnerFixture(std::vector<RawServer::RawResponse> responses)
      : server(context, std::move(responses)) {}

  Outcome run(ExchangeOptions options = {}) {
    std::optional<Outcome> outcome;
    ExchangeCallbacks callbacks;
    callbacks.response_owner = ownerById;
    callbacks.on_done = [&outcome](std::error_code error, SendState state, const Response& response) {
      outcome = {error, state, response};
    };
    client->start(server.address(), {"POST", "/", {}, {}}, callbacks, options);
    runUntil(context, [&outcome] { return outcome.has_value(); });
    return *outcome;
  }

  boost::asio::io_context context{1};
  RawServer server;
  std::unique_ptr<Client> client = makeClient(context.get_executor());
};

}  // namespace

TEST_CASE("the connection of a response that states no request carries no other request",
          "[http][response_owner]") {
  OwnerFixture fixture({{kUnidentified}, {kIdentified}});
  CHECK(fixture.run().response.status == 503);
  CHECK(fixture.run().response.status == 200);
  CHECK(fixture.server.connections() == 2);
}

TEST_CASE("a response that states no request is not taken for that of a request on a reused connection",
          "[http][response_owner]") {
  OwnerFixture fixture({{kIdentified}, {kUnidentified}, {kIdentified}});
  CHECK_FALSE(fixture.run().error);
  const Outcome outcome = fixture.run();
  CHECK(isUnreadableResponse(outcome.error));
  CHECK(outcome.state == SendState::SentOutcomeUnknown);
  CHECK_FALSE(fixture.run().error);
  CHECK(fixture.server.connections() == 2);
}

TEST_CASE("an exchange on a connection of its own shares it with none before or after it",
          "[http][response_owner]") {
  OwnerFixture fixture({{kIdentified}, {kUnidentified}, {kIdentified}});
  ExchangeOptions own;
  own.own_connection = true;
  CHECK(fixture.run().response.status == 200);
  CHECK(fixture.run(own).response.status == 503);
  CHECK(fixture.server.connections() == 2);
  CHECK(fixture.run().response.status == 200);
  CHECK(fixture.run().response.status == 200);
  CHECK(fixture.server.connections() == 2);
}
