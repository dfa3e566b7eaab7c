#include "gateway_control/reader_selector.h"

#include <catch2/catch.hpp>
#include <set>

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

namespace {
const TimePoint kNow(1h);
}

TEST_CASE("without readers a gateway reads the platform", "[reader_selector]") {
  ReaderSelector selector(1);
  CHECK(selector.readsPlatform());
  CHECK(selector.next(kNow).kind == ReadTarget::Kind::Platform);
}

TEST_CASE("the first reader that has not failed recently is selected", "[reader_selector]") {
  ReaderSelector selector(1);
  selector.setReaders({"a", "b"});
  CHECK_FALSE(selector.readsPlatform());
  CHECK(selector.next(kNow).address == "a");
  selector.onFailed("a", kNow);
  CHECK(selector.next(kNow).address == "b");
  CHECK(selector.next(kNow + 2'100ms).address == "a");
}

TEST_CASE("while all readers fail the platform is read at intervals", "[reader_selector]") {
  ReaderSelector selector(1);
  selector.setReaders({"a", "b"});
  int platform_reads = 0;
  TimePoint now = kNow;
  for (; now < kNow + 30s; now += 100ms) {
    selector.onFailed("a", now);
    selector.onFailed("b", now);
    if (selector.next(now).kind == ReadTarget::Kind::Platform) ++platform_reads;
  }
  CHECK(platform_reads >= 7);
  CHECK(platform_reads <= 20);
  CHECK(selector.next(now + 2s).kind == ReadTarget::Kind::Gateway);
}

TEST_CASE("gateways whose readers all fail do not read the platform at the same time", "[reader_selector]") {
  std::set<Duration> second_reads;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ReaderSelector selector(seed);
    selector.setReaders({"a"});
    int platform_reads = 0;
    for (TimePoint now = kNow; platform_reads < 2; now += 50ms) {
      selector.onFailed("a", now);
      if (selector.next(now).kind != ReadTarget::Kind::Platform) continue;
      if (++platform_reads == 2) second_reads.insert(now - kNow);
    }
  }
  CHECK(second_reads.size() > 10);
}

TEST_CASE("a reader whose response is late is avoided for a shorter time than one that failed",
          "[reader_selector]") {
  ReaderSelector selector(1);
  selector.setReaders({"a", "b"});
  selector.onLate("a", kNow);
  CHECK(selector.next(kNow).address == "b");
  CHECK(selector.next(kNow + 1'100ms).address == "b");
  CHECK(selector.next(kNow + 1'300ms).address == "a");
  // The failure of the late call itself is already accounted for.
  CHECK(selector.wasLateAfter("a", kNow - 3s));
  CHECK_FALSE(selector.wasLateAfter("a", kNow + 1ms));
  // A late response does not shorten the backoff after a failure.
  selector.onFailed("a", kNow);
  selector.onLate("a", kNow);
  CHECK(selector.next(kNow + 500ms).address == "b");
  CHECK(selector.next(kNow + 1'300ms).address == "b");
}

// The first reader was used again while the second one was late, so that a third was never asked.
TEST_CASE("while two readers are late the third one is read", "[reader_selector][departures]") {
  ReaderSelector selector(1);
  selector.setReaders({"a", "b", "c"});
  selector.onLate("a", kNow);
  selector.onLate("b", kNow + 500ms);
  CHECK(selector.next(kNow + 500ms).address == "c");
}

TEST_CASE("while all readers fail a platform that responds is read without a delay", "[reader_selector]") {
  ReaderSelector selector(1);
  selector.setReaders({"a", "b"});
  selector.onFailed("a", kNow);
  selector.onFailed("b", kNow);
  REQUIRE(selector.next(kNow).kind == ReadTarget::Kind::Platform);
  // The platform is not known to respond yet, and other gateways may be reading it as well.
  CHECK(selector.next(kNow).kind == ReadTarget::Kind::None);
  selector.onPlatformResponse(true);
  CHECK(selector.next(kNow + 10ms).kind == ReadTarget::Kind::Platform);
  CHECK(selector.next(kNow + 1s).kind == ReadTarget::Kind::Platform);
  selector.onPlatformResponse(false);
  CHECK(selector.next(kNow + 1s).kind == ReadTarget::Kind::None);
  selector.onPlatformResponse(true);
  CHECK(selector.next(kNow + 2100ms).kind == ReadTarget::Kind::Gateway);
}
