/// @file Guards against streams that nobody can continue: after all gateways were killed at once, none knew
/// which build had begun a stream, and all of them were refused although their build still served.

#include "gateway_control/origin_record.h"

#include <catch2/catch.hpp>
#include <set>

#include "gateway/stream_origins.h"

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart(1h);
constexpr std::size_t kPeers = 6;

/// The row in the platform's store, and when it was written.
struct Row {
  StoredRecord record;
  TimePoint written_at{};
  std::size_t writes = 0;
  std::size_t reads = 0;
  bool reachable = true;
  bool response_lost = false;  ///< Of writes that take effect.
};

/// Executes the calls that are due.
/// @return the origins that were restored.
std::vector<StreamOriginRecord> step(OriginRecord& record, Row& row, TimePoint now) {
  const RecordCall call = record.nextCall(kPeers, now);
  if (call.kind == RecordCall::Kind::read) {
    ++row.reads;
    row.record.age = now - row.written_at;
    return record.onRead(row.reachable ? std::optional(row.record) : std::nullopt, now);
  }
  if (call.kind != RecordCall::Kind::write) return {};
  ++row.writes;
  if (!row.reachable || call.expected_version != row.record.row_version) {
    record.onWritten(std::nullopt, now);
    return {};
  }
  row.record = {call.text, row.record.row_version + 1, Duration(0)};
  row.written_at = now;
  record.onWritten(row.response_lost ? std::nullopt : std::optional(row.record.row_version), now);
  return {};
}

void run(OriginRecord& record, Row& row, TimePoint begin, TimePoint end) {
  for (TimePoint now = begin; now < end; now += 50ms) step(record, row, now);
}

std::set<std::uint64_t> attemptsOf(const std::vector<StreamOriginRecord>& origins) {
  std::set<std::uint64_t> attempts;
  for (const StreamOriginRecord& origin : origins) attempts.insert(origin.attempt);
  return attempts;
}

}  // namespace

TEST_CASE("a gateway that was killed knows the origins that it kept", "[origin_record]") {
  Row row;
  OriginRecord killed("a", kStart);
  run(killed, row, kStart, kStart + 1s);
  killed.onKept({{1, 11, false}, {2, 12, false}, {1, 11, false}}, kStart + 1s);
  run(killed, row, kStart + 1s, kStart + 3s);
  OriginRecord restarted("a", kStart + 4s);
  const std::vector<StreamOriginRecord> restored = step(restarted, row, kStart + 4s);
  CHECK(attemptsOf(restored) == std::set<std::uint64_t>{1, 2});
  CHECK(restored[1].build == 12);
  // The next write keeps what was restored.
  restarted.onKept({{3, 11, false}}, kStart + 5s);
  run(restarted, row, kStart + 5s, kStart + 7s);
  OriginRecord again("a", kStart + 8s);
  CHECK(attemptsOf(step(again, row, kStart + 8s)) == std::set<std::uint64_t>{1, 2, 3});
}

TEST_CASE("origins are not restored once no client resumes their streams", "[origin_record]") {
  Row row;
  OriginRecord killed("a", kStart);
  run(killed, row, kStart, kStart + 1s);
  killed.onKept({{1, 11, false}}, kStart + 1s);
  run(killed, row, kStart + 1s, kStart + 3s);
  OriginRecord restarted("a", kStart + 40s);
  CHECK(step(restarted, row, kStart + 40s).empty());
  CHECK(restarted.isReady(kStart + 40s));
}

TEST_CASE("origins are written at a bounded rate and only while streams begin", "[origin_record]") {
  Row row;
  OriginRecord record("a", kStart);
  TimePoint now = kStart;
  for (std::uint64_t attempt = 1; attempt <= 1'000; ++attempt, now += 10ms) {
    record.onKept({{attempt, 11, false}}, now);
    step(record, row, now);
  }
  // In 10 s, at most five times a second.
  CHECK(row.writes >= 40);
  CHECK(row.writes <= 51);
  run(record, row, now, now + 2s);
  const std::size_t writes = row.writes;
  run(record, row, now + 2s, now + 60s);
  CHECK(row.writes == writes);
  CHECK(row.reads == 1);
}

TEST_CASE("the row of origins stays within the size of a row", "[origin_record]") {
  Row row;
  OriginRecord record("a", kStart);
  run(record, row, kStart, kStart + 1s);
  for (std::uint64_t attempt = 1; attempt <= 5'000; ++attempt)
    record.onKept({{attempt << 40U, ~std::uint64_t{0}, false}}, kStart + 1s);
  run(record, row, kStart + 1s, kStart + 3s);
  CHECK(row.record.text.size() < 48'000);
  OriginRecord restarted("a", kStart + 3s);
  const std::set<std::uint64_t> restored = attemptsOf(step(restarted, row, kStart + 3s));
  CHECK(restored.contains(std::uint64_t{5'000} << 40U));
  CHECK_FALSE(restored.contains(std::uint64_t{1} << 40U));
}

TEST_CASE("a write without a response is followed by a read, and nothing is lost", "[origin_record]") {
  Row row;
  OriginRecord record("a", kStart);
  run(record, row, kStart, kStart + 1s);
  SECTION("it took effect") {
    row.response_lost = true;
  }
  SECTION("it did not") {
    row.reachable = false;
  }
  record.onKept({{1, 11, false}}, kStart + 1s);
  step(record, row, kStart + 1s);
  row.response_lost = false;
  row.reachable = true;
  record.onKept({{2, 11, false}}, kStart + 1s);
  run(record, row, kStart + 1s, kStart + 5s);
  OriginRecord restarted("a", kStart + 5s);
  CHECK(attemptsOf(step(restarted, row, kStart + 5s)) == std::set<std::uint64_t>{1, 2});
}

TEST_CASE("a store that does not respond delays a gateway's start for a bounded time", "[origin_record]") {
  Row row;
  row.reachable = false;
  OriginRecord record("a", kStart);
  run(record, row, kStart, kStart + 2s);
  CHECK_FALSE(record.isReady(kStart + 500ms));
  CHECK(record.isReady(kStart + 2s));
  CHECK(row.writes == 0);
}
