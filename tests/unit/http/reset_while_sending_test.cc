/// @file Guards against truncated responses that look complete. A server answers an upload at once, without a
/// length, and resets the connection while the upload is written. The write receives the error, so that the
/// read after it ends as if the server had closed in order.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>

#include "unit/http/http_fixture.h"

using namespace crankspur;
using namespace crankspur::http;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// More than the socket buffers of both sides take, so that a write stays pending.
constexpr std::size_t kUploadBytes = std::size_t{64} * 1024 * 1024;
const std::string kResponse = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart of the body";

/// Server that responds as soon as it has the head of a request, and reads nothing more of it.
struct EarlyServer {
  explicit EarlyServer(asio::io_context& context)
      : acceptor(context, {asio::ip::address_v4::loopback(), 0}), socket(context) {
    acceptor.async_accept(socket, [this](boost::system::error_code error) {
      if (!error) respond();
    });
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }

  void respond() {
    asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n",
                           [this](boost::system::error_code, std::size_t) {
                             asio::write(socket, asio::buffer(kResponse));
                             responded = true;
                           });
  }

  /// Part of the request is unread, so that the close resets the connection.
  void reset() { socket.close(); }
  void closeInOrder() { socket.shutdown(tcp::socket::shutdown_send); }

  tcp::acceptor acceptor;
  tcp::socket socket;
  std::string received;
  bool responded = false;
};

/// An upload whose response has begun while most of it is not written yet.
struct UploadFixture {
  explicit UploadFixture(bool pauses) {
    Request request;
    request.method = "POST";
    request.target = "/";
    request.body = std::string(kUploadBytes, 'u');
    ExchangeCallbacks callbacks;
    callbacks.on_headers = [this, pauses](int, const Headers&, BodyFraming framing) {
      CHECK(framing == BodyFraming::Close);
      if (pauses) exchange->pauseReading();
      has_head = true;
    };
    callbacks.on_done = [this](std::error_code error, SendState, const Response& response) {
      outcome = {error, SendState::SentOutcomeUnknown, response};
    };
    exchange = client->start(server.address(), std::move(request), callbacks);
    runUntil(context, [this] { return server.responded && has_head; });
  }

  Outcome await() {
    runUntil(context, [this] { return outcome.has_value(); });
    return *outcome;
  }

  asio::io_context context{1};
  EarlyServer server{context};
  std::unique_ptr<Client> client = makeClient(context.get_executor());
  std::shared_ptr<Exchange> exchange;
  bool has_head = false;
  std::optional<Outcome> outcome;
};

}  // namespace

TEST_CASE("a response without a length whose connection is reset while the request is written has failed",
          "[http][truncation]") {
  const bool pauses = GENERATE(false, true);
  UploadFixture fixture(pauses);
  fixture.server.reset();
  fixture.context.poll();
  if (pauses) fixture.exchange->resumeReading();
  INFO(pauses);
  CHECK(fixture.await().error);
}

TEST_CASE("a response without a length that ends in order while the request is written is complete",
          "[http][truncation]") {
  UploadFixture fixture(false);
  fixture.server.closeInOrder();
  const Outcome outcome = fixture.await();
  CHECK_FALSE(outcome.error);
  CHECK(outcome.response.body == "part of the body");
}

// A server need not read a request that it has answered. Its reset after the end of the response is no
// failure.
TEST_CASE("a response without a length that ended in order before the connection was reset is complete",
          "[http][truncation]") {
  UploadFixture fixture(true);
  fixture.server.closeInOrder();
  fixture.server.reset();
  fixture.context.poll();
  fixture.exchange->resumeReading();
  const Outcome outcome = fixture.await();
  CHECK_FALSE(outcome.error);
  CHECK(outcome.response.body == "part of the body");
}
