/// @file Open connections went silent for good, all at once and without a reset, while new ones worked. The
/// client kept several of them for later exchanges; each was tried in turn, and each cost a caller the whole
/// time for an answer.

#include <catch2/catch.hpp>

#include "standins/fault_proxy/fault_proxy.h"
#include "standins/fault_proxy/fault_settings.h"
#include "unit/http/http_fixture.h"

using namespace crankspur;
using namespace crankspur::http;
using namespace std::chrono_literals;

namespace {

/// A client with kept connections through a proxy to a server that answers at once.
struct KeptConnections : HttpFixture {
  explicit KeptConnections(std::size_t kept)
      : HttpFixture([](const Request&, const std::shared_ptr<ResponseWriter>& writer) {
          writer->respond({200, {}, "answer"});
        }) {
    REQUIRE_FALSE(proxy.addRoute({"server", "127.0.0.1:0", address()}));
    // Exchanges at the same time, each on a connection of its own.
    std::size_t done = 0;
    for (std::size_t index = 0; index < kept; ++index) start([&done](std::error_code) { ++done; });
    runUntil([&] { return done == kept; });
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

  /// Exchanges with one server of several behind the proxy.
  std::error_code exchangeWith(std::size_t route) {
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

TEST_CASE("one exchange pays for kept connections that went silent, not one for each",
          "[http][silent_connections]") {
  KeptConnections kept(5);
  kept.silenceOpenConnections();
  CHECK(kept.exchange());
  CHECK_FALSE(kept.exchange());
  CHECK_FALSE(kept.exchange());
}

TEST_CASE("after two servers gave no answer the connections to a third one are not tried either",
          "[http][silent_connections]") {
  KeptConnections kept(1);
  for (std::size_t route = 1; route < 3; ++route) {
    REQUIRE_FALSE(kept.proxy.addRoute({"more", "127.0.0.1:0", kept.address()}));
    REQUIRE_FALSE(kept.exchangeWith(route));
  }
  int silences = 0;
  kept.client->setSilenceHandler([&silences] { ++silences; });
  kept.silenceOpenConnections();
  CHECK(kept.exchangeWith(0));
  CHECK(silences == 0);
  CHECK(kept.exchangeWith(1));
  CHECK(silences == 1);
  CHECK_FALSE(kept.exchangeWith(2));
}

TEST_CASE("an exchange that is given up for silence counts as one without an answer",
          "[http][silent_connections]") {
  KeptConnections kept(4);
  kept.silenceOpenConnections();
  const auto exchange = kept.client->start("127.0.0.1:" + std::to_string(kept.proxy.ports().front()),
                                           {"POST", "/", {}, "x"}, {}, {});
  kept.context.run_for(50ms);
  exchange->cancelUnanswered();
  CHECK_FALSE(kept.exchange());
}

TEST_CASE("a connection that is reset long after the request is the caller's to judge",
          "[http][silent_connections]") {
  // The server holds the second request.
  std::vector<std::shared_ptr<ResponseWriter>> held;
  int requests = 0;
  HttpFixture fixture([&](const Request&, const std::shared_ptr<ResponseWriter>& writer) {
    if (++requests == 1) return writer->respond({200, {}, "answer"});
    held.push_back(writer);
  });
  REQUIRE_FALSE(fixture.run({"GET", "/", {}, ""}).error);
  std::optional<std::error_code> outcome;
  ExchangeCallbacks callbacks;
  callbacks.on_done = [&outcome](std::error_code error, SendState, const Response&) { outcome = error; };
  fixture.client->start(fixture.address(), {"GET", "/", {}, ""}, callbacks, {});
  fixture.context.run_for(600ms);
  REQUIRE(held.size() == 1);
  held.front()->abort();
  fixture.runUntil([&] { return outcome.has_value(); });
  CHECK(*outcome);
  CHECK(requests == 2);
}
