#include "base/suspension_watch.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <ctime>

#include "base/timer.h"

using namespace crankspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a suspension is noticed by the clock that counts it", "[suspension]") {
  SuspensionWatch watch;
  CHECK_FALSE(watch.onTick(seconds(100), seconds(40)));
  CHECK_FALSE(watch.onTick(seconds(101), seconds(41)));
  CHECK(watch.onTick(seconds(108), seconds(42)) == Duration(seconds(6)));
  CHECK_FALSE(watch.onTick(seconds(109), seconds(43)));
}

TEST_CASE("a process that was held up, or clocks read one after the other, are no suspension",
          "[suspension]") {
  SuspensionWatch watch;
  watch.onTick(seconds(100), seconds(40));
  CHECK_FALSE(watch.onTick(seconds(130), seconds(70)));
  CHECK_FALSE(watch.onTick(seconds(131) + milliseconds(20), seconds(71)));
}

TEST_CASE("the product's clock is the one that counts suspensions", "[suspension]") {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  const TimePoint boot{seconds(time.tv_sec) +
                       std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec))};
  const Duration ahead = SteadyClock().now() - boot;
  CHECK(ahead >= Duration(0));
  CHECK(ahead < seconds(5));
}

TEST_CASE("a timer is armed by the time left, and for far instants at all", "[suspension]") {
  boost::asio::io_context context;
  boost::asio::steady_timer timer(context);
  const TimePoint now{seconds(1'000'000)};  // Of a clock far ahead of Asio's.
  const auto left = [&] { return timer.expiry() - std::chrono::steady_clock::now(); };
  expireAt(timer, now + seconds(5), now);
  CHECK(left() <= seconds(5));
  CHECK(left() > seconds(3));
  expireAt(timer, now - seconds(5), now);
  CHECK(left() <= seconds(0));
  expireAt(timer, TimePoint::max(), now);
  CHECK(left() > seconds(3600));
}
