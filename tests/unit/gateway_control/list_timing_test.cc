#include "gateway_control/list_timing.h"

#include <catch2/catch.hpp>

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

TEST_CASE("a larger fleet batches list changes for longer, up to half of the departure limit",
          "[list_timing]") {
  CHECK(listBatchDelay(1, 2s) == 25ms);
  CHECK(listBatchDelay(8, 2s) == 200ms);
  CHECK(listBatchDelay(69, 3s) == 1500ms);
  CHECK(listBatchDelay(340, 2s) == 1s);
}

// With a fixed wait of 5 s the list was up to 5.5 s old when the connection of the call had gone silent.
TEST_CASE("the list is read again within the departure limit when a call for its changes gets no response",
          "[list_timing]") {
  constexpr Duration kLate = 500ms;
  for (const Duration limit : {1500ms, 2000ms, 3000ms, 5000ms}) {
    CHECK(listWait(limit, kLate) + kLate + 500ms <= limit);
    CHECK(listBatchDelay(1'000, limit) + kLate + 500ms <= std::max<Duration>(limit, 2s));
  }
  CHECK(listWait(2s, kLate) == 1s);
  CHECK(listWait(5s, kLate) == 2500ms);
  CHECK(listWait(500ms, kLate) == 100ms);
}
