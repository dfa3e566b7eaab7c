/// @file Guards against responses that fill the memory of the process together: each connection had limits,
/// and what many servers had sent was in no sum.

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "http/client.h"
#include "unit/http/raw_server.h"
#include "unit/run_until.h"

using namespace crankspur;
using namespace crankspur::http;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::size_t kBudgetBytes = std::size_t{256} * 1024;
constexpr std::size_t kPartBytes = std::size_t{60} * 1024;
constexpr std::size_t kExchanges = 20;
const std::string kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Exchanges with a server that sends the same bytes to each and then nothing.
struct ReceivingFixture {
  explicit ReceivingFixture(const std::string& bytes) : server(context, {{bytes, false}}) {}

  void start(ExchangeCallbacks callbacks = {}) {
    callbacks.on_done = [this](std::error_code error, SendState, const Response&) { ended.push_back(error); };
    ExchangeOptions options;
    options.idle_timeout = 1s;
    client->start(server.address(), {"POST", "/", {}, "x"}, std::move(callbacks), options);
  }

  /// Runs until all exchanges have ended.
  /// @return the most bytes of the budget that were used.
  std::size_t run() {
    std::size_t most = 0;
    runUntil(context, [&] {
      most = std::max(most, budget->used());
      return ended.size() == kExchanges;
    });
    return most;
  }

  std::size_t failedAs(ErrorCode code) const {
    return static_cast<std::size_t>(std::count(ended.begin(), ended.end(), make_error_code(code)));
  }

  asio::io_context context{1};
  std::shared_ptr<ByteBudget> budget = std::make_shared<ByteBudget>(kBudgetBytes);
  std::unique_ptr<Client> client = makeClient(context.get_executor(), budget);
  RawServer server;
  std::vector<std::error_code> ended;
};

}  // namespace

TEST_CASE("what many servers send and is not passed on stays within the budget", "[http][received_bytes]") {
  std::string bytes;
  SECTION("lines that are incomplete") {
    bytes = kChunkedHead + std::string(kPartBytes, '1');
  }
  SECTION("heads that are incomplete") {
    bytes = "HTTP/1.1 200 OK\r\nX-Fill: " + std::string(kPartBytes, 'x');
  }
  SECTION("heads whose bodies do not come") {
    bytes = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nX-Fill: " + std::string(kPartBytes, 'x') + "\r\n\r\n";
  }
  SECTION("collected bodies that are incomplete") {
    bytes = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + std::string(kPartBytes, 'x');
  }
  ReceivingFixture fixture(bytes);
  for (std::size_t count = 0; count < kExchanges; ++count) fixture.start();
  CHECK(fixture.run() <= kBudgetBytes + kExchanges * 16 * 1024);
  CHECK(fixture.failedAs(ErrorCode::Overloaded) >= kExchanges - kBudgetBytes / kPartBytes);
  CHECK(fixture.failedAs(ErrorCode::Overloaded) + fixture.failedAs(ErrorCode::DeadlineExceeded) ==
        kExchanges);
  CHECK(fixture.failedAs(ErrorCode::DeadlineExceeded) > 0);
  CHECK(fixture.budget->used() == 0);
}

// A field takes many times the memory of its text.
TEST_CASE("the fields of heads count with the memory that they take", "[http][received_bytes]") {
  std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n";
  for (int field = 100; field < 1'000; ++field) bytes += std::to_string(field) + ":\r\n";
  ReceivingFixture fixture(bytes + "\r\n");
  for (std::size_t count = 0; count < kExchanges; ++count) fixture.start();
  CHECK(fixture.run() <= kBudgetBytes + kExchanges * 16 * 1024);
  CHECK(fixture.failedAs(ErrorCode::Overloaded) > kExchanges / 2);
}

TEST_CASE("a head with very many fields cannot be read", "[http][received_bytes]") {
  std::string bytes = "HTTP/1.1 200 OK\r\n";
  for (int field = 0; field < 2'000; ++field) bytes += std::to_string(field) + ":\r\n";
  ReceivingFixture fixture(bytes + "\r\n");
  for (std::size_t count = 0; count < kExchanges; ++count) fixture.start();
  fixture.run();
  CHECK(fixture.failedAs(ErrorCode::TooLarge) == kExchanges);
}

TEST_CASE("parts of a body that are passed on take nothing of the budget", "[http][received_bytes]") {
  ReceivingFixture fixture("HTTP/1.1 200 OK\r\nContent-Length: 61440\r\n\r\n" + std::string(kPartBytes, 'x'));
  std::size_t received = 0;
  for (std::size_t count = 0; count < kExchanges; ++count) {
    ExchangeCallbacks callbacks;
    callbacks.on_data = [&](std::string_view piece) { received += piece.size(); };
    fixture.start(callbacks);
  }
  CHECK(fixture.run() < kExchanges * 1024);
  CHECK(received == kExchanges * kPartBytes);
  CHECK(fixture.failedAs(ErrorCode::Overloaded) == 0);
}

TEST_CASE("small responses are received while the budget is used up", "[http][received_bytes]") {
  ReceivingFixture fixture("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  ByteReservation others(fixture.budget);
  others.resize(kBudgetBytes);
  for (std::size_t count = 0; count < kExchanges; ++count) fixture.start();
  fixture.run();
  CHECK(std::count(fixture.ended.begin(), fixture.ended.end(), std::error_code()) == kExchanges);
}

TEST_CASE("an exchange counts towards the budget that it names", "[http][received_bytes]") {
  ReceivingFixture fixture("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" +
                           std::string(kPartBytes, 'x'));
  const auto part = std::make_shared<ByteBudget>(kPartBytes / 2, fixture.budget);
  std::optional<std::error_code> ended;
  ExchangeCallbacks callbacks;
  callbacks.on_done = [&](std::error_code error, SendState, const Response&) { ended = error; };
  ExchangeOptions options;
  options.budget = part;
  fixture.client->start(fixture.server.address(), {"POST", "/", {}, "x"}, callbacks, options);
  runUntil(fixture.context, [&] { return ended.has_value(); });
  CHECK(*ended == ErrorCode::Overloaded);
  CHECK(part->used() == 0);
}
