/// @file Guards against requests in the body of another one: the body behind a transfer coding that the
/// server does not decode was not read as such, so that the request ran without it and its bytes were read as
/// the next request.

#include <catch2/catch.hpp>
#include <optional>

#include "unit/http/http_fixture.h"
#include "unit/http/raw_client.h"
#include "unit/http/raw_server.h"

using namespace crankspur;
using namespace crankspur::http;

namespace {

const std::string kHiddenRequest = "POST /hidden HTTP/1.1\r\nContent-Length: 0\r\n\r\n";

struct Framing {
  std::string version;
  std::string fields;
  std::string status;
};

}  // namespace

TEST_CASE("a request whose body has an unsupported framing is rejected and its connection closed", "[http]") {
  const Framing framing = GENERATE(values<Framing>({
      {"1.1", "Transfer-Encoding: gzip\r\n", "400"},
      {"1.1", "Transfer-Encoding: identity\r\n", "400"},
      {"1.1", "Transfer-Encoding: chunked, gzip\r\n", "400"},
      {"1.1", "Transfer-Encoding: chunked, chunked\r\n", "400"},
      {"1.1", "Transfer-Encoding: xchunked\r\n", "400"},
      {"1.1", "Transfer-Encoding: \r\n", "400"},
      {"1.1", "Transfer-Encoding: gzip\r\nContent-Length: 5\r\n", "400"},
      {"1.1", "Content-Length: 5\r\nTransfer-Encoding: gzip\r\n", "400"},
      {"1.1", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "400"},
      {"1.1", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "400"},
      {"1.0", "Transfer-Encoding: chunked\r\n", "400"},
      {"1.1", "Transfer-Encoding: gzip, chunked\r\n", "501"},
      {"1.1", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", "501"},
  }));
  INFO(framing.fields);
  std::vector<std::string> handled;
  HttpFixture fixture([&](const Request& request, const std::shared_ptr<ResponseWriter>& writer) {
    handled.push_back(request.target);
    writer->respond({200, {}, ""});
  });
  RawClient client(fixture, "POST /outer HTTP/" + framing.version + "\r\nConnection: keep-alive\r\n" +
                                framing.fields + "\r\n" + kHiddenRequest);
  fixture.runUntil([&] { return client.closed; });
  CHECK(client.status() == framing.status);
  CHECK(handled.empty());
}

TEST_CASE("the name of the chunked coding is case-insensitive", "[http]") {
  HttpFixture fixture([](const Request& request, const std::shared_ptr<ResponseWriter>& writer) {
    writer->respond({200, {}, request.body});
  });
  RawClient client(
      fixture,
      "POST / HTTP/1.1\r\nConnection: close\r\ntransfer-encoding: Chunked\r\n\r\n1\r\na\r\n0\r\n\r\n");
  fixture.runUntil([&] { return client.closed; });
  CHECK(client.received.ends_with("\r\n\r\na"));
}

TEST_CASE("a response with an unsupported transfer coding fails its exchange", "[http]") {
  const std::string coding = GENERATE("gzip", "gzip, chunked", "chunked, gzip");
  INFO(coding);
  boost::asio::io_context context{1};
  RawServer server(
      context, {{"HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n1\r\na\r\n0\r\n\r\n", true}});
  const auto client = makeClient(context.get_executor());
  std::optional<std::error_code> ended;
  ExchangeCallbacks callbacks;
  callbacks.on_done = [&](std::error_code error, SendState, const Response&) { ended = error; };
  client->start(server.address(), {"GET", "/", {}, {}}, callbacks);
  runUntil(context, [&] { return ended.has_value(); });
  CHECK(*ended);
}
