#include "integration/bad_input/raw_call.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>

#include "base/endpoint.h"

namespace crankspur::testing {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::seconds kTimeout{15};

}  // namespace

RawResponse sendRaw(const std::string& address, const std::string& bytes, bool half_close) {
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect(parseEndpoint(address, error));
  RawResponse response;
  std::array<char, 4096> chunk{};
  const std::function<void()> read = [&] {
    socket.async_read_some(asio::buffer(chunk), [&](boost::system::error_code io_error, std::size_t count) {
      response.bytes.append(chunk.data(), count);
      if (!io_error) return read();
      response.closed_by_server = true;
      context.stop();
    });
  };
  read();
  // The server may close the connection before it has read everything, so a write error is not a failure:
  // only the response matters.
  asio::async_write(socket, asio::buffer(bytes), [&](boost::system::error_code io_error, std::size_t) {
    boost::system::error_code ignored;
    if (!io_error && half_close) socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  });
  context.run_for(kTimeout);
  return response;
}

}  // namespace crankspur::testing
