/// @file Fuzz target for the HTTP client, with responses larger than the containers of its library allow. Any
/// bytes of a server, followed by the end of the connection, must end the exchange once; a head is delivered
/// at most once, and before the body.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "fuzz_input.h"
#include "http/client.h"

using namespace crankspur;
namespace asio = boost::asio;

namespace {

constexpr std::size_t kBodyBytes = std::size_t{64} * 1024;

/// Sends the same bytes on each connection, whatever it receives, and closes it.
class ByteServer {
public:
  explicit ByteServer(asio::io_context& context)
      : acceptor_(context, {asio::ip::address_v4::loopback(), 0}), socket_(context) {}

  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

  void acceptOne(const std::string& bytes) {
    acceptor_.async_accept(socket_, [this, &bytes](boost::system::error_code error) {
      fuzz::check(!error);
      asio::async_write(socket_, asio::buffer(bytes), [this](boost::system::error_code, std::size_t) {
        boost::system::error_code ignored;
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
      });
    });
  }

  void close() { socket_.close(); }

private:
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket socket_;
};

/// Runs one exchange, with a body that is collected or passed on in parts.
void exchange(asio::io_context& context, const std::string& address, bool collects) {
  context.restart();  // It stops when the exchange before has left no work.
  const auto client = http::makeClient(context.get_executor());
  http::ExchangeOptions options;
  options.body_bytes = kBodyBytes;
  int heads = 0;
  int ends = 0;
  http::ExchangeCallbacks callbacks;
  callbacks.on_headers = [&](int, const http::Headers&, http::BodyFraming) { ++heads; };
  if (!collects) callbacks.on_data = [&](std::string_view) { fuzz::check(heads == 1 && ends == 0); };
  callbacks.on_done = [&](std::error_code error, http::SendState, const http::Response&) {
    fuzz::check(heads <= 1 && (error || heads == 1));
    ++ends;
  };
  client->start(address, {"GET", "/", {}, {}}, callbacks, options);
  while (ends == 0) context.run_one();
  context.poll();
  fuzz::check(ends == 1);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static asio::io_context context{1};
  static ByteServer server(context);
  const std::string response = fuzz::expand(fuzz::asText(data, size));
  for (const bool collects : {true, false}) {
    server.acceptOne(response);
    exchange(context, server.address(), collects);
    server.close();
    context.poll();
  }
  return 0;
}
