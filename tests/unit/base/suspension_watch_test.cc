#include "base/suspension_watch.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <ctime>

#include "base/timer.h"

using namespace crankspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a suspension is detected by the offset between the clocks", "[suspension]") {
  SuspensionWatch watch;
  CHECK_FALSE(watch.onTick(seconds(100), seconds(40)));
  CHECK_FALSE(watch.onTick(seconds(101), seconds(41)));
  CHECK(watch.onTick(seconds(108), seconds(42)) == Duration(seconds(6)));
  CHECK_FALSE(watch.onTick(seconds(109), seconds(43)));
}

TEST_CASE("a stalled process, or clocks read one after the other, are not reported as a suspension",
          "[suspension]") {
  SuspensionWatch watch;
  watch.onTick(seconds(100), seconds(40));
  CHECK_FALSE(watch.onTick(seconds(130), seconds(70)));
  CHECK_FALSE(watch.onTick(seconds(131) + milliseconds(20), seconds(71)));
}

TEST_CASE("SteadyClock includes suspended time", "[suspension]") {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  const TimePoint boot{seconds(time.tv_sec) +
                       std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec))};
  const Duration offset = SteadyClock().now() - boot;
  CHECK(offset >= Duration(0));
  CHECK(offset < seconds(5));
}

TEST_CASE("a timer is set by the remaining time, also for very distant time points", "[suspension]") {
  boost::asio::io_context context;
  boost::asio::steady_timer timer(context);
  const TimePoint now{seconds(1'000'000)};  // On a clock far ahead of Asio's.
  const auto remaining = [&] { return timer.expiry() - std::chrono::steady_clock::now(); };
  expireAt(timer, now + seconds(5), now);
  CHECK(remaining() <= seconds(5));
  CHECK(remaining() > seconds(3));
  expireAt(timer, now - seconds(5), now);
  CHECK(remaining() <= seconds(0));
  expireAt(timer, TimePoint::max(), now);
  CHECK(remaining() > seconds(3600));
}
