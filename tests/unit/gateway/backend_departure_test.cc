/// @file Back ends that state in their responses that they are about to end.

#include "unit/gateway/gateway_fixture.h"

namespace crankspur::gateway {
namespace {

BackendResponse departureIn(BackendResponse response) {
  response.leaving = true;
  return response;
}

}  // namespace

// The statement was not read: while the list said that the back end was live, it got requests until it ended.
TEST_CASE("a back end that stated that it leaves gets no new request although the list says that it is live",
          "[gateway][backend_departure]") {
  GatewayFixture fixture;
  for (Backend& backend : fixture.backends) backend.slots = 100;
  fixture.publish();
  fixture.send("look");
  const std::string leaving = fixture.last.address;
  fixture.head(200, departureIn(genuineResponse()));
  fixture.end();
  for (int count = 0; count < 40; ++count) {
    if (count == 20) fixture.publish();
    fixture.send("look");
    CHECK(fixture.only<Dispatch>().address != leaving);
    fixture.head(200);
    fixture.end();
    fixture.advance(milliseconds(100));
  }
}

TEST_CASE("a back end states in a response of any kind that it leaves", "[gateway][backend_departure]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("look");
  const std::string leaving = fixture.last.address;
  SECTION("a rejection") {
    BackendResponse rejection;
    rejection.not_run = true;
    fixture.head(503, departureIn(rejection));
  }
  SECTION("an error") {
    fixture.head(500, departureIn(genuineResponse()));
  }
  SECTION("a rejection because of other weights") {
    fixture.head(421, departureIn(wrongBackend(2)));
  }
  CHECK(fixture.observer.leaving.size() == 1);
  CHECK(fixture.only<Dispatch>().address != leaving);
}

TEST_CASE("a later incarnation at the address does not state that the earlier one leaves",
          "[gateway][backend_departure]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("look");
  fixture.head(421, departureIn(wrongBackend(std::nullopt)));
  CHECK(fixture.observer.leaving.empty());
}

TEST_CASE(
    "a request whose connection is still being opened when its back end states that it leaves goes elsewhere",
    "[gateway][backend_departure]") {
  GatewayFixture fixture;
  for (Backend& backend : fixture.backends) backend.slots = 100;
  fixture.publish();
  std::vector<Dispatch> sent;
  while (sent.size() < 2) {
    fixture.send("look");
    if (sent.empty() || fixture.last.address == sent.front().address) sent.push_back(fixture.last);
  }
  fixture.gateway.onHead(sent[0].exchange, 200, departureIn(genuineResponse()), fixture.now);
  fixture.takeActions();
  REQUIRE(fixture.only<RecallUnsent>().exchange == sent[1].exchange);
  fixture.gateway.onLost(sent[1].exchange, false, fixture.now);
  fixture.takeActions();
  CHECK(fixture.only<Dispatch>().address != sent[0].address);
}

TEST_CASE("a stated departure holds for one incarnation, also while it is not listed",
          "[gateway][backend_departure]") {
  GatewayFixture fixture;
  const std::vector<Backend> listed = {makeBackend(1, "app")};
  fixture.backends = listed;
  fixture.publish();
  fixture.send("look");
  fixture.head(200, departureIn(genuineResponse()));
  fixture.end();
  fixture.backends.clear();
  fixture.publish();
  fixture.advance(seconds(10));
  fixture.backends = listed;
  fixture.publish();
  fixture.send("look");
  CHECK_FALSE(fixture.has<Dispatch>());
  fixture.backends.front().view.incarnation = 2'000;
  fixture.publish();
  fixture.send("look");
  CHECK(fixture.has<Dispatch>());
}

}  // namespace crankspur::gateway
