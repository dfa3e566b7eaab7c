#include "gateway_control/lease_contention.h"

#include <catch2/catch.hpp>

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart(1h);

}  // namespace

TEST_CASE("gateways contend for the order lease one after the other, in order of rank",
          "[gateway][lease_contention]") {
  LeaseContention contention;
  CHECK_FALSE(contention.contends(0, kStart));
  contention.onPendingWork(kStart, kStart);
  CHECK(contention.contends(0, kStart));
  CHECK_FALSE(contention.contends(2, kStart + 2300ms));
  CHECK(contention.contends(2, kStart + 2400ms));
}

TEST_CASE("weights named while work is pending do not delay the next gateway's turn",
          "[gateway][lease_contention]") {
  LeaseContention contention;
  contention.onPendingWork(kStart, kStart);
  contention.onPendingWork(kStart + 1s, kStart + 1s);
  contention.onPendingWork(kStart + 2s, kStart + 2s);
  CHECK(contention.contends(2, kStart + 2400ms));
}

TEST_CASE("a gateway's delay starts again after another gateway was active and after the work was done",
          "[gateway][lease_contention]") {
  LeaseContention contention;
  contention.onPendingWork(kStart, kStart);
  contention.onOthersActive(kStart + 1s);
  CHECK_FALSE(contention.contends(1, kStart + 2s));
  CHECK(contention.contends(1, kStart + 2200ms));
  contention.onPendingWork(std::nullopt, kStart + 3s);
  CHECK_FALSE(contention.contends(0, kStart + 3s));
  contention.onPendingWork(kStart + 4s, kStart + 4s);
  CHECK_FALSE(contention.contends(1, kStart + 5s));
}
