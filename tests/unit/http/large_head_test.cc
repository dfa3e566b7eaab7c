/// @file Guards against heads that end the process which reads or writes them: Beast's container of fields
/// throws for a value above 65,533 bytes, also for one that is joined from several lines.

#include <catch2/catch.hpp>
#include <optional>

#include "unit/http/http_fixture.h"
#include "unit/http/raw_client.h"
#include "unit/http/raw_server.h"

using namespace crankspur;
using namespace crankspur::http;

namespace {

ServerLimits limitsWithHeaderBytes(std::size_t bytes) {
  ServerLimits limits;
  limits.header_bytes = bytes;
  return limits;
}

void respondWithLength(const Request& request, const std::shared_ptr<ResponseWriter>& writer) {
  writer->respond({200, {}, std::to_string(request.header("Large").size())});
}

}  // namespace

TEST_CASE("a header value above 65,533 bytes within the limit is sent and received", "[http]") {
  HttpFixture fixture(&respondWithLength, limitsWithHeaderBytes(131'072));
  const Outcome outcome = fixture.run({"POST", "/", {{"Large", std::string(72'000, 'x')}}, ""});
  CHECK_FALSE(outcome.error);
  CHECK(outcome.response.body == "72000");
}

TEST_CASE("header lines of one name are joined to more than 65,533 bytes", "[http]") {
  HttpFixture fixture(&respondWithLength, limitsWithHeaderBytes(131'072));
  const std::string line = "Large: " + std::string(40'000, 'x') + "\r\n";
  RawClient client(fixture, "GET / HTTP/1.1\r\nConnection: close\r\n" + line + line + "\r\n");
  fixture.runUntil([&] { return client.closed; });
  CHECK(client.received.ends_with("\r\n80002"));
}

TEST_CASE("a header limit above 32 bits does not wrap", "[http]") {
  HttpFixture fixture(&respondWithLength, limitsWithHeaderBytes((std::size_t{1} << 32U) + 10));
  const Outcome outcome = fixture.run({"POST", "/", {{"Large", std::string(100, 'x')}}, ""});
  CHECK(outcome.response.body == "100");
}

TEST_CASE("a header limit that is lowered while a client pipelines requests does not end the server",
          "[http]") {
  std::size_t handled = 0;
  HttpFixture fixture(
      [&](const Request&, const std::shared_ptr<ResponseWriter>& writer) {
        if (++handled == 1) fixture.server->setLimits(limitsWithHeaderBytes(1'024));
        writer->respond({200, {}, ""});
      },
      limitsWithHeaderBytes(400'000));
  std::string requests;
  for (int count = 0; count < 2'000; ++count) {
    requests += "GET / HTTP/1.1\r\nFill: " + std::string(200, 'x') + "\r\n\r\n";
  }
  RawClient client(fixture, requests + "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  fixture.runUntil([&] { return client.closed; });
  CHECK(handled == 2'001);
}

TEST_CASE("a response whose head exceeds the client's limit fails its exchange", "[http]") {
  boost::asio::io_context context{1};
  RawServer server(
      context, {{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nLarge: " + std::string(72'000, 'x') + "\r\n\r\n"}});
  const auto client = makeClient(context.get_executor());
  std::optional<std::error_code> ended;
  ExchangeCallbacks callbacks;
  callbacks.on_done = [&](std::error_code error, SendState, const Response&) { ended = error; };
  client->start(server.address(), {"GET", "/", {}, {}}, callbacks);
  runUntil(context, [&] { return ended.has_value(); });
  CHECK(*ended);
}
