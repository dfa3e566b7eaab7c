/// @file Guards against sending requests on silent connections: all open connections to back ends stop
/// delivering data permanently while new connections work. The control side detects this first, because it
/// always has a call pending at each engine; traffic used to continue on its pooled connections.

#include "integration/gateway/gateway_site.h"
#include "standins/fault_proxy/fault_settings.h"

namespace crankspur::gateway {
namespace {

using namespace std::chrono_literals;

/// Silences all open connections and notifies the gateway 350 ms later.
void silenceOpenConnections(GatewaySite& site) {
  standin::ControlCommand command;
  command.silence_open = 1;
  site.proxy.apply(command);
  site.context.run_for(350ms);
  site.process->onConnectionsSilent();
  site.context.run_for(50ms);
}

void completeExchange(GatewaySite& site, std::size_t number) {
  const std::string id = "request-" + std::to_string(number);
  site.send(id);
  site.awaitRequest(number).writer->respond({200, sealed(id), "answer"});
  site.runUntil([&] { return site.done; });
  REQUIRE(site.status == 200);
}

}  // namespace

TEST_CASE("no request goes out on a kept connection once open ones are known to be silent",
          "[gateway_process][silent_connections]") {
  GatewaySite site(Repeatability::AtMostOnce, false);
  for (std::size_t number = 1; number <= 4; ++number) completeExchange(site, number);
  silenceOpenConnections(site);
  for (std::size_t number = 5; number <= 8; ++number) completeExchange(site, number);
}

TEST_CASE("a request in flight moves off a silent connection in less than the silence limit",
          "[gateway_process][silent_connections]") {
  GatewaySettings decisions;
  decisions.silence_limit = 15s;
  GatewaySite site(Repeatability::Repeatable, false, decisions);
  site.send("one");
  site.awaitRequest(1);
  const auto start = std::chrono::steady_clock::now();
  silenceOpenConnections(site);
  site.awaitRequest(2).writer->respond({200, sealed("one"), "answer"});
  site.runUntil([&] { return site.done; });
  CHECK(site.status == 200);
  // 0.35 s until the gateway is notified, then 0.3 s of silence.
  CHECK(std::chrono::steady_clock::now() - start < 10s);
}

}  // namespace crankspur::gateway
