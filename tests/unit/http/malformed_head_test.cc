/// @file Guards against malformed responses that are passed on as if they were sound: a status without a
/// class, a field name with a blank or a control byte, and a line that continues the field before it, which
/// may change the id of a response or its length.

#include <catch2/catch.hpp>
#include <optional>

#include "unit/http/http_fixture.h"
#include "unit/http/raw_server.h"

using namespace crankspur;
using namespace crankspur::http;

namespace {

std::error_code errorOf(const std::string& method, const std::string& response) {
  boost::asio::io_context context{1};
  RawServer server(context, {{response, true}});
  const std::unique_ptr<Client> client = makeClient(context.get_executor());
  std::optional<std::error_code> outcome;
  ExchangeCallbacks callbacks;
  callbacks.on_done = [&outcome](std::error_code error, SendState, const Response&) { outcome = error; };
  client->start(server.address(), {method, "/", {}, {}}, callbacks);
  runUntil(context, [&outcome] { return outcome.has_value(); });
  return *outcome;
}

}  // namespace

TEST_CASE("a response with a malformed head is unreadable", "[http][malformed_head]") {
  const std::string method = GENERATE("GET", "HEAD");
  const std::string before =
      GENERATE("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");  // An interim response.
  const std::string framing = GENERATE("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", "");
  const std::string end = framing.starts_with("Transfer") ? "\r\n0\r\n\r\n" : "\r\n";
  const std::string sound = "HTTP/1.1 200 OK\r\n";
  CHECK_FALSE(errorOf(method, before + sound + framing + end));
  for (const std::string status : {"000", "099", "600", "20", "2000"}) {
    INFO(status);
    CHECK(isUnreadableResponse(errorOf(method, before + "HTTP/1.1 " + status + " -\r\n" + framing + end)));
  }
  for (const std::string field : {"X A: 1", "X-A : 1", "X-A\t: 1",
                                  "X\x01"
                                  "A: 1",
                                  "X\x7f"
                                  "A: 1",
                                  ": 1", "X-A", "X-A: 1\r\n more", "X-A: 1\r\n\tmore", " X-A: 1"}) {
    INFO(field);
    CHECK(isUnreadableResponse(errorOf(method, before + sound + field + "\r\n" + framing + end)));
    CHECK(isUnreadableResponse(errorOf(method, before + sound + framing + field + "\r\n" + end)));
  }
}

TEST_CASE("an interim response with a folded field is unreadable", "[http][malformed_head]") {
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n more\r\n\r\n";
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  CHECK(isUnreadableResponse(errorOf("GET", interim + response)));
}
