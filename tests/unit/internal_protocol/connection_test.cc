#include "internal_protocol/connection.h"

#include <array>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>

#include "internal_protocol/codec.h"
#include "unit/run_until.h"

using namespace crankspur;
namespace asio = boost::asio;

namespace {

Hello makeHello(const std::string& name, std::uint32_t lowest = 1, std::uint32_t highest = 1) {
  Hello hello;
  hello.node_name = name;
  hello.lowest_version = lowest;
  hello.highest_version = highest;
  return hello;
}

/// A peer that does not implement the protocol: it records the bytes that it receives.
struct RawPeer {
  explicit RawPeer(asio::ip::tcp::socket connected) : socket(std::move(connected)) { read(); }
  void read() {
    socket.async_read_some(asio::buffer(chunk), [this](boost::system::error_code error, std::size_t bytes) {
      received.append(chunk.data(), bytes);
      if (!error) return read();
      socket.close();
    });
  }
  asio::ip::tcp::socket socket;
  std::array<char, 1024> chunk{};
  std::string received;
};

/// Events recorded at one end of a connection.
struct ConnectionEnd {
  std::shared_ptr<FrameConnection> connection;
  std::optional<Hello> hello;
  std::vector<Message> messages;
  int close_count = 0;
  std::error_code reason;

  FrameConnection::Callbacks callbacks() {
    FrameConnection::Callbacks result;
    result.on_hello = [this](const Hello& peer) { hello = peer; };
    result.on_message = [this](Message message) { messages.push_back(std::move(message)); };
    result.on_closed = [this](std::error_code error) {
      ++close_count;
      reason = error;
    };
    return result;
  }
};

struct Fixture {
  explicit Fixture(Hello server_hello = makeHello("server"), ConnectionLimits server_limits = {}) {
    std::error_code error;
    const auto accept = [this](std::shared_ptr<FrameConnection> connection) {
      server.connection = connection;
      return server.callbacks();
    };
    const auto hello = [server_hello] { return server_hello; };
    listener = listenFrames(context.get_executor(), "127.0.0.1:0", hello, accept, error, server_limits);
    REQUIRE_FALSE(error);
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(listener->port()); }

  void connect(Hello hello = makeHello("client"), ConnectionLimits limits = {}) {
    client.connection =
        connectFrames(context.get_executor(), address(), std::move(hello), client.callbacks(), limits);
  }

  asio::ip::tcp::socket connectRaw() {
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), listener->port()});
    return socket;
  }

  void runUntil(const std::function<bool()>& condition) { crankspur::runUntil(context, condition); }

  asio::io_context context{1};
  ConnectionEnd server;
  ConnectionEnd client;
  std::unique_ptr<FrameListener> listener;
};

}  // namespace

TEST_CASE("both sides receive the peer's Hello, and messages keep their order", "[internal_protocol]") {
  Fixture fixture;
  fixture.connect();
  for (std::uint64_t offset = 0; offset < 1000; ++offset) {
    fixture.client.connection->send(StreamPiece{"r", 1, offset, 1, std::string(1000, 'x')});
  }
  fixture.runUntil([&] { return fixture.server.messages.size() == 1000 && fixture.client.hello; });
  CHECK(fixture.server.hello->node_name == "client");
  CHECK(fixture.client.hello->node_name == "server");
  bool ordered = true;
  for (std::uint64_t offset = 0; offset < 1000; ++offset) {
    ordered = ordered && std::get<StreamPiece>(fixture.server.messages[offset]).offset == offset;
  }
  CHECK(ordered);
}

TEST_CASE("a flushed close delivers queued messages and closes both sides once", "[internal_protocol]") {
  Fixture fixture;
  fixture.connect();
  fixture.runUntil([&] { return fixture.client.hello && fixture.server.hello; });
  fixture.client.connection->send(Cancel{"r", 7});
  fixture.client.connection->close(true);
  fixture.client.connection->close(false);
  CHECK(fixture.client.close_count == 0);
  fixture.runUntil([&] { return fixture.client.close_count > 0 && fixture.server.close_count > 0; });
  CHECK_FALSE(fixture.client.reason);
  CHECK(fixture.server.reason);
  REQUIRE(fixture.server.messages.size() == 1);
  CHECK(std::get<Cancel>(fixture.server.messages[0]).attempt == 7);
}

TEST_CASE("peers with a common version connect, without one both close with VersionMismatch",
          "[internal_protocol]") {
  Fixture fixture(makeHello("server", 2, 4));
  SECTION("common") {
    fixture.connect(makeHello("client", 1, 2));
    fixture.runUntil([&] { return fixture.client.hello && fixture.server.hello; });
    CHECK(fixture.server.close_count == 0);
  }
  SECTION("none") {
    fixture.connect(makeHello("client", 5, 6));
    fixture.runUntil([&] { return fixture.client.close_count > 0 && fixture.server.close_count > 0; });
    CHECK(fixture.client.reason == make_error_code(ErrorCode::VersionMismatch));
    CHECK(fixture.server.reason == make_error_code(ErrorCode::VersionMismatch));
    CHECK_FALSE(fixture.server.hello);
  }
}

TEST_CASE("garbage or a message before Hello closes only the connection it was received on",
          "[internal_protocol]") {
  Fixture fixture;
  fixture.connect();
  fixture.runUntil([&] { return fixture.server.hello && fixture.client.hello; });
  ConnectionEnd healthy = std::move(fixture.server);
  const bool garbage = GENERATE(true, false);
  RawPeer raw(fixture.connectRaw());
  asio::write(raw.socket, asio::buffer(garbage ? std::string(64, '\xff') : encodeFrame(Cancel{"r", 1})));
  fixture.server = ConnectionEnd{};
  fixture.runUntil([&] { return fixture.server.close_count > 0; });
  CHECK(fixture.server.messages.empty());
  CHECK(fixture.server.reason == make_error_code(garbage ? ErrorCode::TooLarge : ErrorCode::Malformed));
  CHECK(fixture.client.close_count == 0);
  const DecodedFrame first = decodeFrame(raw.received);
  const DecodedFrame second = decodeFrame(std::string_view(raw.received).substr(first.consumed));
  REQUIRE(second.message);
  CHECK(std::get<ProtocolError>(*second.message).code ==
        (garbage ? ErrorCode::TooLarge : ErrorCode::Malformed));
}

TEST_CASE("a peer that never sends Hello is disconnected", "[internal_protocol]") {
  ConnectionLimits limits;
  limits.hello_timeout = std::chrono::milliseconds(50);
  Fixture fixture(makeHello("server"), limits);
  asio::ip::tcp::socket raw = fixture.connectRaw();
  fixture.runUntil([&] { return fixture.server.close_count > 0; });
  CHECK(fixture.server.reason == make_error_code(ErrorCode::DeadlineExceeded));
}

TEST_CASE("a peer that does not read is disconnected when the write queue is full", "[internal_protocol]") {
  ConnectionLimits limits;
  limits.write_queue_bytes = 1024 * 1024;
  Fixture fixture(makeHello("server"), limits);
  asio::ip::tcp::socket raw = fixture.connectRaw();
  asio::write(raw, asio::buffer(encodeFrame(makeHello("raw"))));
  fixture.runUntil([&] { return fixture.server.hello.has_value(); });
  const StreamPiece piece{"r", 1, 0, 1, std::string(512 * 1024, 'x')};
  for (int count = 0; count < 3; ++count) fixture.server.connection->send(piece);
  CHECK(fixture.server.close_count == 0);
  fixture.runUntil([&] { return fixture.server.close_count > 0; });
  CHECK(fixture.server.reason == make_error_code(ErrorCode::TooLarge));
}

TEST_CASE("a failed connect is reported", "[internal_protocol]") {
  Fixture fixture;
  const std::string address = GENERATE(true, false) ? fixture.address() : "no address";
  fixture.listener.reset();
  fixture.client.connection =
      connectFrames(fixture.context.get_executor(), address, makeHello("client"), fixture.client.callbacks());
  fixture.runUntil([&] { return fixture.client.close_count > 0; });
  CHECK(fixture.client.reason);
}
