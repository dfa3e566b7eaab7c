#include "gateway/named_weights.h"

#include <catch2/catch.hpp>

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

TEST_CASE("weights found at the start get no fresh grace", "[named_weights]") {
  const TimePoint start(1h);
  WeightsClock clock(6s);
  GatewaySnapshot snapshot;
  snapshot.weights = {{"found", 2, start - 4s}, {"new", 2, {}}};
  clock.onSnapshot(snapshot, start);
  CHECK_FALSE(clock.leastWeights("found", start + 1s));
  CHECK(clock.leastWeights("found", start + 2s) == 2);
  CHECK_FALSE(clock.leastWeights("new", start + 5s));
  CHECK(clock.leastWeights("new", start + 6s) == 2);
}
