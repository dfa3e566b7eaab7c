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

  void start(std::function<void(std::error_code)> done) {
    ExchangeOptions options;
    options.idle_timeout = 200ms;
    ExchangeCallbacks callbacks;
    callbacks.on_done = [done = std::move(done)](std::error_code error, SendState, const Response&) {
      done(error);
    };
    client->start("127.0.0.1:" + std::to_string(proxy.ports().front()), {"POST", "/", {}, "x"}, callbacks,
                  options);
  }

  std::error_code exchange() {
    std::optional<std::error_code> outcome;
    start([&outcome](std::error_code error) { outcome = error; });
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
