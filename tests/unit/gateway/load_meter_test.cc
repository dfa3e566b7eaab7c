#include "gateway/load_meter.h"

#include <catch2/catch.hpp>

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

namespace {

/// Runs `ticks` ticks that are each late by `late`, with `requests` requests before each.
void runTicks(LoadMeter& meter, int ticks, int requests, Duration late) {
  TimePoint due(1h);
  for (int tick = 0; tick < ticks; ++tick) {
    for (int request = 0; request < requests; ++request) meter.onRequest();
    meter.onTick(due, due + late);
    due += LoadMeter::kTick;
  }
}

}  // namespace

TEST_CASE("a meter reports the request rate of the last seconds", "[load_meter]") {
  LoadMeter meter;
  runTicks(meter, 30, 20, 0ms);
  CHECK(meter.load().requests_per_second == Approx(100).epsilon(0.05));
  CHECK_FALSE(meter.load().pressed);
}

TEST_CASE("a thread that runs late counts as overloaded until it keeps up again", "[load_meter]") {
  LoadMeter meter;
  runTicks(meter, 3, 20, 10ms);
  CHECK_FALSE(meter.load().pressed);
  runTicks(meter, 5, 20, 150ms);
  CHECK(meter.load().pressed);
  runTicks(meter, 10, 20, 5ms);
  CHECK_FALSE(meter.load().pressed);
}

TEST_CASE("a single suspension is not overload, and there is no load without requests", "[load_meter]") {
  LoadMeter meter;
  runTicks(meter, 1, 20, 4s);
  runTicks(meter, 4, 20, 0ms);
  CHECK_FALSE(meter.load().pressed);
  runTicks(meter, 10, 0, 0ms);
  CHECK(meter.idle());
  CHECK(meter.load().requests_per_second == 0);
}
