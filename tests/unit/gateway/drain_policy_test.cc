/// @file Decisions about requests that arrive while the process stops, and the times that they rest on.

#include "gateway/drain_policy.h"

#include <catch2/catch.hpp>

#include "gateway/run_times.h"

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart(1h);

DrainPolicy drainingPolicy() {
  DrainPolicy policy;
  policy.begin({2s, 7s}, kStart);
  return policy;
}

DrainingRequest requestOf(std::optional<Duration> typical, std::optional<Duration> longest) {
  DrainingRequest request;
  request.deadline = kStart + 1min;
  request.typical_run = typical;
  request.longest_run = longest;
  request.known_runs = 100;
  return request;
}

}  // namespace

TEST_CASE("without a stop, every request may start", "[drain]") {
  CHECK(DrainPolicy().mayStart(requestOf(1h, 1h), kStart));
}

TEST_CASE("while clients have not noticed the stop, a request may start if it usually ends in time",
          "[drain]") {
  const DrainPolicy policy = drainingPolicy();
  CHECK(policy.mayStart(requestOf(5s, 50s), kStart + 1s));
  CHECK_FALSE(policy.mayStart(requestOf(7s, 7s), kStart + 1s));
  CHECK(policy.mayStart(requestOf({}, {}), kStart + 1s));
}

TEST_CASE("later a request may start only if the longest one would end in time", "[drain]") {
  const DrainPolicy policy = drainingPolicy();
  CHECK(policy.mayStart(requestOf(100ms, 2s), kStart + 3s));
  CHECK_FALSE(policy.mayStart(requestOf(100ms, 3s), kStart + 3s));
  CHECK_FALSE(policy.mayStart(requestOf({}, {}), kStart + 3s));
  DrainingRequest little_known = requestOf(100ms, 100ms);
  little_known.known_runs = 10;
  CHECK_FALSE(policy.mayStart(little_known, kStart + 3s));
}

TEST_CASE(
    "an at-most-once request may start only before clients have noticed, if the longest one ends in time",
    "[drain]") {
  DrainingRequest request = requestOf(100ms, 7s);
  request.at_most_once = true;
  CHECK_FALSE(drainingPolicy().mayStart(request, kStart + 1s));
  request.longest_run = 6s;
  CHECK(drainingPolicy().mayStart(request, kStart + 1s));
  request.longest_run = 100ms;
  CHECK_FALSE(drainingPolicy().mayStart(request, kStart + 2s));
}

TEST_CASE("a request whose deadline passes before the end may start", "[drain]") {
  DrainingRequest request = requestOf({}, {});
  request.deadline = kStart + 7s;
  CHECK(drainingPolicy().mayStart(request, kStart + 6s));
}

// A stop whose limit is shortened may end before clients have noticed it.
TEST_CASE("nothing starts once the requests in progress are ended", "[drain]") {
  DrainPolicy policy = drainingPolicy();
  policy.begin({}, kStart + 1s);
  CHECK_FALSE(policy.mayStart(requestOf({}, {}), kStart + 1s));
  DrainingRequest request = requestOf(1ms, 1ms);
  request.deadline = kStart;
  CHECK_FALSE(policy.mayStart(request, kStart + 1s));
}

TEST_CASE("a longer stop gives requests more time, and does not prolong the time in which clients notice it",
          "[drain]") {
  DrainPolicy policy = drainingPolicy();
  policy.begin({20s, 20s}, kStart + 1s);
  CHECK(policy.endsAt() == kStart + 21s);
  CHECK(policy.mayStart(requestOf(100ms, 10s), kStart + 3s));
  CHECK_FALSE(policy.mayStart(requestOf({}, {}), kStart + 3s));
}

TEST_CASE("the longest run of a route is remembered for a minute at least, and for two at most", "[drain]") {
  RunTimes times;
  CHECK_FALSE(times.longest("r", kStart));
  times.onEnded("r", 5s, kStart);
  for (auto after = 10s; after <= 110s; after += 10s) times.onEnded("r", 1s, kStart + after);
  CHECK(times.longest("r", kStart + 110s) == Duration(5s));
  times.onEnded("r", 1s, kStart + 121s);
  CHECK(times.longest("r", kStart + 121s) == Duration(1s));
  CHECK(times.known("r", kStart + 121s) == 7);
  CHECK_FALSE(times.longest("other", kStart));
}

TEST_CASE("a route without requests is forgotten", "[drain]") {
  RunTimes times;
  times.onEnded("r", 5s, kStart);
  CHECK(times.typical("r", kStart + 1min) == Duration(5s));
  CHECK_FALSE(times.typical("r", kStart + 2min));
  times.onEnded("r", 1s, kStart + 3min);
  CHECK(times.typical("r", kStart + 3min) == Duration(1s));
}
