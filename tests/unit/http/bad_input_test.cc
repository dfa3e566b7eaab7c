#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "raw_client.h"

using namespace crankspur;
using namespace crankspur::http;
namespace asio = boost::asio;

namespace {

void echoBody(Request request, std::shared_ptr<ResponseWriter> writer) {
  writer->respond({200, {}, request.body});
}

ServerLimits smallLimits() {
  ServerLimits limits;
  limits.header_bytes = 1024;
  limits.body_bytes = 2048;
  return limits;
}

struct BadInput {
  std::string name;
  std::string bytes;
  std::string status;
  std::string code;
};

}  // namespace

TEST_CASE("an oversized or malformed request gets a JSON error and does not affect others", "[http]") {
  const BadInput input = GENERATE(values<BadInput>({
      {"long header", "GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n", "431", "too_large"},
      {"long target", "GET /" + std::string(5000, 'x') + " HTTP/1.1\r\n\r\n", "431", "too_large"},
      {"long body", "POST / HTTP/1.1\r\nContent-Length: 2049\r\n\r\n" + std::string(2049, 'x'), "413",
       "too_large"},
      {"huge length", "POST / HTTP/1.1\r\nContent-Length: 18446744073709551615\r\n\r\n", "413", "too_large"},
      // The chunk size 801 is hexadecimal: 2049 bytes.
      {"long chunks",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n801\r\n" + std::string(2049, 'x') + "\r\n",
       "413", "too_large"},
      {"bad chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400", "invalid_request"},
      {"two lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400",
       "invalid_request"},
      {"length and chunks",
       "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400",
       "invalid_request"},
      {"bad version", "GET / HTTP/9.9\r\n\r\n", "400", "invalid_request"},
      {"TLS", std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 11), "400", "invalid_request"},
  }));
  INFO(input.name);
  HttpFixture fixture(&echoBody, smallLimits());
  CHECK(fixture.run({"POST", "/", {}, "before"}).response.body == "before");
  RawClient client(fixture, input.bytes);
  fixture.runUntil([&] { return client.closed; });
  CHECK(client.received.substr(0, 13) == "HTTP/1.1 " + input.status + " ");
  const std::size_t body = client.received.find("\r\n\r\n");
  REQUIRE(body != std::string::npos);
  const auto error = boost::json::parse(client.received.substr(body + 4)).at("error");
  CHECK(error.at("code").as_string() == input.code);
  CHECK(error.at("ran").as_string() == "not_run");
  CHECK(fixture.run({"POST", "/", {}, "after"}).response.body == "after");
}

TEST_CASE("a request whose header is not complete within the timeout gets 408", "[http]") {
  ServerLimits limits;
  limits.header_timeout = std::chrono::milliseconds(50);
  HttpFixture fixture(&echoBody, limits);
  RawClient client(fixture, "GET / HTT");
  fixture.runUntil([&] { return client.closed; });
  CHECK(client.received.substr(0, 13) == "HTTP/1.1 408 ");
}

TEST_CASE("a request rejected by the server is reported with the part of its head that was read", "[http]") {
  ServerLimits limits = smallLimits();
  limits.connections = 1;
  HttpFixture fixture(&echoBody, limits);
  std::vector<RejectedRequest> reported;
  fixture.server->setRejectedRequestHandler(
      [&](const RejectedRequest& rejected) { reported.push_back(rejected); });
  {
    RawClient client(fixture, "POST /long HTTP/1.1\r\nRequest-Id: 7f\r\nContent-Length: 2049\r\n\r\n");
    fixture.runUntil([&] { return client.closed; });
  }
  REQUIRE(reported.size() == 1);
  CHECK(reported[0].status == 413);
  CHECK(reported[0].head.target == "/long");
  CHECK(reported[0].head.header("Request-Id") == "7f");
  CHECK(fixture.run({"POST", "/", {}, "kept open"}).response.body == "kept open");
  RawClient client_over_limit(fixture, "GET / HTTP/1.1\r\n\r\n");
  fixture.runUntil([&] { return client_over_limit.closed; });
  REQUIRE(reported.size() == 2);
  CHECK(reported[1].status == 503);
}

TEST_CASE("a silent connection is closed after the idle timeout", "[http]") {
  ServerLimits limits;
  limits.idle_timeout = std::chrono::milliseconds(50);
  HttpFixture fixture(&echoBody, limits);
  RawClient client(fixture, "");
  fixture.runUntil([&] { return client.closed; });
  CHECK(client.received.empty());
}

TEST_CASE("a client that stops reading is disconnected and its handler notified", "[http]") {
  ServerLimits limits;
  limits.idle_timeout = std::chrono::milliseconds(100);
  bool disconnected = false;
  std::shared_ptr<ResponseWriter> retained_writer;
  HttpFixture fixture(
      [&](Request, std::shared_ptr<ResponseWriter> writer) {
        retained_writer = writer;
        writer->onClientDisconnected([&] { disconnected = true; });
        writer->begin(200, {});
        for (int count = 0; count < 64; ++count) writer->write(std::string(1024 * 1024, 'x'));
        CHECK(writer->queuedBytes() > 32 * 1024 * 1024);
      },
      limits);
  asio::ip::tcp::socket socket(fixture.context);
  socket.connect({asio::ip::make_address("127.0.0.1"), fixture.server->port()});
  asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  fixture.runUntil([&] { return disconnected; });
  CHECK(fixture.server->openRequests() == 0);
}

TEST_CASE("connections beyond the limit get 503 with Retry-After", "[http]") {
  ServerLimits limits;
  limits.connections = 1;
  HttpFixture fixture(&echoBody, limits);
  CHECK(fixture.run({"POST", "/", {}, "first"}).response.body == "first");
  RawClient client(fixture, "GET / HTTP/1.1\r\n\r\n");
  fixture.runUntil([&] { return client.closed; });
  CHECK(client.received.substr(0, 13) == "HTTP/1.1 503 ");
  CHECK(client.received.find("Retry-After: 1") != std::string::npos);
  CHECK(fixture.run({"POST", "/", {}, "again"}).response.body == "again");
}

TEST_CASE("pipelined requests get their responses in order, 100-continue and HTTP/1.0 are supported",
          "[http]") {
  HttpFixture fixture(&echoBody);
  const std::string first = "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\na";
  const std::string second = "POST / HTTP/1.1\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\nb";
  const std::string last = "POST / HTTP/1.0\r\nContent-Length: 1\r\n\r\nc";
  RawClient client(fixture, first + second + last);
  fixture.runUntil([&] { return client.closed; });
  const std::size_t first_at = client.received.find("\r\n\r\na");
  const std::size_t second_at = client.received.find("\r\n\r\nb");
  const std::size_t last_at = client.received.find("\r\n\r\nc");
  CHECK(first_at < second_at);
  CHECK(second_at < last_at);
  CHECK(last_at != std::string::npos);
}

TEST_CASE("a header value cannot inject a field, and a dropped writer responds 500", "[http]") {
  HttpFixture fixture([](Request request, std::shared_ptr<ResponseWriter> writer) {
    if (request.path() == "/drop") return;
    writer->respond({200, {{"X-A", "1\r\nX-B: 2"}}, ""});
  });
  const Response response = fixture.run({"GET", "/", {}, {}}).response;
  CHECK(response.headers.count("X-B") == 0);
  CHECK(fixture.run({"GET", "/drop", {}, {}}).response.status == 500);
}
