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

constexpr std::chrono::seconds kPatience{15};

}  // namespace

RawAnswer sendRaw(const std::string& address, const std::string& bytes, bool half_close) {
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect(parseEndpoint(address, error));
  RawAnswer answer;
  std::array<char, 4096> chunk{};
  const std::function<void()> read = [&] {
    socket.async_read_some(asio::buffer(chunk), [&](boost::system::error_code failure, std::size_t count) {
      answer.bytes.append(chunk.data(), count);
      if (!failure) return read();
      answer.ended = true;
      context.stop();
    });
  };
  read();
  // The server may end the connection before it has read everything; what it answered counts.
  asio::async_write(socket, asio::buffer(bytes), [&](boost::system::error_code failure, std::size_t) {
    boost::system::error_code ignored;
    if (!failure && half_close) socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  });
  context.run_for(kPatience);
  return answer;
}

}  // namespace crankspur::testing
