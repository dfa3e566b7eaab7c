#include "gateway_control/crash_record.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "gateway_control/crash_exchange.h"
#include "unit/gateway_control/platform_link_fake.h"
#include "unit/run_until.h"

using namespace crankspur;
using namespace crankspur::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// What one gateway knows, and the record as it keeps it.
struct Keeper {
  explicit Keeper(FakePlatformLink& link, boost::asio::io_context& context)
      : exchange(1, clock.now()), record(context.get_executor(), link, callbacks()) {}

  CrashRecordCallbacks callbacks() {
    CrashRecordCallbacks made;
    made.quarantined = [this] { return exchange.quarantined(clock.now()); };
    made.on_read = [this](const CrashNews& news) {
      ++reads;
      exchange.onNews(news, clock.now());
    };
    return made;
  }

  /// Back ends ended under the request, one after the other.
  void endsOf(std::uint64_t request, std::uint64_t ends) {
    CrashNews news;
    for (std::uint64_t end = 0; end < ends; ++end) {
      const TimePoint at = clock.now() - seconds(10) + seconds(end);
      news.crashes.push_back({{request, 1}, 100 * request + end, at, at + milliseconds(100)});
    }
    exchange.onOwnNews(news, clock.now());
  }

  SteadyClock clock;
  CrashExchange exchange;
  CrashRecord record;
  int reads = 0;
};

}  // namespace

TEST_CASE("a gateway that starts after all have ended knows what was quarantined",
          "[gateway_control][crash_suspects]") {
  boost::asio::io_context context;
  FakePlatformLink link;
  Keeper before(link, context);
  before.endsOf(1, 3);
  before.endsOf(2, 1);  // An end that says nothing yet is not worth a row.
  before.record.save();
  link.answerRecordReads(true);
  REQUIRE(link.record.row_version == 1);
  Keeper after(link, context);
  CHECK_FALSE(after.record.isSettled(after.clock.now()));
  after.record.load();
  link.answerRecordReads(true);
  CHECK(after.record.isSettled(after.clock.now()));
  CHECK(after.exchange.quarantined(after.clock.now()).crashes.size() == 3);
  CHECK(after.exchange.everything().crashes.size() == 3);
}

TEST_CASE("what another gateway has written stays in the record", "[gateway_control][crash_suspects]") {
  boost::asio::io_context context;
  FakePlatformLink link;
  Keeper one(link, context);
  Keeper other(link, context);
  one.endsOf(1, 3);
  other.endsOf(2, 3);
  one.record.save();
  other.record.save();
  link.answerRecordReads(true);  // Both have read the absent row: the second write fails.
  runUntil(context, [&] { return !link.record_reads.empty(); });
  link.answerRecordReads(true);
  Keeper after(link, context);
  after.record.load();
  link.answerRecordReads(true);
  CHECK(after.exchange.quarantined(after.clock.now()).crashes.size() == 6);
}

TEST_CASE("the record is asked for until the store answers; callers wait a second at most",
          "[gateway_control][crash_suspects]") {
  boost::asio::io_context context;
  FakePlatformLink link;
  Keeper keeper(link, context);
  keeper.record.load();
  link.answerRecordReads(false);
  CHECK(keeper.reads == 0);
  CHECK_FALSE(keeper.record.isSettled(keeper.clock.now()));
  CHECK(keeper.record.isSettled(keeper.clock.now() + seconds(1)));
  runUntil(context, [&] { return !link.record_reads.empty(); });
  link.answerRecordReads(true);
  CHECK(keeper.reads == 1);
}

TEST_CASE("a record that is not readable counts as none", "[gateway_control][crash_suspects]") {
  boost::asio::io_context context;
  FakePlatformLink link;
  link.record = {"not a frame", 7, Duration(0)};
  Keeper keeper(link, context);
  keeper.record.load();
  link.answerRecordReads(true);
  CHECK(keeper.record.isSettled(keeper.clock.now()));
  keeper.endsOf(1, 3);
  keeper.record.save();
  link.answerRecordReads(true);
  CHECK(link.record.row_version == 8);
}
