#include "gateway/named_weights.h"

#include <catch2/catch.hpp>

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

TEST_CASE("the grace period of weights found at the start begins when they were named", "[named_weights]") {
  const TimePoint start(1h);
  WeightsClock clock(6s);
  GatewaySnapshot snapshot;
  snapshot.weights = {{"found", 2, start - 4s}, {"new", 2, {}}};
  clock.onSnapshot(snapshot, start);
  CHECK_FALSE(clock.minWeightsVersion("found", start + 1s));
  CHECK(clock.minWeightsVersion("found", start + 2s) == 2);
  CHECK_FALSE(clock.minWeightsVersion("new", start + 5s));
  CHECK(clock.minWeightsVersion("new", start + 6s) == 2);
}
