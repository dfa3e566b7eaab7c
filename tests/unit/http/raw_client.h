#pragma once
/// @file Client that writes raw bytes to the server of a fixture.

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>

#include "unit/http/http_fixture.h"

namespace crankspur::http {

/// Collects what the server sends until it closes the connection.
struct RawClient {
  RawClient(HttpFixture& fixture, std::string text) : socket(fixture.context), bytes(std::move(text)) {
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), fixture.server->port()});
    boost::asio::async_write(socket, boost::asio::buffer(bytes),
                             [](boost::system::error_code, std::size_t) {});
    read();
  }
  void read() {
    socket.async_read_some(boost::asio::buffer(chunk),
                           [this](boost::system::error_code error, std::size_t count) {
                             received.append(chunk.data(), count);
                             closed = static_cast<bool>(error);
                             if (!error) read();
                           });
  }
  /// @return the status of the first response; empty before it was received.
  std::string status() const { return received.size() < 12 ? "" : received.substr(9, 3); }

  boost::asio::ip::tcp::socket socket;
  std::string bytes;
  std::array<char, 4096> chunk{};
  std::string received;
  bool closed = false;
};

}  // namespace crankspur::http
