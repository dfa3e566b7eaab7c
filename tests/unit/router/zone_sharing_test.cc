#include "router/zone_sharing.h"

#include <catch2/catch.hpp>

using namespace crankspur;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart(1h);

std::vector<std::string> names(const std::string& prefix, int count) {
  std::vector<std::string> list;
  for (int index = 0; index < count; ++index) list.push_back(prefix + std::to_string(index));
  return list;
}

}  // namespace

TEST_CASE("each engine has one owner, shares are even, and a router's removal reassigns only its engines",
          "[zone_sharing]") {
  const auto routers = names("router-", 10);
  auto fewer = routers;
  fewer.pop_back();
  std::map<std::string, int> owned;
  for (const std::string& engine : names("engine-", 1000)) {
    const std::string owner = ownerOf(engine, routers);
    ++owned[owner];
    if (owner != routers.back()) CHECK(ownerOf(engine, fewer) == owner);
  }
  CHECK(owned.size() == 10);
  for (const auto& [router, count] : owned) CHECK(count < 150);
}

TEST_CASE("load digests stay within their byte rate at the two-year fleet size", "[zone_sharing]") {
  LoadSharing sharing("router-0", 4000);
  std::vector<EngineView> owned(16);
  std::size_t digests = 0;
  for (TimePoint now = kStart; now < kStart + 100s; now += 100ms)
    digests += sharing.due(owned, 30, now) ? 1 : 0;
  CHECK(digests >= 15);
  CHECK(digests * 30 * (100 + 16 * 34) <= 4000 * 105);
}

TEST_CASE("only blocks stored more than once are summarized, and their removal follows", "[zone_sharing]") {
  CacheSharing sharing(4000);
  sharing.onEvents("a", 5, {{1, {10, 11}, {}}});
  CHECK(sharing.due(3, kStart).empty());
  sharing.onEvents("b", 6, {{7, {10}, {}}});
  auto summaries = sharing.due(3, kStart + 2s);
  REQUIRE(summaries.size() == 1);
  CHECK(summaries[0].engine == "b");
  CHECK(summaries[0].engine_incarnation == 6);
  CHECK(summaries[0].sequence == 7);
  CHECK(summaries[0].stored == std::vector<std::uint64_t>{10});
  sharing.onEvents("b", 6, {{8, {}, {10, 11}}});
  summaries = sharing.due(3, kStart + 4s);
  REQUIRE(summaries.size() == 1);
  CHECK(summaries[0].removed == std::vector<std::uint64_t>{10});
  sharing.onEvents("b", 9, {{1, {}, {10}}});
  CHECK(sharing.due(3, kStart + 6s).empty());
}

TEST_CASE("summaries stay within their byte rate under a high rate of events", "[zone_sharing]") {
  CacheSharing sharing(4000);
  std::size_t bytes = 0;
  std::uint64_t sequence = 0;
  for (TimePoint now = kStart; now < kStart + 60s; now += 1s) {
    for (BlockHash hash = 0; hash < 500; ++hash) {
      sharing.onEvents("a", 5, {{++sequence, {hash << 33U}, {}}});
      if (hash % 2 == 0) sharing.onEvents("a", 5, {{++sequence, {}, {hash << 33U}}});
    }
    for (const CacheSummary& summary : sharing.due(30, now)) {
      bytes += 30 * (100 + 10 * (summary.stored.size() + summary.removed.size()));
    }
  }
  CHECK(bytes <= 4000 * 66);
}
