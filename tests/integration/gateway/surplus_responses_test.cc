/// @file Guards against requests that run twice. A back end sends a response twice, and the copy arrives
/// while a health request is pending on the same connection. If the copy is taken for the health response,
/// the health response, a rejection, is taken for the response to the next request, which then runs at two
/// back ends.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <deque>

#include "integration/gateway/gateway_site.h"

namespace crankspur::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr const char* kRejection = "HTTP/1.1 503 Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

std::string responseTo(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n";
}

/// Back end with these faults: it breaks off the response to the request "broken", and it sends its last
/// response on a connection again when a health request arrives there. It rejects health requests, on a
/// connection with other requests only when the next of them has arrived.
class FaultyBackend {
public:
  explicit FaultyBackend(asio::io_context& context)
      : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
  /// Sends the responses that were held back.
  void respondToAll() {
    holds_responses = false;
    for (const Held& held : std::exchange(held_, {})) respond(held.connection, held.id);
  }
  std::size_t heldResponses() const { return held_.size(); }

  bool holds_responses = false;
  std::vector<std::string> runs;  ///< Ids of the requests that it runs.
  std::size_t health_requests = 0;

private:
  struct Connection {
    explicit Connection(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    std::string received;
    std::string last_response;
    bool owes_rejection = false;
  };
  using ConnectionPointer = std::shared_ptr<Connection>;
  struct Held {
    ConnectionPointer connection;
    std::string id;
  };

  void accept() {
    acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
      if (error) return;
      receive(std::make_shared<Connection>(std::move(socket)));
      accept();
    });
  }

  void receive(const ConnectionPointer& connection) {
    const auto on_head = [this, connection](boost::system::error_code error, std::size_t bytes) {
      if (error) return;
      const std::string head = connection->received.substr(0, bytes);
      connection->received.erase(0, bytes);
      if (head.starts_with("GET /health ")) {
        onHealthRequest(connection);
      } else {
        onRequest(connection, idOf(head));
      }
      receive(connection);
    };
    asio::async_read_until(connection->socket, asio::dynamic_buffer(connection->received), "\r\n\r\n",
                           on_head);
  }

  static std::string idOf(const std::string& head) {
    const std::size_t begin = head.find("X-Id: ") + 6;
    return head.substr(begin, head.find("\r\n", begin) - begin);
  }

  void onHealthRequest(const ConnectionPointer& connection) {
    ++health_requests;
    if (connection->last_response.empty()) return send(connection, kRejection);
    send(connection, connection->last_response);
    connection->owes_rejection = true;
  }

  void onRequest(const ConnectionPointer& connection, const std::string& id) {
    if (std::exchange(connection->owes_rejection, false)) send(connection, kRejection);
    runs.push_back(id);
    if (holds_responses) return held_.push_back({connection, id});
    respond(connection, id);
  }

  void respond(const ConnectionPointer& connection, const std::string& id) {
    if (id == "broken") {
      connection->socket.set_option(asio::socket_base::linger(true, 0));
      return connection->socket.close();
    }
    connection->last_response = responseTo(id);
    send(connection, connection->last_response);
  }

  static void send(const ConnectionPointer& connection, const std::string& text) {
    boost::system::error_code ignored;
    asio::write(connection->socket, asio::buffer(text), ignored);
  }

  tcp::acceptor acceptor_;
  std::deque<Held> held_;
};

/// A gateway before one faulty back end under two addresses, so that a request may be sent a second time.
struct SurplusSite {
  SurplusSite() : site(Repeatability::AtMostOnce, false) {
    auto snapshot = std::make_shared<GatewaySnapshot>(*site.snapshot(Repeatability::AtMostOnce, false));
    auto configuration = std::make_shared<Configuration>(*snapshot->configuration);
    configuration->pools.front().health_path = "/health";
    snapshot->configuration = configuration;
    snapshot->backends.front().view.address = back_end.address();
    snapshot->backends.back().view.address = other_back_end.address();
    site.process->publish(snapshot);
  }

  /// Sends a request on a connection of its own.
  /// @return a reference to its status, which is 0 until it has a response.
  const int& send(const std::string& id) {
    statuses.push_back(0);
    int& status = statuses.back();
    http::Request request;
    request.method = "POST";
    request.target = "/r/1";
    request.headers = {{"Host", "desk.example"}, {"X-Id", id}};
    http::ExchangeCallbacks callbacks;
    callbacks.on_done = [&status](std::error_code, http::SendState, const http::Response& response) {
      status = response.status;
    };
    site.client->start("127.0.0.1:" + std::to_string(site.process->port()), std::move(request), callbacks);
    return status;
  }

  std::size_t runsOf(const std::string& id) const {
    return static_cast<std::size_t>(std::count(back_end.runs.begin(), back_end.runs.end(), id) +
                                    std::count(other_back_end.runs.begin(), other_back_end.runs.end(), id));
  }

  GatewaySite site;
  FaultyBackend back_end{site.context};
  FaultyBackend other_back_end{site.context};
  std::deque<int> statuses;
};

}  // namespace

TEST_CASE(
    "a surplus response is not taken for a health response, and a rejected health request not for a "
    "rejected request",
    "[gateway_process][response_owner]") {
  SurplusSite site;
  // Both back ends get a request to answer and one to break off, on two connections each.
  for (FaultyBackend* back_end : {&site.back_end, &site.other_back_end}) back_end->holds_responses = true;
  std::vector<const int*> statuses;
  for (const char* id : {"a", "b", "broken", "broken"}) {
    statuses.push_back(&site.send(id));
    const std::size_t sent = statuses.size();
    site.site.runUntil(
        [&] { return site.back_end.heldResponses() + site.other_back_end.heldResponses() == sent; });
  }
  for (FaultyBackend* back_end : {&site.back_end, &site.other_back_end}) back_end->respondToAll();
  site.site.runUntil([&] {
    return std::all_of(statuses.begin(), statuses.end(), [](const int* status) { return *status != 0; });
  });
  site.site.runUntil([&] { return site.back_end.health_requests + site.other_back_end.health_requests > 0; });
  for (const char* id : {"c", "d", "e", "f"}) {
    INFO(id);
    const int& status = site.send(id);
    site.site.runUntil([&] { return status != 0; });
    CHECK(status == 200);
    CHECK(site.runsOf(id) == 1);
  }
}

}  // namespace crankspur::gateway
