/// @file Tests of the limits of requests per second that back ends name in their responses.

#include "gateway/backend_limits.h"

#include <catch2/catch.hpp>

#include "unit/gateway/gateway_fixture.h"

using namespace crankspur;
using namespace crankspur::gateway;

namespace {

BackendResponse namedLimit(double per_second) {
  BackendResponse response = genuineResponse();
  response.requests_per_second = per_second;
  return response;
}

}  // namespace

TEST_CASE("a limit that a back end names is reported when it begins, changes and ends", "[backend_limits]") {
  GatewayFixture fixture;
  fixture.publish();
  const auto respond = [&fixture](const BackendResponse& response) {
    // The other back end is at capacity, so that one back end gets all requests.
    fixture.backends[1].view.state = EngineState::Leaving;
    fixture.publish();
    fixture.send("look");
    fixture.advance(milliseconds(1'000));
    fixture.head(200, response);
    fixture.end();
  };
  respond(genuineResponse());
  CHECK(fixture.observer.limits.empty());
  respond(namedLimit(3));
  respond(namedLimit(3));
  REQUIRE(fixture.observer.limits.size() == 1);
  CHECK(fixture.observer.limits[0].limit == 3);
  respond(namedLimit(2.5));
  REQUIRE(fixture.observer.limits.size() == 2);
  CHECK(fixture.observer.limits[1].previous == 3);
  BackendResponse invalid = genuineResponse();
  invalid.invalid_limit = "-1";
  respond(invalid);
  respond(invalid);
  CHECK(fixture.observer.invalid_limits == std::vector<std::string>{"-1"});
  CHECK(fixture.observer.limits.size() == 2);
  respond(genuineResponse());
  REQUIRE(fixture.observer.limits.size() == 3);
  CHECK(fixture.observer.limits[2].limit == 0);
}

TEST_CASE("a response to a request that was sent before the limit was named does not end it",
          "[backend_limits]") {
  RandomSource random(1);
  BackendLimits limits(random);
  const TimePoint start{seconds(100)};
  REQUIRE(limits.onResponse(7, 3.0, start, start + seconds(1)));
  CHECK_FALSE(limits.onResponse(7, std::nullopt, start + milliseconds(900), start + seconds(2)));
  CHECK(limits.limitOf(7) == 3);
  CHECK(limits.onResponse(7, std::nullopt, start + milliseconds(1'100), start + seconds(2)));
  CHECK(limits.limitOf(7) == 0);
}

// The metric of a back end that left while it named a limit stayed at that limit.
TEST_CASE("the limit of a back end that is no longer listed is reported as ended", "[backend_limits]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("look");
  const std::size_t chosen = fixture.last.address == fixture.backends[0].view.address ? 0 : 1;
  fixture.head(200, namedLimit(3));
  fixture.end();
  REQUIRE(fixture.observer.limits.size() == 1);
  fixture.backends.erase(fixture.backends.begin() + static_cast<std::ptrdiff_t>(chosen));
  fixture.publish();
  REQUIRE(fixture.observer.limits.size() == 2);
  CHECK(fixture.observer.limits[1].previous == 3);
  CHECK(fixture.observer.limits[1].limit == 0);
  CHECK(fixture.observer.limits[1].source == "list");
}

// A request that was sent before its back end named a limit was refunded to the limit when it got no
// connection, which allowed one request too many.
TEST_CASE("a request that does not count towards a limit is not refunded", "[backend_limits]") {
  GatewayFixture fixture;
  fixture.backends[1].view.state = EngineState::Leaving;
  fixture.publish();
  fixture.send("look");
  const Dispatch unlimited = fixture.last;
  fixture.send("look");
  fixture.head(200, namedLimit(0.5));
  fixture.end();
  fixture.now += seconds(2);
  const auto admitted = [&fixture] {
    const LoadDigest digest = fixture.gateway.ownLoadDigest(fixture.now);
    return digest.tenants.empty() ? 0 : digest.tenants.front().admitted;
  };
  fixture.gateway.onLost(unlimited.exchange, false, fixture.now);
  fixture.takeActions();
  fixture.now += seconds(4);
  fixture.send("look");
  REQUIRE(fixture.has<Dispatch>());
  CHECK(admitted() == 1'000);
}
