/// @file Open connections to back ends go silent for good while new ones work; the control side notices
/// first, since a call of its own always waits at each engine. Traffic kept sending requests on the silent
/// connections.

#include "integration/gateway/gateway_site.h"
#include "standins/fault_proxy/fault_settings.h"

namespace crankspur::gateway {
namespace {

using namespace std::chrono_literals;

/// All open connections go silent, and the gateway is told some time later.
void silenceOpenConnections(Site& site) {
  standin::ControlCommand command;
  command.silence_open = 1;
  site.proxy.apply(command);
  site.context.run_for(350ms);
  site.process->onConnectionsSilent();
  site.context.run_for(50ms);
}

void exchange(Site& site, std::size_t number) {
  const std::string id = "request-" + std::to_string(number);
  site.send(id);
  site.nextAsked(number).writer->respond({200, sealed(id), "answer"});
  site.runUntil([&] { return site.done; });
  REQUIRE(site.status == 200);
}

}  // namespace

TEST_CASE("no request goes out on a kept connection once open ones are known to be silent",
          "[gateway_process][silent_connections]") {
  Site site(Repeatability::AtMostOnce, false);
  for (std::size_t number = 1; number <= 4; ++number) exchange(site, number);
  silenceOpenConnections(site);
  for (std::size_t number = 5; number <= 8; ++number) exchange(site, number);
}

TEST_CASE("a request under way moves off a silent connection in less than the usual time",
          "[gateway_process][silent_connections]") {
  GatewaySettings decisions;
  decisions.silence_limit = 15s;
  Site site(Repeatability::Repeatable, false, decisions);
  site.send("one");
  site.nextAsked(1);
  const auto began = std::chrono::steady_clock::now();
  silenceOpenConnections(site);
  site.nextAsked(2).writer->respond({200, sealed("one"), "answer"});
  site.runUntil([&] { return site.done; });
  CHECK(site.status == 200);
  // 0.35 s until the gateway is told, and 0.3 s of silence after that.
  CHECK(std::chrono::steady_clock::now() - began < 10s);
}

}  // namespace crankspur::gateway
