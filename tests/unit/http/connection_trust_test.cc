#include "http/connection_trust.h"

#include <catch2/catch.hpp>

using namespace crankspur::http;
using namespace std::chrono_literals;

namespace {

using Verdict = ConnectionTrust::Verdict;
const ConnectionTrust::Time kNow(1h);

}  // namespace

TEST_CASE("one server without an answer casts doubt on its own connections only", "[connection_trust]") {
  ConnectionTrust trust;
  CHECK(trust.onUnanswered("a", kNow - 700ms, kNow) == Verdict::LeaveAddress);
  CHECK(trust.onUnanswered("a", kNow - 600ms, kNow + 10ms) == Verdict::LeaveAddress);
}

TEST_CASE("servers that fall silent together cast doubt on all connections", "[connection_trust]") {
  ConnectionTrust trust;
  // What answered before the silence is no evidence against it.
  for (const char* address : {"a", "b", "c", "d", "e"}) trust.onAnswered(address, kNow - 400ms);
  CHECK(trust.onUnanswered("a", kNow - 700ms, kNow) == Verdict::LeaveAddress);
  CHECK(trust.onUnanswered("b", kNow - 690ms, kNow + 10ms) == Verdict::LeaveAll);
}

TEST_CASE("a few servers without an answer among many that answer are their own fault",
          "[connection_trust]") {
  ConnectionTrust trust;
  for (const char* address : {"c", "d", "e", "f", "g"}) trust.onAnswered(address, kNow - 100ms);
  CHECK(trust.onUnanswered("a", kNow - 700ms, kNow) == Verdict::LeaveAddress);
  CHECK(trust.onUnanswered("b", kNow - 700ms, kNow) == Verdict::LeaveAddress);
  // The third one makes it more than half as many as answer.
  CHECK(trust.onUnanswered("h", kNow - 700ms, kNow) == Verdict::LeaveAll);
}

TEST_CASE("servers that went unanswered at different times have different causes", "[connection_trust]") {
  ConnectionTrust trust;
  CHECK(trust.onUnanswered("a", kNow - 700ms, kNow) == Verdict::LeaveAddress);
  CHECK(trust.onUnanswered("b", kNow + 1s, kNow + 1100ms) == Verdict::LeaveAddress);
}

TEST_CASE("what began before all connections were left tells of the same silence", "[connection_trust]") {
  ConnectionTrust trust;
  trust.onUnanswered("a", kNow - 700ms, kNow);
  REQUIRE(trust.onUnanswered("b", kNow - 700ms, kNow) == Verdict::LeaveAll);
  CHECK(trust.onUnanswered("c", kNow - 10ms, kNow + 700ms) == Verdict::LeaveAddress);
  CHECK(trust.onUnanswered("d", kNow - 10ms, kNow + 700ms) == Verdict::LeaveAddress);
  // The next silence is noticed as the first one was.
  CHECK(trust.onUnanswered("c", kNow + 1s, kNow + 1700ms) == Verdict::LeaveAddress);
  CHECK(trust.onUnanswered("d", kNow + 1s, kNow + 1700ms) == Verdict::LeaveAll);
}
