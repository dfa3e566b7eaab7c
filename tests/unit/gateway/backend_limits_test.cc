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
  CHECK(fixture.observer.limits.size() == 2);
  for (int response = 0; response < 5; ++response) respond(genuineResponse());
  REQUIRE(fixture.observer.limits.size() == 3);
  CHECK(fixture.observer.limits[2].limit == 0);
}

TEST_CASE("responses to requests that were sent before the limit was named do not end it",
          "[backend_limits]") {
  BackendLimits limits;
  const TimePoint named_at{seconds(100)};
  REQUIRE(limits.onResponse(7, {3.0, true, named_at}, named_at));
  const auto respond = [&](TimePoint sent_at) {
    for (Duration after = seconds(1); after < seconds(20); after += milliseconds(500)) {
      limits.onResponse(7, {std::nullopt, true, std::min(sent_at + after, named_at + after)},
                        named_at + after);
    }
  };
  SECTION("all of them were sent before") {
    for (Duration after = seconds(1); after < seconds(20); after += milliseconds(500)) {
      CHECK_FALSE(limits.onResponse(7, {std::nullopt, true, named_at - milliseconds(1)}, named_at + after));
    }
    CHECK(limits.limitOf(7) == 3);
  }
  SECTION("they were sent after") {
    respond(named_at + milliseconds(1));
    CHECK(limits.limitOf(7) == 0);
  }
}

// One response of another process at the back end's address, or one that was made before the back end's limit
// applied, ended the limit for all gateways.
TEST_CASE("a limit ends once successful responses come without it for some time", "[backend_limits]") {
  BackendLimits limits;
  const TimePoint named_at{seconds(100)};
  limits.onResponse(7, {3.0, true, named_at}, named_at);
  const bool success = GENERATE(true, false);
  const Duration time = GENERATE(milliseconds(600), milliseconds(4'000));
  for (Duration after = milliseconds(100); after <= time; after += milliseconds(100)) {
    limits.onResponse(7, {std::nullopt, success, named_at + after - milliseconds(50)}, named_at + after);
  }
  CHECK(limits.limitOf(7) == (success && time > seconds(3) ? 0 : 3));
  limits.onResponse(7, {3.0, true, named_at + time}, named_at + time + seconds(1));
  CHECK(limits.limitOf(7) == 3);
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
  for (int digest = 0; digest < 15; ++digest) {
    fixture.now += milliseconds(200);
    fixture.gateway.ownLoadDigest(fixture.now);
  }
  fixture.send("look");
  REQUIRE(fixture.has<Dispatch>());
  const Dispatch limited = fixture.last;
  SECTION("it was sent before the limit was named") {
    fixture.gateway.onLost(unlimited.exchange, false, fixture.now);
    fixture.takeActions();
    fixture.send("look");
    CHECK_FALSE(fixture.has<Dispatch>());
  }
  SECTION("one that counts is refunded") {
    fixture.gateway.onLost(limited.exchange, false, fixture.now);
    fixture.takeActions();
    fixture.now += milliseconds(1);
    fixture.send("look");
    CHECK(fixture.has<Dispatch>());
  }
}
