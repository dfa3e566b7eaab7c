#pragma once
/// @file Server that responds to the requests on each connection with given bytes.

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

namespace crankspur::http {

/// Responds to each request with the next of `responses`, the last one being used for all further requests.
/// An empty response, and one that is marked as the last of its connection, is followed by a close.
class RawServer {
public:
  struct RawResponse {
    std::string bytes;
    bool closes = false;
  };

  RawServer(boost::asio::io_context& context, std::vector<RawResponse> responses)
      : acceptor_(context, {boost::asio::ip::address_v4::loopback(), 0}), responses_(std::move(responses)) {
    accept();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
  std::size_t requests() const { return requests_; }
  std::size_t connections() const { return connections_; }

private:
  struct Connection {
    explicit Connection(boost::asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
    boost::asio::ip::tcp::socket socket;
    std::string received;
  };

  void accept() {
    acceptor_.async_accept([this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
      if (error) return;
      ++connections_;
      receive(std::make_shared<Connection>(std::move(socket)));
      accept();
    });
  }

  void receive(const std::shared_ptr<Connection>& connection) {
    boost::asio::async_read_until(connection->socket, boost::asio::dynamic_buffer(connection->received),
                                  "\r\n\r\n",
                                  [this, connection](boost::system::error_code error, std::size_t bytes) {
                                    if (error) return;
                                    connection->received.erase(0, bytes);
                                    respond(connection);
                                  });
  }

  void respond(const std::shared_ptr<Connection>& connection) {
    const RawResponse& response = responses_[std::min(requests_++, responses_.size() - 1)];
    boost::asio::async_write(connection->socket, boost::asio::buffer(response.bytes),
                             [this, connection, &response](boost::system::error_code error, std::size_t) {
                               if (error || response.closes || response.bytes.empty())
                                 return connection->socket.close();
                               receive(connection);
                             });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<RawResponse> responses_;
  std::size_t requests_ = 0;
  std::size_t connections_ = 0;
};

}  // namespace crankspur::http
