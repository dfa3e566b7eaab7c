/// @file Which back ends count as brittle, from what they state in their responses.

#include "gateway/brittle_backends.h"

#include "unit/gateway/gateway_fixture.h"

using namespace crankspur;
using namespace crankspur::gateway;

namespace {

constexpr std::uint64_t kFirst = 1;
constexpr std::uint64_t kSecond = 2;

struct BrittleFixture {
  bool states(std::uint64_t incarnation, std::uint32_t tolerated) {
    return brittle.onResponse("pool", incarnation, {true, tolerated, true, now}, now);
  }
  bool responds(std::uint64_t incarnation, bool success, TimePoint sent_at) {
    return brittle.onResponse("pool", incarnation, {false, 0, success, sent_at}, now);
  }
  bool isBrittle() const { return brittle.isBrittle("pool", now); }

  RecentGateways gateways;
  BrittleBackends brittle{gateways};
  TimePoint now{seconds(1000)};
};

}  // namespace

TEST_CASE("all back ends of a pool are brittle while one states it", "[gateway][brittle]") {
  BrittleFixture fixture;
  CHECK_FALSE(fixture.isBrittle());
  CHECK(fixture.states(kFirst, 6));
  CHECK_FALSE(fixture.states(kFirst, 6));
  CHECK(fixture.states(kFirst, 4));
  CHECK(fixture.isBrittle());
  CHECK_FALSE(fixture.brittle.isBrittle("other", fixture.now));
  fixture.now += seconds(11);
  CHECK_FALSE(fixture.isBrittle());
}

// Of several versions of the software only one may state it, and rejections may not state it at all.
TEST_CASE("a back end ceases to be brittle by a success of its own that does not state it",
          "[gateway][brittle]") {
  BrittleFixture fixture;
  const TimePoint before = fixture.now - milliseconds(1);
  fixture.states(kFirst, 6);
  const TimePoint after = fixture.now + milliseconds(1);
  CHECK_FALSE(fixture.responds(kSecond, true, after));
  CHECK_FALSE(fixture.responds(kFirst, false, after));
  CHECK_FALSE(fixture.responds(kFirst, true, before));
  CHECK(fixture.isBrittle());
  CHECK(fixture.responds(kFirst, true, after));
  CHECK_FALSE(fixture.isBrittle());
}

TEST_CASE("a change of what a back end states of its brittleness is reported once", "[gateway][brittle]") {
  GatewayFixture fixture;
  fixture.backends.erase(fixture.backends.begin());  // One back end takes all requests.
  fixture.publish();
  BackendResponse response = genuineResponse();
  response.tolerated_rejections = 6;
  for (int count = 0; count < 2; ++count) {
    fixture.send("look");
    fixture.head(200, response);
    fixture.end();
  }
  REQUIRE(fixture.observer.brittle.size() == 1);
  CHECK(fixture.observer.brittle.front().brittle);
  CHECK(fixture.observer.brittle.front().tolerated_rejections == 6);
  fixture.advance(milliseconds(1));
  fixture.send("look");
  fixture.head(200);
  fixture.end();
  REQUIRE(fixture.observer.brittle.size() == 2);
  CHECK_FALSE(fixture.observer.brittle.back().brittle);
}
