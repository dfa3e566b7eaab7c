#include "table_service/table_rate_share.h"

#include <catch2/catch.hpp>
#include <vector>

#include "base/random.h"

using namespace crankspur;
using namespace std::chrono_literals;

namespace {

constexpr RateLimit kFleetLimit{400, 400};
constexpr std::uint32_t kCallers = 2;
constexpr TimePoint kStart(1h);

double fleetRate(const TableRateShare& share, std::uint32_t routers) {
  return share.callerLimit().per_second * kCallers * routers;
}

}  // namespace

TEST_CASE(
    "a router's share of the table service shrinks as routers are added and grows an hour after they leave",
    "[table_share]") {
  TableRateShare share(kFleetLimit, kCallers);
  CHECK(fleetRate(share, 340) < kFleetLimit.per_second);
  share.recordRouterCount(2, kStart);
  CHECK(fleetRate(share, 2) == Approx(360));
  share.recordRouterCount(340, kStart + 1s);
  CHECK(fleetRate(share, 340) == Approx(360));
  CHECK(share.callerLimit().burst >= 1);
  // Partitioned regions: both sides may still reach the service.
  share.recordRouterCount(85, kStart + 59min);
  CHECK(fleetRate(share, 340) == Approx(360));
  share.recordRouterCount(85, kStart + 62min);
  CHECK(fleetRate(share, 85) == Approx(360));
}

TEST_CASE("routers that all restart at once with many claims stay within the fleet's rate limit",
          "[table_share]") {
  constexpr std::uint32_t routers = 340;
  RandomSource random(7);
  CallRateLimiter service(kFleetLimit);
  std::vector<TableRateShare> shares(routers, TableRateShare(kFleetLimit, kCallers));
  std::vector<CallRateLimiter> callers;
  std::vector<TimePoint> list_received_at;
  for (std::uint32_t router = 0; router < routers; ++router) {
    list_received_at.push_back(kStart + std::chrono::milliseconds(random.uniform(0, 1000)));
    for (std::uint32_t caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back(shares[router].callerLimit());
      callers.back().drain(random.unit());
    }
    // Each router reads the accepted bundle at startup.
    CHECK(service.tryAcquire(kStart));
  }
  std::size_t calls = 0;
  std::size_t rejected = 0;
  for (TimePoint now = kStart; now < kStart + 60s; now += 10ms) {
    for (std::uint32_t router = 0; router < routers; ++router) {
      const bool list_received = now >= list_received_at[router];
      if (list_received) shares[router].recordRouterCount(routers, now);
      for (std::uint32_t caller = 0; caller < kCallers; ++caller) {
        CallRateLimiter& limiter = callers[router * kCallers + caller];
        if (list_received) limiter.setLimit(shares[router].callerLimit(), now);
        if (!limiter.tryAcquire(now)) continue;
        ++calls;
        rejected += service.tryAcquire(now) ? 0 : 1;
      }
    }
  }
  CHECK(rejected == 0);
  CHECK(calls > 60 * 300);
}
