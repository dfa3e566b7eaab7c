#include "table_service/table_share.h"

#include <catch2/catch.hpp>
#include <vector>

#include "base/random.h"

using namespace crankspur;
using namespace std::chrono_literals;

namespace {

constexpr RateLimit kFleetLimit{400, 400};
constexpr std::uint32_t kCallers = 2;
constexpr TimePoint kStart(1h);

double fleetRate(const TableShare& share, std::uint32_t routers) {
  return share.callerLimit().per_second * kCallers * routers;
}

}  // namespace

TEST_CASE("a router's share of the table service falls with the routers and recovers an hour later",
          "[table_share]") {
  TableShare share(kFleetLimit, kCallers);
  CHECK(fleetRate(share, 340) < kFleetLimit.per_second);
  share.noteRouters(2, kStart);
  CHECK(fleetRate(share, 2) == Approx(360));
  share.noteRouters(340, kStart + 1s);
  CHECK(fleetRate(share, 340) == Approx(360));
  CHECK(share.callerLimit().burst >= 1);
  // Parted regions: both sides may still reach the service.
  share.noteRouters(85, kStart + 59min);
  CHECK(fleetRate(share, 340) == Approx(360));
  share.noteRouters(85, kStart + 62min);
  CHECK(fleetRate(share, 85) == Approx(360));
}

TEST_CASE("routers that all restart at once with much to claim stay within the fleet's limit",
          "[table_share]") {
  constexpr std::uint32_t routers = 340;
  RandomSource random(7);
  CallRateLimiter service(kFleetLimit);
  std::vector<TableShare> shares(routers, TableShare(kFleetLimit, kCallers));
  std::vector<CallRateLimiter> callers;
  std::vector<TimePoint> list_arrives;
  for (std::uint32_t router = 0; router < routers; ++router) {
    list_arrives.push_back(kStart + std::chrono::milliseconds(random.uniform(0, 1000)));
    for (std::uint32_t caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back(shares[router].callerLimit());
      callers.back().drain(random.unit());
    }
    // The look at the accepted bundle that each router makes at its start.
    CHECK(service.tryAcquire(kStart));
  }
  std::size_t made = 0;
  std::size_t refused = 0;
  for (TimePoint now = kStart; now < kStart + 60s; now += 10ms) {
    for (std::uint32_t router = 0; router < routers; ++router) {
      const bool list_known = now >= list_arrives[router];
      if (list_known) shares[router].noteRouters(routers, now);
      for (std::uint32_t caller = 0; caller < kCallers; ++caller) {
        CallRateLimiter& limiter = callers[router * kCallers + caller];
        if (list_known) limiter.setLimit(shares[router].callerLimit(), now);
        if (!limiter.tryAcquire(now)) continue;
        ++made;
        refused += service.tryAcquire(now) ? 0 : 1;
      }
    }
  }
  CHECK(refused == 0);
  CHECK(made > 60 * 300);
}
