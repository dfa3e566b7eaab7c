/// @file Fuzz target for the HTTP client, with responses larger than the containers of its library allow. Any
/// bytes of a server, followed by the end of the connection, must end the exchange once; a head is delivered
/// at most once, and before the body. The same holds if the last bytes are repeated for a long time, and what
/// the client holds stays within its limits meanwhile.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>

#include "fuzz_input.h"
#include "http/client.h"

using namespace crankspur;
namespace asio = boost::asio;

namespace {

constexpr std::size_t kBodyBytes = std::size_t{64} * 1024;
/// A collected body, an incomplete line or head, two copies of the head, and one read.
constexpr std::size_t kMaxHeldBytes = kBodyBytes + std::size_t{3} * 64 * 1024 + std::size_t{16} * 1024;
constexpr std::size_t kUnlimitedBytes = std::size_t{1} << 40U;
constexpr std::size_t kRepetitionBytes = std::size_t{512} * 1024;

/// @return the last line of the response again and again, which is one line without an end if it is
/// incomplete.
std::string repetitionOf(const std::string& response) {
  if (response.empty()) return {};
  const std::size_t previous_end = response.substr(0, response.size() - 1).rfind('\n');
  const std::string line = response.substr(previous_end == std::string::npos ? 0 : previous_end + 1);
  std::string repetition;
  while (repetition.size() < kRepetitionBytes) repetition += line;
  return repetition;
}

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
  const auto held = std::make_shared<ByteBudget>(kUnlimitedBytes);
  const auto client = http::makeClient(context.get_executor(), held);
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
  while (ends == 0) {
    context.run_one();
    fuzz::check(held->used() <= kMaxHeldBytes);
  }
  context.poll();
  fuzz::check(ends == 1);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static asio::io_context context{1};
  static ByteServer server(context);
  const std::string response = fuzz::expand(fuzz::asText(data, size));
  for (const std::string& bytes : {response, response + repetitionOf(response)}) {
    for (const bool collects : {true, false}) {
      server.acceptOne(bytes);
      exchange(context, server.address(), collects);
      server.close();
      context.poll();
    }
  }
  return 0;
}
