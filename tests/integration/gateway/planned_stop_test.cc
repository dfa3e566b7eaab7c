/// @file Guards against requests that a planned stop cuts without a response: their head or body was arriving
/// when the gateway stopped to accept connections, and they were sent to a back end like any others.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "integration/gateway/gateway_site.h"

namespace crankspur::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int kBadGateway = 502;
constexpr std::chrono::milliseconds kAcceptsFor{300};
constexpr std::chrono::seconds kEndsIn{20};
constexpr std::size_t kBodyBytes = 100'000;

/// A gateway that stops, and a client that sends its request in parts.
struct StoppingSite : GatewaySite {
  using GatewaySite::GatewaySite;

  void connect() { socket.connect({asio::ip::make_address("127.0.0.1"), process->port()}); }

  void write(const std::string& text) { asio::write(socket, asio::buffer(text)); }

  /// Reads until the gateway closes the connection.
  /// @return everything that was received.
  std::string readAll() {
    bool closed = false;
    asio::async_read(socket, asio::dynamic_buffer(received),
                     [&](boost::system::error_code, std::size_t) { closed = true; });
    runUntil([&] { return closed; });
    return received;
  }

  /// Stops the gateway, which has one request, up to the point at which it accepts no connections.
  void drainUntilClosed() {
    process->drain({kAcceptsFor, kEndsIn});
    const auto end = std::chrono::steady_clock::now() + kAcceptsFor;
    runUntil([&] { return std::chrono::steady_clock::now() >= end && process->inFlight() == 1; });
    process->stopAccepting();
  }

  tcp::socket socket{context};
  std::string received;
};

std::string headWithBody(std::size_t bytes) {
  return "POST /r/1 HTTP/1.1\r\nHost: desk.example\r\nX-Id: one\r\nContent-Length: " + std::to_string(bytes) +
         "\r\n\r\n";
}

}  // namespace

TEST_CASE("a request that is complete only after the stop has been noticed is refused as not run",
          "[integration][planned_stop]") {
  StoppingSite site(Repeatability::AtMostOnce, false);
  site.connect();
  const std::string request = headWithBody(0);
  site.write(request.substr(0, request.size() - 2));
  site.drainUntilClosed();
  site.write("\r\n");
  const std::string response = site.readAll();
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(response.find("Retry-After") != std::string::npos);
  CHECK(response.find("not_run") != std::string::npos);
  CHECK(site.requests.empty());
}

TEST_CASE("a body that cannot be served any more is not read to its end", "[integration][planned_stop]") {
  StoppingSite site(Repeatability::AtMostOnce, false);
  site.connect();
  site.write(headWithBody(kBodyBytes) + "x");
  site.drainUntilClosed();
  const std::string response = site.readAll();
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(site.requests.empty());
}

TEST_CASE("requests in progress get a response before the process ends", "[integration][planned_stop]") {
  SECTION("its back end works on it") {
    StoppingSite site(Repeatability::AtMostOnce, false);
    site.send("one");
    site.awaitRequest(1);
    site.drainUntilClosed();
    CHECK_FALSE(site.done);
    site.process->endRequests();
    site.runUntil([&] { return site.done; });
    CHECK(site.status == kBadGateway);
    site.runUntil([&] { return site.disconnects == 1; });
  }
  SECTION("its head is incomplete") {
    StoppingSite site(Repeatability::AtMostOnce, false);
    site.connect();
    site.write("POST /r/1 HTTP/1.1\r\nHost: d");
    site.drainUntilClosed();
    site.process->endRequests();
    CHECK(site.readAll().starts_with("HTTP/1.1 503"));
  }
  SECTION("its stream can be resumed") {
    StoppingSite site(Repeatability::ResumableStream, true);
    site.send("one");
    ReceivedRequest& stream = site.awaitRequest(1);
    stream.writer->begin(200, sealed("one"));
    stream.writer->write("id: 1\ndata: a\n\nid: 2\nda");
    site.runUntil([&] { return !site.body.empty(); });
    site.drainUntilClosed();
    site.process->endRequests();
    site.runUntil([&] { return site.done; });
    CHECK(site.error);
    CHECK(site.body == "id: 1\ndata: a\n\n");
  }
}

}  // namespace crankspur::gateway
