/// @file Guards against repeats of one gateway that no retry budget counts, or that the budget of another
/// service or gateway counts: repeats of a response with an event without end, of a relayed request, and of a
/// request that goes on at another pool.

#include "unit/gateway/gateway_fixture.h"

namespace crankspur::gateway {
namespace {

/// Larger than any event may be.
constexpr std::size_t kEndlessBytes = std::size_t{80} * 1024;

GatewaySettings withBudget(double ratio, double slack) {
  GatewaySettings settings;
  settings.retry_budget = {ratio, seconds(10), slack};
  return settings;
}

IncomingRequest relayedRequest() {
  IncomingRequest request = GatewayFixture::request("look");
  request.from_peer = true;
  return request;
}

/// Has the route "spare" with a pool of its own, and the route "both", whose requests go to the back end of
/// "app" and, if it cannot take them, to "spare".
struct TwoPoolsFixture : GatewayFixture {
  TwoPoolsFixture() : GatewayFixture(withBudget(0, 1.5)) {
    Pool spare;
    spare.name = "spare";
    configuration.pools.push_back(spare);
    configuration.routes.push_back(makeRoute("spare", Repeatability::Repeatable, "spare"));
    Route both = makeRoute("both", Repeatability::Repeatable, "app");
    both.pools = {{"app", 1'000'000}, {"spare", 1}};
    configuration.routes.push_back(both);
    backends = {makeBackend(1, "app"), makeBackend(5, "spare"), makeBackend(6, "spare")};
    publish();
  }
};

}  // namespace

// The head of the response showed that the request may have run. That it had arrived was kept apart, and only
// an arrived request took its repeat from the budget.
TEST_CASE("an event without end is repeated within the retry budget", "[gateway][retry_budget]") {
  const double slack = GENERATE(0.0, 2.0);
  CAPTURE(slack);
  GatewayFixture fixture(withBudget(0, slack));
  fixture.publish();
  fixture.send("review");
  BackendResponse response = genuineResponse();
  response.event_stream = true;
  fixture.head(200, response);
  fixture.bytes("data: " + std::string(kEndlessBytes, 'x'));
  CHECK(fixture.has<Dispatch>() == (slack > 0));
}

// The gateway that relayed the request has counted it.
TEST_CASE("a relayed request counts towards the retry budget of the gateway that received it from the client",
          "[gateway][retry_budget]") {
  const bool relayed = GENERATE(false, true);
  CAPTURE(relayed);
  GatewayFixture fixture(withBudget(4, 0));
  fixture.publish();
  fixture.send(relayed ? relayedRequest() : GatewayFixture::request("look"));
  fixture.head(500);
  CHECK(fixture.has<Dispatch>() != relayed);
}

// The first service paid for the repeat, and the second one received it.
TEST_CASE("a repeat counts towards the retry budget of the pool that it is sent to",
          "[gateway][retry_budget]") {
  const bool used_up = GENERATE(false, true);
  CAPTURE(used_up);
  TwoPoolsFixture fixture;
  if (used_up) {
    fixture.send("spare");
    fixture.head(500);
    REQUIRE(fixture.has<Dispatch>());
    fixture.head(200);
    fixture.end();
  }
  fixture.send("both");
  REQUIRE(fixture.last.address == makeBackend(1, "app").view.address);
  fixture.notRun();
  CHECK(fixture.has<Dispatch>() == !used_up);
}

// The dispatch on the silent connection arrived when the path worked again, after the window of its repeat.
TEST_CASE("a repeat of a request that may still arrive counts towards the retry budget for two windows",
          "[gateway][retry_budget]") {
  const Duration later = GENERATE(seconds(5), seconds(12), seconds(22));
  CAPTURE(toSeconds(later));
  GatewayFixture fixture(withBudget(0, 1.5));
  fixture.publish();
  fixture.send("look");
  fixture.advance(seconds(2));
  REQUIRE(fixture.has<Dispatch>());
  fixture.head(200);
  fixture.end();
  fixture.advance(later);
  fixture.send("look");
  fixture.head(500);
  CHECK(fixture.has<Dispatch>() == (later > seconds(20)));
}

}  // namespace crankspur::gateway
