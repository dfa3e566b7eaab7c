/// @file Guards against requests that a stopping process sends to back ends in vain: they arrived late,
/// waited or were retried, and the end of the process cut them, or told nothing of whether they had run.

#include "unit/gateway/gateway_fixture.h"

namespace crankspur::gateway {
namespace {

constexpr Duration kAcceptsFor = seconds(2);
constexpr Duration kEndsIn = seconds(7);

/// Gateway whose routes have long deadlines, so that only the stop limits their requests.
struct DrainFixture : GatewayFixture {
  DrainFixture() {
    for (Route& route : configuration.routes) route.timeout = std::chrono::minutes(1);
    publish();
  }

  static IncomingRequest longRequest(const std::string& route) {
    IncomingRequest incoming = request(route);
    incoming.client->deadline = std::chrono::minutes(1);
    return incoming;
  }

  ClientId sendLong(const std::string& route) { return send(longRequest(route)); }

  /// A request of the route runs for this long.
  void runOne(const std::string& route, Duration time) {
    sendLong(route);
    head(200);
    now += time;
    end();
  }

  /// So many that the gateway knows the route well.
  void runMany(const std::string& route, Duration time) {
    for (int count = 0; count < 60; ++count) runOne(route, time);
  }

  void drain() {
    gateway.onDrain({kAcceptsFor, kEndsIn}, now);
    takeActions();
  }

  void endRequests() {
    gateway.endRequests(now);
    takeActions();
  }
};

}  // namespace

TEST_CASE("a request that would be cut by the end of the process is refused before it runs",
          "[gateway][drain]") {
  DrainFixture fixture;
  const std::string route = GENERATE("order", "look", "review", "answer");
  INFO(route);
  fixture.runOne(route, milliseconds(2'500));
  fixture.drain();
  fixture.now += seconds(4);
  fixture.sendLong(route);
  CHECK_FALSE(fixture.has<Dispatch>());
  CHECK(fixture.only<Refuse>().status == 503);
  CHECK(fixture.only<Refuse>().cause == RequestCause::stopping);
  CHECK(fixture.only<Refuse>().retry_after > Duration(0));
}

TEST_CASE("a short request is served until shortly before the end of the process", "[gateway][drain]") {
  DrainFixture fixture;
  fixture.runMany("look", milliseconds(50));
  fixture.drain();
  fixture.now += milliseconds(6'800);
  fixture.sendLong("look");
  CHECK(fixture.has<Dispatch>());
}

TEST_CASE("a request in progress shows how long others of its route may run", "[gateway][drain]") {
  DrainFixture fixture;
  fixture.runMany("look", milliseconds(50));
  fixture.sendLong("look");
  fixture.drain();
  fixture.now += milliseconds(4'000);
  fixture.sendLong("look");
  CHECK_FALSE(fixture.has<Dispatch>());
}

TEST_CASE("requests of a route that is not known to be short are taken only while clients have not noticed",
          "[gateway][drain]") {
  DrainFixture fixture;
  fixture.drain();
  fixture.now += seconds(1);
  fixture.sendLong("look");
  CHECK(fixture.has<Dispatch>());
  fixture.now += seconds(2);
  fixture.sendLong("answer");
  CHECK_FALSE(fixture.has<Dispatch>());
}

TEST_CASE("a request that waits for a back end is refused once it would be cut", "[gateway][drain]") {
  DrainFixture fixture;
  for (Backend& backend : fixture.backends) backend.slots = 1;
  fixture.configuration.routes[1].first_byte_target = seconds(40);
  fixture.publish();
  fixture.runOne("look", milliseconds(2'500));
  fixture.sendLong("look");
  const ExchangeId first = fixture.last.exchange;
  fixture.sendLong("look");
  fixture.sendLong("look");
  CHECK_FALSE(fixture.has<Refuse>());
  fixture.drain();
  fixture.advance(seconds(5));
  CHECK(fixture.only<Refuse>().cause == RequestCause::stopping);
  fixture.gateway.onEnd(first, fixture.now);
  fixture.takeActions();
  CHECK_FALSE(fixture.has<Dispatch>());
}

TEST_CASE("a request is not repeated when its repeat would be cut", "[gateway][drain]") {
  DrainFixture fixture;
  fixture.runMany("look", milliseconds(2'500));
  fixture.drain();
  fixture.sendLong("look");
  fixture.now += seconds(4);
  fixture.breakExchange(true);
  CHECK_FALSE(fixture.has<Dispatch>());
  CHECK(fixture.only<Refuse>().status == 502);
}

// The exchange was cancelled for a retry that was then refused, though its response could still have come.
TEST_CASE("a silent back end keeps its request when a repeat would be cut", "[gateway][drain]") {
  DrainFixture fixture;
  fixture.runMany("look", milliseconds(2'500));
  fixture.drain();
  fixture.advance(milliseconds(1'900));
  fixture.sendLong("look");
  fixture.advance(seconds(3));
  CHECK_FALSE(fixture.has<CancelExchange>());
  fixture.head(200);
  fixture.end();
  CHECK(fixture.has<ForwardResponse>());
}

TEST_CASE("an error response is forwarded when a repeat would be cut", "[gateway][drain]") {
  DrainFixture fixture;
  fixture.runOne("look", milliseconds(2'500));
  fixture.drain();
  fixture.sendLong("look");
  fixture.now += seconds(4);
  fixture.head(500);
  fixture.end();
  CHECK(fixture.has<ForwardResponse>());
}

// Refused without the mark, the gateway that relayed it would not try another one.
TEST_CASE("a relayed request that is refused since the process stops can go to another gateway",
          "[gateway][drain]") {
  DrainFixture fixture;
  fixture.drain();
  fixture.now += seconds(4);
  IncomingRequest incoming = DrainFixture::longRequest("look");
  incoming.from_peer = true;
  fixture.send(std::move(incoming));
  CHECK(fixture.only<Refuse>().out_of_reach);
}

TEST_CASE("a body that is still being read is too late when its request would be cut", "[gateway][drain]") {
  DrainFixture fixture;
  IncomingRequest incoming = DrainFixture::longRequest("look");
  CHECK_FALSE(fixture.gateway.isTooLate(incoming, fixture.now));
  fixture.drain();
  fixture.now += seconds(1);
  CHECK_FALSE(fixture.gateway.isTooLate(incoming, fixture.now));
  fixture.now += seconds(2);
  CHECK(fixture.gateway.isTooLate(incoming, fixture.now));
}

TEST_CASE("the end of the process tells each client what became of its request", "[gateway][drain]") {
  DrainFixture fixture;
  fixture.drain();
  SECTION("it may have run") {
    fixture.sendLong("order");
    fixture.endRequests();
    CHECK(fixture.only<Refuse>().status == 502);
    CHECK(fixture.has<CancelExchange>());
  }
  SECTION("no back end has received it") {
    fixture.sendLong("order");
    fixture.gateway.recallUnsent();
    CHECK(fixture.takeActions().size() == 1);
    CHECK(fixture.has<RecallUnsent>());
    fixture.now += kEndsIn;
    fixture.breakExchange(false);
    CHECK(fixture.only<Refuse>().status == 503);
  }
  SECTION("it waits") {
    fixture.backends.clear();
    fixture.configuration.routes[0].first_byte_target = seconds(40);
    fixture.publish();
    fixture.sendLong("order");
    fixture.endRequests();
    CHECK(fixture.only<Refuse>().status == 503);
  }
  SECTION("its stream has begun") {
    fixture.sendLong("review");
    fixture.head(200);
    fixture.bytes("id: 1\ndata: a\n\nid: 2\nda");
    fixture.endRequests();
    CHECK(fixture.has<AbortResponse>());
  }
  REQUIRE(fixture.observer.ended.size() == 1);
  CHECK(fixture.observer.ended.front().cause == RequestCause::stopping);
}

}  // namespace crankspur::gateway
