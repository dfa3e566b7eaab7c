/// @file Guards against gateways that hold all of a response which their client does not read: 400 such
/// responses of 4 MiB made a process use more memory than it may.

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "integration/gateway/gateway_site.h"

namespace crankspur::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t kBudgetBytes = 100'000'000;
constexpr std::size_t kResponseBytes = 12'000'000;
constexpr std::size_t kPieceBytes = 50'000;
/// What the gateway reads ahead of its client, and a response that is being collected.
constexpr std::size_t kMaxHeldBytes = 3'000'000;

struct UnreadSite : GatewaySite {
  explicit UnreadSite(std::shared_ptr<ByteBudget> held)
      : GatewaySite(Repeatability::ResumableStream, true, {}, held), budget(std::move(held)) {}

  /// A client that has sent a request and reads nothing yet.
  void connect() {
    socket.open(tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(16'384));
    socket.connect({asio::ip::make_address("127.0.0.1"), process->port()});
    asio::write(socket, asio::buffer(std::string("POST /r/1 HTTP/1.1\r\nHost: desk.example\r\nX-Id: one\r\n"
                                                 "Content-Length: 0\r\n\r\n")));
  }

  /// Sends the response in pieces while little of it is queued here, as a back end does that TCP holds back.
  void sendResponse(const std::shared_ptr<http::ResponseWriter>& writer, bool ends = true) {
    const auto feed = [this, writer, ends] {
      while (sent < kResponseBytes && writer->queuedBytes() < 200'000) {
        writer->write("id: " + std::to_string(++events) + "\ndata: " + std::string(kPieceBytes, 'x') +
                      "\n\n");
        sent += kPieceBytes;
      }
      if (ends && sent >= kResponseBytes && !std::exchange(ended, true)) writer->end();
    };
    writer->onQueueWritten(feed);
    writer->begin(200, sealed("one"));
    feed();
  }

  void runFor(std::chrono::milliseconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    runUntil([&] { return std::chrono::steady_clock::now() >= end; });
  }

  void readAll() {
    socket.async_read_some(asio::buffer(chunk), [this](boost::system::error_code failure, std::size_t bytes) {
      received.append(chunk.data(), bytes);
      if (!failure) readAll();
    });
  }

  std::shared_ptr<ByteBudget> budget;
  tcp::socket socket{context};
  std::array<char, 65'536> chunk{};
  std::string received;
  std::size_t sent = 0;
  std::size_t events = 0;
  bool ended = false;
};

}  // namespace

TEST_CASE("a stream is not read further than its client reads, and goes on when it does",
          "[integration][unread]") {
  UnreadSite site(std::make_shared<ByteBudget>(kBudgetBytes));
  site.connect();
  site.sendResponse(site.awaitRequest(1).writer);
  site.runFor(std::chrono::milliseconds(1'500));
  CHECK(site.budget->used() > 0);
  CHECK(site.budget->used() < kMaxHeldBytes);
  CHECK(site.requests.size() == 1);  // The back end that is held back does not count as silent.
  site.readAll();
  site.runUntil([&] { return site.received.ends_with("\r\n0\r\n\r\n"); });
  CHECK(site.received.size() > kResponseBytes);
  CHECK(site.received.find("id: " + std::to_string(site.events) + "\n") != std::string::npos);
  CHECK(site.requests.size() == 1);
  site.runFor(std::chrono::milliseconds(50));
  CHECK(site.budget->used() < kPieceBytes);
}

TEST_CASE("a back end that is held back is released when its client leaves", "[integration][unread]") {
  UnreadSite site(std::make_shared<ByteBudget>(kBudgetBytes));
  site.connect();
  site.sendResponse(site.awaitRequest(1).writer, false);
  site.runFor(std::chrono::milliseconds(500));
  site.socket.close();
  site.runUntil([&] { return site.disconnects > 0; });
  CHECK(site.budget->used() < kPieceBytes);
}

TEST_CASE("nothing is read ahead of clients while the budget is nearly used up", "[integration][unread]") {
  const auto budget = std::make_shared<ByteBudget>(kBudgetBytes);
  ByteReservation others(budget);
  others.resize(kBudgetBytes * 8 / 10);
  UnreadSite site(budget);
  site.connect();
  site.sendResponse(site.awaitRequest(1).writer);
  site.runFor(std::chrono::milliseconds(700));
  CHECK(budget->used() - others.bytes() < 300'000);
  site.readAll();
  site.runUntil([&] { return site.received.ends_with("\r\n0\r\n\r\n"); });
  CHECK(site.received.size() > kResponseBytes);
}

}  // namespace crankspur::gateway
