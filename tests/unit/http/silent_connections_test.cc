/// @file Guards against repeated timeouts when all established connections fall silent permanently, without a
/// reset, while new ones work: the client tried its idle connections one after another, and each cost a
/// caller the full response timeout.

#include <catch2/catch.hpp>

#include "standins/fault_proxy/fault_proxy.h"
#include "standins/fault_proxy/fault_settings.h"
#include "unit/http/http_fixture.h"

using namespace crankspur;
using namespace crankspur::http;
using namespace std::chrono_literals;

namespace {

/// Client with idle connections through a proxy to a server that responds immediately.
struct IdleConnectionsFixture : HttpFixture {
  explicit IdleConnectionsFixture(std::size_t connection_count)
      : HttpFixture([](const Request&, const std::shared_ptr<ResponseWriter>& writer) {
          writer->respond({200, {}, "answer"});
        }) {
    REQUIRE_FALSE(proxy.addRoute({"server", "127.0.0.1:0", address()}));
    // Concurrent exchanges, each on its own connection.
    std::size_t done = 0;
    for (std::size_t index = 0; index < connection_count; ++index)
      start([&done](std::error_code) { ++done; });
    runUntil([&] { return done == connection_count; });
  }

  void start(std::function<void(std::error_code)> done) { start(std::move(done), proxy.ports().front()); }

  void start(std::function<void(std::error_code)> done, std::uint16_t port) {
    ExchangeOptions options;
    options.idle_timeout = 400ms;
    ExchangeCallbacks callbacks;
    callbacks.on_done = [done = std::move(done)](std::error_code error, SendState, const Response&) {
      done(error);
    };
    client->start("127.0.0.1:" + std::to_string(port), {"POST", "/", {}, "x"}, callbacks, options);
  }

  std::error_code exchange() {
    std::optional<std::error_code> outcome;
    start([&outcome](std::error_code error) { outcome = error; });
    runUntil([&] { return outcome.has_value(); });
    return *outcome;
  }

  /// Runs an exchange with one of several servers behind the proxy.
  std::error_code runExchangeOnRoute(std::size_t route) {
    const std::uint16_t port = proxy.ports().at(route);
    std::optional<std::error_code> outcome;
    start([&outcome](std::error_code error) { outcome = error; }, port);
    runUntil([&] { return outcome.has_value(); });
    return *outcome;
  }

  void silenceOpenConnections() {
    standin::ControlCommand command;
    command.silence_open = 1;
    proxy.apply(command);
  }

  standin::FaultProxy proxy{context.get_executor(), 1};
};

}  // namespace

TEST_CASE("idle connections that fell silent fail one exchange, not one each", "[http][silent_connections]") {
  IdleConnectionsFixture fixture(5);
  fixture.silenceOpenConnections();
  CHECK(fixture.exchange());
  CHECK_FALSE(fixture.exchange());
  CHECK_FALSE(fixture.exchange());
}

TEST_CASE("after timeouts at two servers the idle connections to a third are not used",
          "[http][silent_connections]") {
  IdleConnectionsFixture fixture(1);
  for (std::size_t route = 1; route < 3; ++route) {
    REQUIRE_FALSE(fixture.proxy.addRoute({"more", "127.0.0.1:0", fixture.address()}));
    REQUIRE_FALSE(fixture.runExchangeOnRoute(route));
  }
  int silence_reports = 0;
  fixture.client->setSilentConnectionsHandler([&silence_reports] { ++silence_reports; });
  fixture.silenceOpenConnections();
  CHECK(fixture.runExchangeOnRoute(0));
  CHECK(silence_reports == 0);
  CHECK(fixture.runExchangeOnRoute(1));
  CHECK(silence_reports == 1);
  CHECK_FALSE(fixture.runExchangeOnRoute(2));
}

TEST_CASE("an exchange cancelled for silence counts as a response timeout", "[http][silent_connections]") {
  IdleConnectionsFixture fixture(4);
  fixture.silenceOpenConnections();
  const auto exchange = fixture.client->start("127.0.0.1:" + std::to_string(fixture.proxy.ports().front()),
                                              {"POST", "/", {}, "x"}, {}, {});
  fixture.context.run_for(50ms);
  exchange->cancelTimedOut();
  CHECK_FALSE(fixture.exchange());
}

TEST_CASE("a connection reset long after the request is reported to the caller",
          "[http][silent_connections]") {
  // The server holds the second request open.
  std::vector<std::shared_ptr<ResponseWriter>> held_writers;
  int requests = 0;
  HttpFixture fixture([&](const Request&, const std::shared_ptr<ResponseWriter>& writer) {
    if (++requests == 1) return writer->respond({200, {}, "answer"});
    held_writers.push_back(writer);
  });
  REQUIRE_FALSE(fixture.run({"GET", "/", {}, ""}).error);
  std::optional<std::error_code> outcome;
  ExchangeCallbacks callbacks;
  callbacks.on_done = [&outcome](std::error_code error, SendState, const Response&) { outcome = error; };
  fixture.client->start(fixture.address(), {"GET", "/", {}, ""}, callbacks, {});
  fixture.context.run_for(600ms);
  REQUIRE(held_writers.size() == 1);
  held_writers.front()->abort();
  fixture.runUntil([&] { return outcome.has_value(); });
  CHECK(*outcome);
  CHECK(requests == 2);
}
