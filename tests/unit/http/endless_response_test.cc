/// @file Guards against bytes without end from a server: a head, interim responses, a response that belongs
/// to another request, and responses that nobody waits for any more were read for as long as the server sent.
/// Lines without end inside a body were kept as well, and filled the memory of the process.

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>

#include "base/error.h"
#include "http/client.h"
#include "unit/http/raw_server.h"
#include "unit/run_until.h"

using namespace crankspur;
using namespace crankspur::http;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// Bytes that may be read past the point at which they are no response, those in buffers included.
constexpr std::size_t kMaxUselessBytes = std::size_t{8} * 1024 * 1024;
/// Time for which they may be read, with some for the machine.
constexpr auto kMaxUselessTime = 4s;

/// Server that responds to each request with a prefix and then the same bytes again and again, until the
/// client closes the connection.
class EndlessServer {
public:
  EndlessServer(asio::io_context& context, std::string prefix, std::string repeated,
                Duration interval = Duration(0))
      : acceptor_(context, {asio::ip::address_v4::loopback(), 0}),
        timer_(context),
        prefix_(std::move(prefix)),
        repeated_(std::move(repeated)),
        interval_(interval) {
    acceptor_.async_accept([this](boost::system::error_code error, asio::ip::tcp::socket socket) {
      if (error) return;
      socket_ = std::make_unique<asio::ip::tcp::socket>(std::move(socket));
      receive();
    });
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
  bool closedByClient() const { return closed_; }
  std::size_t sent() const { return sent_; }

private:
  void receive() {
    socket_->async_read_some(asio::buffer(received_), [this](boost::system::error_code error, std::size_t) {
      if (!error) send(prefix_);
    });
  }

  void send(const std::string& text) {
    asio::async_write(*socket_, asio::buffer(text),
                      [this](boost::system::error_code error, std::size_t bytes) {
                        sent_ += bytes;
                        if (error) {
                          closed_ = true;
                          return;
                        }
                        timer_.expires_after(interval_);
                        timer_.async_wait([this](boost::system::error_code failure) {
                          if (!failure) send(repeated_);
                        });
                      });
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer timer_;
  std::unique_ptr<asio::ip::tcp::socket> socket_;
  std::array<char, 4096> received_{};
  std::string prefix_;
  std::string repeated_;
  Duration interval_;
  std::size_t sent_ = 0;
  bool closed_ = false;
};

/// One exchange with such a server.
struct EndlessFixture {
  EndlessFixture(std::string prefix, std::string repeated, Duration interval = Duration(0))
      : server(context, std::move(prefix), std::move(repeated), interval) {}

  void start(ExchangeCallbacks callbacks, Duration idle_timeout = 60s) {
    callbacks.on_done = [this](std::error_code failure, SendState, const Response&) { ended = failure; };
    options.idle_timeout = idle_timeout;
    exchange = client->start(server.address(), {"POST", "/", {}, "x"}, callbacks, options);
  }

  void runUntilClosed() {
    const auto start = std::chrono::steady_clock::now();
    runUntil(context, [&] {
      return server.closedByClient() || std::chrono::steady_clock::now() - start > kMaxUselessTime;
    });
    CHECK(server.closedByClient());
    CHECK(server.sent() <= kMaxUselessBytes);
  }

  asio::io_context context{1};
  std::unique_ptr<Client> client = makeClient(context.get_executor());
  EndlessServer server;
  ExchangeOptions options;
  std::shared_ptr<Exchange> exchange;
  std::optional<std::error_code> ended;  ///< Its outcome; empty: it goes on.
};

const std::string kFill(8'000, 'x');
const std::string kChunk = "1f40\r\n" + kFill + "\r\n";

/// Accepts only responses without the mark of another request.
ExchangeCallbacks ownResponses() {
  ExchangeCallbacks callbacks;
  callbacks.response_owner = [](int, const Headers& headers) {
    return headers.contains("X-Other") ? ResponseOwner::earlier_request : ResponseOwner::this_request;
  };
  return callbacks;
}

}  // namespace

TEST_CASE("a head without end fails its exchange", "[http][endless]") {
  SECTION("as fast as it can be read") {
    EndlessFixture fixture("HTTP/1.1 200 OK\r\n", "X-Fill: " + kFill + "\r\n");
    fixture.start({});
    fixture.runUntilClosed();
    CHECK((fixture.ended && *fixture.ended));
  }
  SECTION("a few bytes at a time") {
    EndlessFixture fixture("HTTP/1.1 200 OK\r\n", "X-Fill: x\r\n", 50ms);
    fixture.start({});
    fixture.runUntilClosed();
    CHECK((fixture.ended && *fixture.ended));
  }
}

TEST_CASE("interim responses without end fail their exchange", "[http][endless]") {
  SECTION("as fast as they can be read") {
    EndlessFixture fixture("", "HTTP/1.1 100 Continue\r\n\r\n");
    fixture.start({});
    fixture.runUntilClosed();
    CHECK((fixture.ended && *fixture.ended));
  }
  SECTION("a few bytes at a time") {
    EndlessFixture fixture("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n", 50ms);
    fixture.start({});
    fixture.runUntilClosed();
    CHECK((fixture.ended && *fixture.ended));
  }
}

TEST_CASE("a response to another request without end fails its exchange", "[http][endless]") {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Other: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
  SECTION("as fast as it can be read") {
    EndlessFixture fixture(head, kChunk);
    fixture.start(ownResponses());
    fixture.runUntilClosed();
    CHECK((fixture.ended && *fixture.ended));
  }
  SECTION("a few bytes at a time") {
    EndlessFixture fixture(head, "1\r\nx\r\n", 50ms);
    fixture.start(ownResponses());
    fixture.runUntilClosed();
    CHECK((fixture.ended && *fixture.ended));
  }
}

// Reports, orders, pages of a cache and rows of the store are collected.
TEST_CASE("a collected body without end fails its exchange", "[http][endless]") {
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  SECTION("it becomes too large") {
    EndlessFixture fixture(head, kChunk);
    fixture.options.body_bytes = 100'000;
    fixture.start({});
    fixture.runUntilClosed();
    CHECK((fixture.ended && *fixture.ended));
  }
  SECTION("it takes too long") {
    EndlessFixture fixture(head, "1\r\nx\r\n", 50ms);
    fixture.options.collect_timeout = 500ms;
    fixture.start({});
    fixture.runUntilClosed();
    CHECK((fixture.ended && *fixture.ended));
  }
}

// The parser consumes a line inside a body only when it is complete, so that no limit of the body applied to
// it.
TEST_CASE("a line without end inside a body fails its exchange", "[http][endless]") {
  struct Line {
    const char* name;
    std::string prefix;    ///< After the head.
    std::string repeated;  ///< Without end.
  };
  const auto line = GENERATE(Line{"size of a chunk", "", std::string(8'000, '1')},
                             Line{"no chunks", "", std::string(8'000, 'x')},
                             Line{"extension of a chunk", "5;", std::string(8'000, 'x')},
                             Line{"end of a chunk", "1\r\nx", std::string(8'000, 'x')},
                             Line{"trailer line", "0\r\nX-Fill: ", std::string(8'000, 'x')},
                             Line{"trailer lines", "0\r\n", "X-Fill: x\r\n"});
  const bool collects = GENERATE(true, false);
  INFO(line.name << (collects ? ", collected" : ", passed on"));
  EndlessFixture fixture("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + line.prefix,
                         line.repeated);
  ExchangeCallbacks callbacks;
  if (!collects) callbacks.on_data = [](std::string_view) {};
  fixture.start(callbacks);
  fixture.runUntilClosed();
  REQUIRE(fixture.ended);
  CHECK((*fixture.ended == ErrorCode::TooLarge || *fixture.ended == ErrorCode::Malformed));
}

// The limit of time for the whole body took the place of the limit of time without a byte.
TEST_CASE("a collected body that stops fails its exchange after the idle timeout", "[http][endless]") {
  EndlessFixture fixture("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n", "x", 30s);
  fixture.start({}, 300ms);
  const auto start = std::chrono::steady_clock::now();
  runUntil(fixture.context,
           [&] { return fixture.ended || std::chrono::steady_clock::now() - start > kMaxUselessTime; });
  CHECK((fixture.ended && *fixture.ended));
}

// Log lines and the judgement of a back end distinguish it from one that is slow or has crashed.
TEST_CASE("bytes that are no response are reported as unreadable", "[http][endless]") {
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string prefix;
  std::string repeated = kFill;
  ErrorCode expected = ErrorCode::TooLarge;
  SECTION("a line without end inside a body") {
    prefix = head;
  }
  SECTION("a size of a chunk that is no number") {
    prefix = head + "size\r\n";
    expected = ErrorCode::Malformed;
  }
  SECTION("a head without end") {
    prefix = "HTTP/1.1 200 OK\r\nX-Fill: ";
  }
  SECTION("no head") {
    repeated = "no response\r\n";
    expected = ErrorCode::Malformed;
  }
  EndlessFixture fixture(prefix, repeated);
  std::optional<std::error_code> reported;
  fixture.client->setUnreadableResponseHandler([&](const std::string& address, std::error_code error) {
    CHECK(address == fixture.server.address());
    reported = error;
  });
  fixture.start({});
  fixture.runUntilClosed();
  CHECK(reported == expected);
  CHECK(fixture.ended == expected);
}

TEST_CASE("a truncated response is not reported as unreadable", "[http][endless]") {
  asio::io_context context{1};
  RawServer server(context, {{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", true}});
  const auto client = makeClient(context.get_executor());
  bool is_reported = false;
  client->setUnreadableResponseHandler([&](const std::string&, std::error_code) { is_reported = true; });
  std::optional<std::error_code> ended;
  ExchangeCallbacks callbacks;
  callbacks.on_done = [&](std::error_code error, SendState, const Response&) { ended = error; };
  client->start(server.address(), {"POST", "/", {}, "x"}, callbacks);
  runUntil(context, [&] { return ended.has_value(); });
  CHECK((ended && *ended));
  CHECK_FALSE(is_reported);
}
