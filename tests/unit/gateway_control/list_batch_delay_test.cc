#include "gateway_control/list_batch_delay.h"

#include <catch2/catch.hpp>

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

TEST_CASE("a larger fleet batches list changes for longer, up to half of the departure limit",
          "[list_batch_delay]") {
  CHECK(listBatchDelay(1, 2s) == 25ms);
  CHECK(listBatchDelay(8, 2s) == 200ms);
  CHECK(listBatchDelay(69, 3s) == 1500ms);
  CHECK(listBatchDelay(340, 2s) == 1s);
}
