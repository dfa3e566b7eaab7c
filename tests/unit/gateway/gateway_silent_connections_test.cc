/// @file Open connections to back ends go silent permanently while new ones work. Guards against two
/// failures: responses on new connections count as activity of the silent ones, so that requests on these
/// wait until their deadline; and retries for silence mark healthy back ends as failing.

#include "unit/gateway/gateway_fixture.h"

namespace crankspur::gateway {

TEST_CASE("a repeatable request is retried soon after its connection may have gone silent",
          "[gateway][silent_connections]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("look");
  fixture.advance(milliseconds(100));
  fixture.gateway.onConnectionsSilent(fixture.now);
  fixture.advance(milliseconds(250));
  CHECK_FALSE(fixture.has<Dispatch>());
  fixture.advance(milliseconds(300));
  CHECK(fixture.only<CancelExchange>().timed_out);
  CHECK(fixture.has<Dispatch>());
  CHECK(fixture.observer.distrusted.empty());
}

TEST_CASE("responses on other connections do not count as activity of a connection that may be silent",
          "[gateway][silent_connections]") {
  GatewayFixture fixture;
  fixture.backends.erase(fixture.backends.begin());
  fixture.publish();
  fixture.send("look");
  const Dispatch first = fixture.last;
  fixture.advance(milliseconds(50));
  fixture.gateway.onConnectionsSilent(fixture.now);
  bool moved = false;
  for (int request = 0; request < 8 && !moved; ++request) {
    fixture.send("look");
    fixture.head(200);
    fixture.end();
    fixture.advance(milliseconds(100));
    for (const CancelExchange& cancel : fixture.all<CancelExchange>())
      moved |= cancel.exchange == first.exchange;
  }
  CHECK(moved);
}

TEST_CASE("a request that receives bytes after the silence was detected is not retried",
          "[gateway][silent_connections]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("review");
  fixture.head(200);
  fixture.bytes("id: 1\ndata: a\n\n");
  fixture.gateway.onConnectionsSilent(fixture.now);
  fixture.advance(milliseconds(100));
  fixture.bytes("id: 2\ndata: b\n\n");
  fixture.advance(milliseconds(1000));
  CHECK_FALSE(fixture.has<CancelExchange>());
}

TEST_CASE("a request sent after the silence was detected has the usual silence limit",
          "[gateway][silent_connections]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.gateway.onConnectionsSilent(fixture.now);
  fixture.advance(milliseconds(1));
  fixture.send("look");
  fixture.advance(milliseconds(1000));
  CHECK_FALSE(fixture.has<CancelExchange>());
}

TEST_CASE("an at-most-once request is not repeated when its connection may have gone silent",
          "[gateway][silent_connections]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("order");
  fixture.gateway.onConnectionsSilent(fixture.now);
  fixture.advance(milliseconds(2000));
  CHECK_FALSE(fixture.has<Dispatch>());
  CHECK_FALSE(fixture.has<Refuse>());
  // A late response is forwarded.
  fixture.head(200);
  fixture.end();
  CHECK(fixture.has<ForwardResponse>());
}

}  // namespace crankspur::gateway
