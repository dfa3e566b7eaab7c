#include "http/half_open_detector.h"

#include <catch2/catch.hpp>

using namespace crankspur::http;
using namespace std::chrono_literals;

namespace {

using Action = HalfOpenDetector::Action;
const HalfOpenDetector::Time kNow(1h);

}  // namespace

TEST_CASE("a timeout at one server closes only the connections to that server", "[connection_trust]") {
  HalfOpenDetector detector;
  CHECK(detector.onTimeout("a", kNow - 700ms, kNow) == Action::CloseAddress);
  CHECK(detector.onTimeout("a", kNow - 600ms, kNow + 10ms) == Action::CloseAddress);
}

TEST_CASE("servers that fall silent together close all connections", "[connection_trust]") {
  HalfOpenDetector detector;
  // Responses received before the silence are no evidence against it.
  for (const char* address : {"a", "b", "c", "d", "e"}) detector.onResponse(address, kNow - 400ms);
  CHECK(detector.onTimeout("a", kNow - 700ms, kNow) == Action::CloseAddress);
  CHECK(detector.onTimeout("b", kNow - 690ms, kNow + 10ms) == Action::CloseAll);
}

TEST_CASE("timeouts at a few servers while many others respond close only their own connections",
          "[connection_trust]") {
  HalfOpenDetector detector;
  for (const char* address : {"c", "d", "e", "f", "g"}) detector.onResponse(address, kNow - 100ms);
  CHECK(detector.onTimeout("a", kNow - 700ms, kNow) == Action::CloseAddress);
  CHECK(detector.onTimeout("b", kNow - 700ms, kNow) == Action::CloseAddress);
  // With the third, timed-out servers are more than half as many as those that respond.
  CHECK(detector.onTimeout("h", kNow - 700ms, kNow) == Action::CloseAll);
}

TEST_CASE("timeouts at different times have different causes", "[connection_trust]") {
  HalfOpenDetector detector;
  CHECK(detector.onTimeout("a", kNow - 700ms, kNow) == Action::CloseAddress);
  CHECK(detector.onTimeout("b", kNow + 1s, kNow + 1100ms) == Action::CloseAddress);
}

TEST_CASE("an exchange started before all connections were closed reports the same silence",
          "[connection_trust]") {
  HalfOpenDetector detector;
  detector.onTimeout("a", kNow - 700ms, kNow);
  REQUIRE(detector.onTimeout("b", kNow - 700ms, kNow) == Action::CloseAll);
  CHECK(detector.onTimeout("c", kNow - 10ms, kNow + 700ms) == Action::CloseAddress);
  CHECK(detector.onTimeout("d", kNow - 10ms, kNow + 700ms) == Action::CloseAddress);
  // The next silence is detected like the first.
  CHECK(detector.onTimeout("c", kNow + 1s, kNow + 1700ms) == Action::CloseAddress);
  CHECK(detector.onTimeout("d", kNow + 1s, kNow + 1700ms) == Action::CloseAll);
}
