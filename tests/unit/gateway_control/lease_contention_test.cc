#include "gateway_control/lease_contention.h"

#include <catch2/catch.hpp>

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart(1h);

}  // namespace

TEST_CASE("gateways contend for orders one after the other", "[gateway][order_contention]") {
  LeaseContention contention;
  CHECK_FALSE(contention.contends(0, kStart));
  contention.onWork(kStart, kStart);
  CHECK(contention.contends(0, kStart));
  CHECK_FALSE(contention.contends(2, kStart + 2300ms));
  CHECK(contention.contends(2, kStart + 2400ms));
}

TEST_CASE("weights that are named while orders wait do not put off the next in turn",
          "[gateway][order_contention]") {
  LeaseContention contention;
  contention.onWork(kStart, kStart);
  contention.onWork(kStart + 1s, kStart + 1s);
  contention.onWork(kStart + 2s, kStart + 2s);
  CHECK(contention.contends(2, kStart + 2400ms));
}

TEST_CASE("a gateway waits its turn anew after another was active, and after the work was done",
          "[gateway][order_contention]") {
  LeaseContention contention;
  contention.onWork(kStart, kStart);
  contention.onOthersActive(kStart + 1s);
  CHECK_FALSE(contention.contends(1, kStart + 2s));
  CHECK(contention.contends(1, kStart + 2200ms));
  contention.onWork(std::nullopt, kStart + 3s);
  CHECK_FALSE(contention.contends(0, kStart + 3s));
  contention.onWork(kStart + 4s, kStart + 4s);
  CHECK_FALSE(contention.contends(1, kStart + 5s));
}
