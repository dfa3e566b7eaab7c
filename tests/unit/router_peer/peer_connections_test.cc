#include "router_peer/peer_connections.h"

#include <array>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "internal_protocol/codec.h"
#include "unit/run_until.h"

using namespace crankspur;
namespace asio = boost::asio;

namespace {

Hello makeHello(const std::string& name, NodeRole role) {
  Hello hello;
  hello.node_name = name;
  hello.role = role;
  hello.lowest_version = 1;
  hello.highest_version = 1;
  return hello;
}

PeerConnectionCallbacks noOpCallbacks() {
  PeerConnectionCallbacks callbacks;
  callbacks.on_submit = [](SidecarId, const SubmitRequest&) {};
  callbacks.on_cancel = [](SidecarId, const Cancel&) {};
  callbacks.on_sidecar_lost = [](SidecarId) {};
  return callbacks;
}

/// The connections of a router, and the raw socket of one sidecar that reads only on readToEnd().
struct Fixture {
  Fixture() {
    REQUIRE_FALSE(connections.listen("127.0.0.1:0"));
    socket.open(asio::ip::tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(65536));
    socket.connect({asio::ip::make_address("127.0.0.1"), connections.port()});
    asio::write(socket, asio::buffer(encodeFrame(makeHello("sidecar", NodeRole::Sidecar))));
    runUntil([this] { return connections.counts().sidecars == 1; });
  }

  void runUntil(const std::function<bool()>& condition) { crankspur::runUntil(context, condition); }

  void readToEnd() {
    socket.async_read_some(asio::buffer(chunk), [this](boost::system::error_code error, std::size_t bytes) {
      received += bytes;
      if (!error) return readToEnd();
      socket.close();
    });
  }

  asio::io_context context{1};
  PeerConnections connections{context.get_executor(), makeHello("router", NodeRole::Router), noOpCallbacks()};
  asio::ip::tcp::socket socket{context};
  std::array<char, 65536> chunk{};
  std::size_t received = 0;
};

}  // namespace

TEST_CASE("stopping completes only when a slow sidecar has read its last message", "[router_peer]") {
  Fixture fixture;
  // Exceeds the kernel's socket buffers, so that the last bytes are sent only while the sidecar reads.
  constexpr int kPieces = 8;
  const std::string text(std::size_t{1} << 20U, 'x');
  const SidecarId sidecar = 1;
  for (std::uint64_t piece = 0; piece < kPieces; ++piece) {
    fixture.connections.sendToSidecars({{sidecar, StreamPiece{"r", 1, piece * text.size(), 1, text}}});
  }
  int completions = 0;
  fixture.connections.stop([&completions] { ++completions; });
  // Run all handlers that do not depend on the sidecar.
  while (fixture.context.poll() > 0) {
  }
  CHECK(completions == 0);
  fixture.readToEnd();
  fixture.runUntil([&] { return completions > 0; });
  CHECK(completions == 1);
  CHECK(fixture.received > kPieces * text.size());
}

TEST_CASE("stopping without connections completes immediately", "[router_peer]") {
  asio::io_context context{1};
  PeerConnections connections(context.get_executor(), makeHello("router", NodeRole::Router), noOpCallbacks());
  REQUIRE_FALSE(connections.listen("127.0.0.1:0"));
  int completions = 0;
  connections.stop([&completions] { ++completions; });
  CHECK(completions == 1);
}
