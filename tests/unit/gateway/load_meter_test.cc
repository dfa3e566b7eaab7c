#include "gateway/load_meter.h"

#include <catch2/catch.hpp>

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

namespace {

/// Plays `ticks` ticks that are each late by `late`, with `requests` requests before each.
void play(LoadMeter& meter, int ticks, int requests, Duration late) {
  TimePoint due(1h);
  for (int tick = 0; tick < ticks; ++tick) {
    for (int request = 0; request < requests; ++request) meter.onRequest();
    meter.onTick(due, due + late);
    due += LoadMeter::kTick;
  }
}

}  // namespace

TEST_CASE("a meter shows the requests of the last seconds", "[load_meter]") {
  LoadMeter meter;
  play(meter, 30, 20, 0ms);
  CHECK(meter.load().requests_per_second == Approx(100).epsilon(0.05));
  CHECK_FALSE(meter.load().pressed);
}

TEST_CASE("a thread that runs late is pressed until it keeps up again", "[load_meter]") {
  LoadMeter meter;
  play(meter, 3, 20, 10ms);
  CHECK_FALSE(meter.load().pressed);
  play(meter, 5, 20, 150ms);
  CHECK(meter.load().pressed);
  play(meter, 10, 20, 5ms);
  CHECK_FALSE(meter.load().pressed);
}

TEST_CASE("one pause is not pressure, and without requests there is no load", "[load_meter]") {
  LoadMeter meter;
  play(meter, 1, 20, 4s);
  play(meter, 4, 20, 0ms);
  CHECK_FALSE(meter.load().pressed);
  play(meter, 10, 0, 0ms);
  CHECK(meter.idle());
  CHECK(meter.load().requests_per_second == 0);
}
