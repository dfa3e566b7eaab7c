/// @file Guards against requests that are lost, refused or run twice because the gateway which received them
/// reaches no back end: it relays them through other gateways.

#include <algorithm>

#include "unit/gateway/gateway_fixture.h"

namespace crankspur::gateway {
namespace {

/// A gateway with peers whose connections to both back ends of the pool "app" have failed.
struct PartitionedFixture : GatewayFixture {
  PartitionedFixture() {
    configuration.pools[0].health_path = "/health";
    peers = {{"near-1", "10.1.0.1:80", "here"},
             {"near-2", "10.1.0.2:80", "here"},
             {"far-1", "10.2.0.1:80", "there"},
             {"far-2", "10.2.0.2:80", "there"}};
    publish();
  }

  /// Sends a request whose connections to back ends fail until it is relayed.
  void relay(const std::string& route) {
    send(route);
    while (has<Dispatch>()) {
      gateway.onLost(last.exchange, false, now);
      takeActions();
      for (const ProbeBackend& probe : all<ProbeBackend>()) probes.push_back(probe);
    }
    relayed = only<RelayToPeer>();
  }
  void relayedHead(int status, const BackendResponse& response) {
    gateway.onHead(relayed.exchange, status, response, now);
    takeActions();
  }
  void relayedEnd() {
    gateway.onEnd(relayed.exchange, now);
    takeActions();
  }

  RelayToPeer relayed;
  std::vector<ProbeBackend> probes;  ///< Sent until then.
};

BackendResponse outOfReach() {
  BackendResponse response;
  response.out_of_reach = true;
  return response;
}

}  // namespace

TEST_CASE("a request is relayed to a gateway of the own zone while no back end is in reach", "[gateway]") {
  PartitionedFixture fixture;
  fixture.relay("order");
  CHECK(fixture.relayed.address.starts_with("10.1.0."));
  CHECK(fixture.relayed.time_left > Duration(0));
  fixture.relayedHead(200, genuineResponse());
  fixture.relayedEnd();
  CHECK(fixture.only<ForwardResponse>().exchange == fixture.relayed.exchange);
  CHECK(fixture.observer.ended.back().outcome == RequestOutcome::answered);
}

TEST_CASE("the refusal of another gateway is forwarded as received", "[gateway]") {
  PartitionedFixture fixture;
  fixture.relay("order");
  fixture.relayedHead(503, {});
  fixture.relayedEnd();
  CHECK(fixture.has<ForwardResponse>());
  CHECK_FALSE(fixture.has<Refuse>());
  CHECK(fixture.observer.ended.back().outcome == RequestOutcome::refused);
  CHECK_FALSE(fixture.observer.ended.back().may_have_run);
}

TEST_CASE("a request goes on to a gateway of another zone if those of the own zone reach no back end",
          "[gateway]") {
  PartitionedFixture fixture;
  fixture.relay("order");
  const std::string first = fixture.relayed.address;
  fixture.relayedHead(503, outOfReach());
  const std::string second = fixture.only<RelayToPeer>().address;
  CHECK(second != first);
  CHECK(second.starts_with("10.1.0."));
  fixture.relayed = fixture.only<RelayToPeer>();
  fixture.relayedHead(503, outOfReach());
  CHECK(fixture.only<RelayToPeer>().address.starts_with("10.2.0."));
}

TEST_CASE("a request is refused as not run once no gateway reaches a back end", "[gateway]") {
  PartitionedFixture fixture;
  fixture.relay("order");
  for (int refusals = 0; fixture.has<RelayToPeer>(); ++refusals) {
    REQUIRE(refusals < 4);
    fixture.relayed = fixture.only<RelayToPeer>();
    fixture.relayedHead(503, outOfReach());
  }
  fixture.advance(seconds(1));
  CHECK(fixture.only<Refuse>().status == 503);
}

TEST_CASE("a request whose connection to another gateway breaks is not sent anywhere else", "[gateway]") {
  PartitionedFixture fixture;
  const std::string route = GENERATE("order", "look");
  fixture.relay(route);
  fixture.gateway.onLost(fixture.relayed.exchange, true, fixture.now);
  fixture.takeActions();
  CHECK(fixture.only<Refuse>().status == 502);
  CHECK_FALSE(fixture.has<Dispatch>());
  CHECK_FALSE(fixture.has<RelayToPeer>());
}

TEST_CASE("a request that another gateway relayed is not relayed again", "[gateway]") {
  PartitionedFixture fixture;
  fixture.relay("order");
  IncomingRequest incoming = GatewayFixture::request("order");
  incoming.from_peer = true;
  fixture.send(incoming);
  CHECK_FALSE(fixture.has<RelayToPeer>());
  CHECK_FALSE(fixture.has<Dispatch>());
  CHECK(fixture.only<Refuse>().status == 503);
}

TEST_CASE("a request that a back end may have received is not relayed", "[gateway]") {
  PartitionedFixture fixture;
  fixture.relay("order");
  fixture.send("look");
  if (fixture.has<RelayToPeer>()) return;
  fixture.breakExchange(true);
  CHECK_FALSE(fixture.has<RelayToPeer>());
}

TEST_CASE("the other gateway is notified when the client of a relayed request disconnects", "[gateway]") {
  PartitionedFixture fixture;
  fixture.relay("order");
  fixture.gateway.onClientDisconnected(fixture.last_client, fixture.now);
  fixture.takeActions();
  CHECK(fixture.only<CancelExchange>().exchange == fixture.relayed.exchange);
}

TEST_CASE("requests go to the back ends again once a probe finds one in reach", "[gateway]") {
  PartitionedFixture fixture;
  fixture.relay("order");
  REQUIRE_FALSE(fixture.probes.empty());
  const ProbeBackend probe = fixture.probes.front();
  CHECK(probe.path == "/health");
  fixture.send("order");
  CHECK(fixture.has<RelayToPeer>());
  CHECK_FALSE(fixture.has<ProbeBackend>());
  fixture.gateway.onProbeResult(probe.probe, ProbeOutcome::responded, fixture.now);
  fixture.send("order");
  CHECK(fixture.has<Dispatch>());
}

// A network that drops packets leaves connections open: requests on them get no response for seconds, and no
// connection is refused.
TEST_CASE("a request is relayed once the connections to the back ends have broken", "[gateway]") {
  PartitionedFixture fixture;
  fixture.send("order");
  const ExchangeId first = fixture.last.exchange;
  fixture.send("order");
  CHECK(fixture.last.exchange != first);
  fixture.gateway.onLost(first, true, fixture.now);
  fixture.gateway.onLost(fixture.last.exchange, true, fixture.now);
  fixture.takeActions();
  fixture.send("order");
  CHECK(fixture.has<RelayToPeer>());
  CHECK_FALSE(fixture.has<Dispatch>());
}

TEST_CASE("a relayed request is refused as out of reach only while few back ends are in reach", "[gateway]") {
  PartitionedFixture fixture;
  IncomingRequest incoming = GatewayFixture::request("order");
  incoming.from_peer = true;
  fixture.send(incoming);
  SECTION("none is in reach") {
    while (fixture.has<Dispatch>()) fixture.breakExchange(false);
    fixture.advance(seconds(1));
    CHECK(fixture.only<Refuse>().out_of_reach);
  }
  SECTION("both are full") {
    fixture.notRun();
    if (fixture.has<Dispatch>()) fixture.notRun();
    if (!fixture.has<Refuse>()) fixture.advance(seconds(1));
    CHECK_FALSE(fixture.only<Refuse>().out_of_reach);
  }
}

TEST_CASE("a request is not relayed because one of three back ends crashed", "[gateway]") {
  GatewayFixture fixture;
  fixture.peers = {{"near", "10.1.0.1:80", "here"}};
  fixture.backends.push_back(makeBackend(5, "app"));
  fixture.publish();
  fixture.send("order");
  fixture.breakExchange(false);
  CHECK(fixture.has<Dispatch>());
  CHECK_FALSE(fixture.has<RelayToPeer>());
}

// Engines that do not respond to the calls which follow their caches get no requests, so that no request to
// them can fail: a gateway that was partitioned from 17 of 18 engines overloaded the last one and refused the
// rest.
TEST_CASE("requests are relayed while most engines do not respond to the calls that follow their caches",
          "[gateway][partition]") {
  GatewayFixture fixture;
  fixture.peers = {{"near", "10.1.0.1:80", "here"}};
  for (EngineSlot slot = 5; slot < 21; ++slot) fixture.backends.push_back(makeBackend(slot, "lm"));
  const bool complete = GENERATE(false, true);
  for (Backend& backend : fixture.backends) {
    const bool is_last = backend.view.slot == 20;
    if (backend.view.pool == "lm" && (complete || !is_last)) backend.unresponsive_since = fixture.now;
  }
  fixture.publish();
  fixture.now += seconds(3);
  std::size_t relayed = 0;
  for (int count = 0; count < 20; ++count) {
    fixture.send("answer");
    relayed += fixture.all<RelayToPeer>().size();
    fixture.now += milliseconds(20);
  }
  fixture.advance(milliseconds(900));
  CHECK_FALSE(fixture.has<Refuse>());
  CHECK(relayed >= 10);
}

// It was failed as possibly run, since the gateway refused it as one that another gateway could take.
TEST_CASE("a relayed request whose back end crashed is retried while most back ends are out of reach",
          "[gateway][partition]") {
  GatewayFixture fixture;
  for (const EngineSlot slot : {5U, 6U}) fixture.backends.push_back(makeBackend(slot, "app"));
  for (const std::size_t index : {1U, 4U}) fixture.backends[index].unresponsive_since = fixture.now;
  fixture.backends[0].answers_calls = true;
  fixture.publish();
  fixture.now += seconds(2);
  IncomingRequest incoming = GatewayFixture::request("look");
  incoming.from_peer = true;
  fixture.send(incoming);
  REQUIRE(fixture.has<Dispatch>());
  fixture.breakExchange(true);
  CHECK(fixture.has<Dispatch>());
  CHECK_FALSE(fixture.has<Refuse>());
}

}  // namespace crankspur::gateway
