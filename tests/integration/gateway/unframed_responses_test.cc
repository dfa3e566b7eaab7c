/// @file Guards against truncated responses that clients take for complete. A back end that crashes ends its
/// response in the middle; if the response has neither a length nor chunks, only the end of the connection
/// shows. A gateway that adds a length or a last chunk states that such a response is complete.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "integration/gateway/gateway_site.h"

namespace crankspur::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr const char* kStreamHead =
    "HTTP/1.1 200 OK\r\nX-Id: one\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n";
constexpr const char* kPlainHead =
    "HTTP/1.1 200 OK\r\nX-Id: one\r\nX-Seal: s\r\nContent-Type: application/json\r\n";
const std::string kWholeEvent = "id: 1\ndata: a\n\n";

/// Responds to each request with a fixed text, as it stands, and closes the connection.
class RawBackend {
public:
  explicit RawBackend(asio::io_context& context)
      : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

  void closeAll() {
    for (const auto& connection : connections_) connection->socket.close();
  }

  std::vector<std::string> responses;  ///< The last one is used for all further requests.
  bool closes = true;                  ///< False: the connection stays open after the response.
  std::size_t requests = 0;

private:
  struct Connection {
    explicit Connection(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    std::string request;
  };

  void accept() {
    acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
      if (error) return;
      respond(std::make_shared<Connection>(std::move(socket)));
      accept();
    });
  }

  void respond(const std::shared_ptr<Connection>& connection) {
    connections_.push_back(connection);
    const auto on_request = [this, connection](boost::system::error_code error, std::size_t) {
      if (error) return;
      const std::string& text = responses[std::min(requests++, responses.size() - 1)];
      asio::async_write(connection->socket, asio::buffer(text),
                        [this, connection](boost::system::error_code, std::size_t) {
                          if (closes) connection->socket.close();
                        });
    };
    asio::async_read_until(connection->socket, asio::dynamic_buffer(connection->request), "\r\n\r\n",
                           on_request);
  }

  tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<Connection>> connections_;
};

/// Response as the client received it, byte by byte.
struct RawResponse {
  std::string head;
  std::string body;  ///< With the framing of chunks.
  bool reset = false;

  bool hasHeader(const std::string& name) const {
    return head.find("\r\n" + name + ":") != std::string::npos;
  }
};

struct UnframedSite {
  UnframedSite(Repeatability repeatability, bool streaming) : site(repeatability, streaming) {
    auto snapshot = std::make_shared<GatewaySnapshot>(*site.snapshot(repeatability, streaming));
    for (Backend& backend : snapshot->backends) backend.view.address = back_end.address();
    site.process->publish(snapshot);
  }

  void request(const std::string& version = "1.1") {
    socket.connect({asio::ip::make_address("127.0.0.1"), site.process->port()});
    asio::write(socket, asio::buffer("POST /r/1 HTTP/" + version +
                                     "\r\nHost: desk.example\r\nX-Id: one\r\nContent-Length: 0\r\n\r\n"));
  }

  /// Reads until the gateway has closed the connection, or until the received text ends with `end`.
  RawResponse response(const std::string& end = "") {
    bool done = false;
    RawResponse result;
    std::array<char, 4096> piece{};
    std::function<void()> read = [&] {
      socket.async_read_some(asio::buffer(piece), [&](boost::system::error_code error, std::size_t bytes) {
        received.append(piece.data(), bytes);
        result.reset = error == asio::error::connection_reset;
        done = error || (!end.empty() && received.ends_with(end));
        if (!done) read();
      });
    };
    read();
    site.runUntil([&] { return done; });
    const std::size_t head_end = received.find("\r\n\r\n");
    REQUIRE(head_end != std::string::npos);
    result.head = received.substr(0, head_end + 2);
    result.body = received.substr(head_end + 4);
    return result;
  }

  GatewaySite site;
  RawBackend back_end{site.context};
  tcp::socket socket{site.context};
  std::string received;
};

}  // namespace

TEST_CASE("a stream without framing that ends within an event is reset for the client", "[gateway_process]") {
  UnframedSite site(Repeatability::AtMostOnce, true);
  const std::string truncated = GENERATE("id: 2\ndata: b", "id: 2\ndata: b\n", "id: 2\n", ": no");
  INFO(truncated);
  site.back_end.responses = {std::string(kStreamHead) + "\r\n" + kWholeEvent + truncated};
  site.request();
  const RawResponse response = site.response();
  CHECK(response.reset);
  CHECK_FALSE(response.body.ends_with("0\r\n\r\n"));
}

TEST_CASE("a chunked stream that ends within an event is not completed for the client", "[gateway_process]") {
  UnframedSite site(Repeatability::AtMostOnce, true);
  site.back_end.responses = {std::string(kStreamHead) +
                             "Transfer-Encoding: chunked\r\n\r\n6\r\nid: 1\n\r\n0\r\n\r\n"};
  site.request();
  const RawResponse response = site.response();
  CHECK(response.hasHeader("Transfer-Encoding"));
  CHECK_FALSE(response.body.ends_with("0\r\n\r\n"));
}

TEST_CASE("a response that ends with its connection is forwarded with the same framing",
          "[gateway_process]") {
  const bool streaming = GENERATE(true, false);
  const std::string version = GENERATE("1.1", "1.0");
  UnframedSite site(streaming ? Repeatability::ResumableStream : Repeatability::Repeatable, streaming);
  const std::string body = streaming ? kWholeEvent : "{\"a\":";
  site.back_end.responses = {std::string(streaming ? kStreamHead : kPlainHead) + "\r\n" + body};
  site.request(version);
  const RawResponse response = site.response();
  CHECK_FALSE(response.reset);
  CHECK_FALSE(response.hasHeader("Transfer-Encoding"));
  CHECK_FALSE(response.hasHeader("Content-Length"));
  CHECK(response.body == body);
}

// The client already has the head of a chunked response, so that the framing of the second one cannot be
// forwarded.
TEST_CASE("a chunked stream resumed by a response without framing is not completed for the client",
          "[gateway_process]") {
  UnframedSite site(Repeatability::ResumableStream, true);
  site.back_end.responses = {
      std::string(kStreamHead) + "Transfer-Encoding: chunked\r\n\r\nf\r\n" + kWholeEvent + "\r\n",
      std::string(kStreamHead) + "\r\nid: 2\ndata: b\n\n"};
  site.request();
  const RawResponse response = site.response();
  CHECK(site.back_end.requests == 2);
  CHECK(response.body.find("id: 2\ndata: b\n\n") != std::string::npos);
  CHECK_FALSE(response.body.ends_with("0\r\n\r\n"));
}

TEST_CASE("a response that ends within its head is no success for the client", "[gateway_process]") {
  // Guards against a successful response with an empty body: a back end stops after some bytes of its head.
  const bool streaming = GENERATE(false, true);
  const std::string head = std::string(streaming ? kStreamHead : kPlainHead) + "Content-Length: 0\r\n\r\n";
  for (std::size_t length = 1; length < head.size(); length += 3) {
    INFO(length << " bytes of " << head);
    UnframedSite site(Repeatability::AtMostOnce, streaming);
    site.back_end.responses = {head.substr(0, length)};
    site.request();
    CHECK(site.response("}}").head.starts_with("HTTP/1.1 502 "));
    CHECK(site.back_end.requests == 1);
  }
}

TEST_CASE("a stream without framing ends for the client although all its bytes were written before",
          "[gateway_process]") {
  // Guards against responses that never end: a back end closes some time after its last byte, and the gateway
  // closed its own connection only when a write completed.
  UnframedSite site(Repeatability::AtMostOnce, true);
  site.back_end.responses = {std::string(kStreamHead) + "\r\n" + kWholeEvent};
  site.back_end.closes = false;
  site.request();
  site.response(kWholeEvent);
  site.back_end.closeAll();
  const RawResponse response = site.response();
  CHECK_FALSE(response.reset);
  CHECK(response.body == kWholeEvent);
}

TEST_CASE("a gateway that stops in the middle of a response without framing resets it", "[gateway_process]") {
  UnframedSite site(Repeatability::AtMostOnce, true);
  site.back_end.responses = {std::string(kStreamHead) + "\r\n" + kWholeEvent};
  site.back_end.closes = false;
  site.request();
  site.response(kWholeEvent);
  site.site.process.reset();
  CHECK(site.response().reset);
}

}  // namespace crankspur::gateway
