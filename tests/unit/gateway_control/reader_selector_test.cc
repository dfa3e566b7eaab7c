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
  ReaderSelector choice(1);
  CHECK(choice.readsPlatform());
  CHECK(choice.next(kNow).kind == ReadTarget::Kind::Platform);
}

TEST_CASE("the first reader that has not failed recently is selected", "[reader_selector]") {
  ReaderSelector choice(1);
  choice.setReaders({"a", "b"});
  CHECK_FALSE(choice.readsPlatform());
  CHECK(choice.next(kNow).address == "a");
  choice.onFailed("a", kNow);
  CHECK(choice.next(kNow).address == "b");
  CHECK(choice.next(kNow + 2'100ms).address == "a");
}

TEST_CASE("while all readers fail the platform is read at intervals", "[reader_selector]") {
  ReaderSelector choice(1);
  choice.setReaders({"a", "b"});
  int platform_reads = 0;
  TimePoint now = kNow;
  for (; now < kNow + 30s; now += 100ms) {
    choice.onFailed("a", now);
    choice.onFailed("b", now);
    if (choice.next(now).kind == ReadTarget::Kind::Platform) ++platform_reads;
  }
  CHECK(platform_reads >= 7);
  CHECK(platform_reads <= 20);
  CHECK(choice.next(now + 2s).kind == ReadTarget::Kind::Gateway);
}

TEST_CASE("gateways whose readers all fail do not read the platform at the same time", "[reader_selector]") {
  std::set<Duration> second_reads;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ReaderSelector choice(seed);
    choice.setReaders({"a"});
    int platform_reads = 0;
    for (TimePoint now = kNow; platform_reads < 2; now += 50ms) {
      choice.onFailed("a", now);
      if (choice.next(now).kind != ReadTarget::Kind::Platform) continue;
      if (++platform_reads == 2) second_reads.insert(now - kNow);
    }
  }
  CHECK(second_reads.size() > 10);
}

TEST_CASE("a reader whose response is late is avoided for a shorter time than one that failed",
          "[reader_selector]") {
  ReaderSelector choice(1);
  choice.setReaders({"a", "b"});
  choice.onLate("a", kNow);
  CHECK(choice.next(kNow).address == "b");
  CHECK(choice.next(kNow + 500ms).address == "a");
  // The failure of the late call itself is already accounted for.
  CHECK(choice.wasLateAfter("a", kNow - 3s));
  CHECK_FALSE(choice.wasLateAfter("a", kNow + 1ms));
  // A late response does not shorten the backoff after a failure.
  choice.onFailed("a", kNow);
  choice.onLate("a", kNow);
  CHECK(choice.next(kNow + 500ms).address == "b");
}

TEST_CASE("while all readers fail a platform that responds is read without a delay", "[reader_selector]") {
  ReaderSelector choice(1);
  choice.setReaders({"a", "b"});
  choice.onFailed("a", kNow);
  choice.onFailed("b", kNow);
  REQUIRE(choice.next(kNow).kind == ReadTarget::Kind::Platform);
  // The platform is not known to respond yet, and other gateways may be reading it as well.
  CHECK(choice.next(kNow).kind == ReadTarget::Kind::None);
  choice.onPlatformResponse(true);
  CHECK(choice.next(kNow + 10ms).kind == ReadTarget::Kind::Platform);
  CHECK(choice.next(kNow + 1s).kind == ReadTarget::Kind::Platform);
  choice.onPlatformResponse(false);
  CHECK(choice.next(kNow + 1s).kind == ReadTarget::Kind::None);
  choice.onPlatformResponse(true);
  CHECK(choice.next(kNow + 2100ms).kind == ReadTarget::Kind::Gateway);
}
