/// @file Fuzz target for the HTTP server, with requests larger than the containers of its library allow. Any
/// client input must end in a response or a closed connection.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "fuzz_input.h"
#include "http/server.h"

using namespace crankspur;
namespace asio = boost::asio;

namespace {

constexpr std::size_t kHeaderBytes = std::size_t{192} * 1024;
constexpr std::size_t kBodyBytes = std::size_t{64} * 1024;

void handleRequest(const http::Request& request, const std::shared_ptr<http::ResponseWriter>& writer) {
  if (request.path() != "/stream") return writer->respond({200, request.headers, request.query("value")});
  writer->begin(200, request.headers);
  writer->write(request.body);
  writer->end();
}

/// A server shared by all inputs of the run.
struct Fixture {
  Fixture() {
    std::error_code error;
    http::ServerLimits limits;
    limits.header_bytes = kHeaderBytes;
    limits.body_bytes = kBodyBytes;
    server = http::listen(context.get_executor(), "127.0.0.1:0", &handleRequest, error, limits);
    fuzz::check(!error);
  }
  asio::io_context context{1};
  std::unique_ptr<http::Server> server;
};

/// Connects asynchronously, because libFuzzer's timer signal interrupts a blocking connect().
void connect(asio::ip::tcp::socket& socket, Fixture& fixture) {
  bool connected = false;
  socket.async_connect({asio::ip::address_v4::loopback(), fixture.server->port()},
                       [&](boost::system::error_code error) {
                         fuzz::check(!error);
                         connected = true;
                       });
  while (!connected) fixture.context.run_one();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static Fixture fixture;
  asio::ip::tcp::socket socket(fixture.context);
  connect(socket, fixture);
  const std::string input = fuzz::expand(fuzz::asText(data, size));
  bool written = false;
  asio::async_write(socket, asio::buffer(input), [&](boost::system::error_code, std::size_t) {
    boost::system::error_code ignored;
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    written = true;
  });
  bool ended = false;
  std::array<char, 4096> chunk{};
  std::function<void()> read = [&] {
    socket.async_read_some(asio::buffer(chunk), [&](boost::system::error_code error, std::size_t) {
      ended = static_cast<bool>(error);
      if (!ended) read();
    });
  };
  read();
  while (!ended || !written) fixture.context.run_one();
  fuzz::check(fixture.server->openRequests() == 0);
  return 0;
}
