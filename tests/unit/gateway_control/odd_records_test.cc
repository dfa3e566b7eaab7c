/// @file Guards against rows of another writer in the place of the gateways' own records that stop a gateway
/// or take up its time: frames that are cut short or altered, as many entries as a row can hold, and numbers
/// at their limits.

#include <catch2/catch.hpp>
#include <chrono>
#include <limits>
#include <string>
#include <vector>

#include "base/random.h"
#include "gateway_control/crash_exchange.h"
#include "gateway_control/crash_record.h"
#include "gateway_control/origin_record.h"
#include "internal_protocol/codec.h"

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart(1h);
constexpr std::uint64_t kMax64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint32_t kMax32 = std::numeric_limits<std::uint32_t>::max();
/// Largest value of a row in the platform's store.
constexpr std::size_t kRowBytes = std::size_t{64} * 1024;
/// Entries that are added to a record at a time, and the most bytes that one of them takes up.
constexpr std::size_t kBatch = 24;
constexpr std::size_t kMaxEntryBytes = 60;
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr int kInstrumentationFactor = 20;  ///< Such builds are not optimized either.
#else
constexpr int kInstrumentationFactor = 1;
#endif
/// A thread that works longer than this on one row delays requests.
constexpr auto kMaxWork = kInstrumentationFactor * 1s;

/// The evidence of a gateway that reads a record.
struct Reader {
  explicit Reader(const std::string& text) {
    const StoredRecord row{text, 7, 0s};
    const RecordCall call = record.nextCall(exchange.quarantined(kStart), kStart);
    REQUIRE(call.kind == RecordCall::Kind::read);
    exchange.onUpdate(record.onRead(row, kStart), kStart);
  }

  /// Crashes of back ends under a request, as seen by this gateway.
  void crashesOf(std::uint64_t request) {
    CrashUpdate update;
    for (std::uint64_t crash = 0; crash < 3; ++crash) {
      const TimePoint at = kStart - 10s + std::chrono::seconds(crash);
      update.crashes.push_back({{request, request}, 1'000'000 + crash, at, at + 100ms});
    }
    exchange.onOwnUpdate(update, kStart);
  }

  bool quarantines(std::uint64_t request) {
    CrashUpdate update;
    update.crashes.push_back({{request, request}, 1'000'000, kStart, kStart});
    return exchange.quarantines(update, kStart);
  }

  CrashExchange exchange{1, kStart};
  CrashRecord record{kStart};
};

/// Quarantined requests with three crashes each, in entries that are as short as possible.
CrashNotes shortCrashes() {
  CrashNotes notes;
  for (std::uint64_t batch = 0; encodeFrame(notes).size() < kRowBytes - kBatch * kMaxEntryBytes; ++batch) {
    for (std::uint32_t more = 0; more < kBatch; ++more) {
      const std::uint64_t crash = kBatch * batch + more;
      notes.crashes.push_back(
          {0, crash / 3, crash, 3'000 - 1'000 * (more % 3), 2'900 - 1'000 * (more % 3), 0});
    }
  }
  return notes;
}

CrashNotes extremes() {
  CrashNotes notes;
  for (const std::uint64_t id : {std::uint64_t{0}, std::uint64_t{1}, kMax64 - 1, kMax64}) {
    for (const std::uint32_t age : {0U, 1U, kMax32 / 2, kMax32 - 1, kMax32}) {
      notes.crashes.push_back({id, id, id, age, kMax32 - age, kMax32 - age});
      notes.crashes.push_back({id, id, id, kMax32 - age, age, age});
      notes.cleared.push_back({id, id, age});
      notes.living.push_back({id, age});
    }
  }
  return notes;
}

template <typename Work>
Duration timeOf(Work work) {
  const auto begin = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - begin);
}

/// @return frames that are cut short, or have some bytes altered.
std::vector<std::string> damaged(const std::string& frame) {
  RandomSource random(11);
  std::vector<std::string> frames;
  for (std::size_t length = 0; length < std::min<std::size_t>(frame.size(), 60); ++length) {
    frames.push_back(frame.substr(0, length));
  }
  for (int round = 0; round < 2'000; ++round) {
    std::string altered = frame;
    for (int change = 0; change < 3; ++change) {
      altered[random.uniform(0, altered.size() - 1)] = static_cast<char>(random.uniform(0, 255));
    }
    frames.push_back(altered);
  }
  return frames;
}

}  // namespace

TEST_CASE("a record full of quarantined requests is read in bounded time, and further crashes count",
          "[odd_rows][crash_suspects]") {
  const std::string text = encodeFrame(shortCrashes());
  const Duration spent = timeOf([&] {
    Reader reader(text);
    reader.crashesOf(kMax64);
    CHECK(reader.quarantines(kMax64));
    CHECK(encodeFrame(toNotes(reader.exchange.quarantined(kStart), kStart)).size() < kRowBytes);
  });
  CHECK(spent < kMaxWork);
}

TEST_CASE("a record with numbers at their limits quarantines no other request, and further crashes count",
          "[odd_rows][crash_suspects]") {
  Reader reader(encodeFrame(extremes()));
  CHECK_FALSE(reader.quarantines(5));
  reader.crashesOf(5);
  CHECK(reader.quarantines(5));
  CHECK(reader.record.isReady(kStart));
}

TEST_CASE("a record full of signs of life or of cleared requests is read in bounded time",
          "[odd_rows][crash_suspects]") {
  CrashNotes notes = shortCrashes();
  notes.crashes.resize(notes.crashes.size() / 3);
  for (std::uint64_t batch = 0; encodeFrame(notes).size() < kRowBytes - kBatch * kMaxEntryBytes; ++batch) {
    for (std::uint64_t more = 0; more < kBatch; ++more) {
      notes.living.push_back({kBatch * batch + more, 1'000'000});
      notes.cleared.push_back({kMax64, kBatch * batch + more, 1'000'000});
    }
  }
  const Duration spent = timeOf([&] {
    Reader reader(encodeFrame(notes));
    // The row is read again before each write.
    for (int read = 0; read < 3; ++read) reader.exchange.onUpdate(toUpdate(notes, kStart), kStart);
    reader.crashesOf(5);
    CHECK(reader.quarantines(5));
  });
  CHECK(spent < kMaxWork);
}

TEST_CASE("records of crashes and of streams that are cut short or altered are read within bounds",
          "[odd_rows][crash_suspects]") {
  for (const std::string& text : damaged(encodeFrame(extremes()))) {
    Reader reader(text);
    CHECK(reader.record.isReady(kStart));
    CHECK(reader.exchange.allEvidence().crashes.size() < 50);
  }
  StreamOrigins origins;
  for (std::uint64_t attempt = 0; attempt < 40; ++attempt)
    origins.begun.push_back({kMax64 - attempt, attempt});
  for (const std::string& text : damaged(encodeFrame(origins))) {
    OriginRecord record("gateway", kStart);
    CHECK(record.onRead(StoredRecord{text, 7, 0s}, kStart).size() <= origins.begun.size());
    CHECK(record.isReady(kStart));
  }
}

TEST_CASE("a record full of streams is read in bounded time, and what is written fits in a row",
          "[odd_rows][stream_origins]") {
  StreamOrigins origins;
  for (std::uint64_t batch = 0; encodeFrame(origins).size() < kRowBytes - kBatch * kMaxEntryBytes; ++batch) {
    for (std::uint64_t more = 0; more < kBatch; ++more) {
      origins.begun.push_back({kMax64 - (kBatch * batch + more), kMax64, true, kMax64});
    }
  }
  OriginRecord record("gateway", kStart);
  const Duration spent = timeOf([&] {
    const auto read = record.onRead(StoredRecord{encodeFrame(origins), 7, 0s}, kStart);
    CHECK(read.size() == origins.begun.size());
    record.onKept({{kMax64 / 2, 1, false}}, kStart);
  });
  CHECK(spent < kMaxWork);
  const RecordCall call = record.nextCall(1, kStart + 1s);
  REQUIRE(call.kind == RecordCall::Kind::write);
  CHECK(call.text.size() * 4 / 3 < kRowBytes);
}
