#include "gateway_control/crash_record.h"

#include <catch2/catch.hpp>

#include "gateway_control/crash_exchange.h"

using namespace crankspur;
using namespace crankspur::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart{seconds(1000)};

/// The store's row.
struct Store {
  std::optional<StoredRecord> read() const { return reachable ? std::optional(record) : std::nullopt; }
  bool write(const RecordCall& call) {
    if (call.expected_version != record.row_version) return false;
    record = {call.text, call.expected_version + 1, Duration(0)};
    return true;
  }

  bool reachable = true;
  StoredRecord record;
};

/// The evidence of one gateway, and its side of the record.
struct RecordFixture {
  explicit RecordFixture(Store& shared_store) : store(shared_store), exchange(1, kStart), record(kStart) {}

  /// Makes the call that is due, if any.
  /// @return whether one was due.
  bool call() {
    const RecordCall next = record.nextCall(exchange.quarantined(now), now);
    if (next.kind == RecordCall::Kind::none) return false;
    if (next.kind == RecordCall::Kind::write) {
      record.onWritten(store.write(next), now);
      return true;
    }
    const std::optional<StoredRecord> row = store.read();
    reads += row ? 1 : 0;
    exchange.onUpdate(record.onRead(row, now), now);
    return true;
  }
  void callAll() {
    while (call()) {
    }
  }

  /// Adds crashes of back ends under the request, one after the other.
  void crashesOf(std::uint64_t request, std::uint64_t crashes) {
    CrashUpdate update;
    for (std::uint64_t crash = 0; crash < crashes; ++crash) {
      const TimePoint at = now - seconds(10) + seconds(crash);
      update.crashes.push_back({{request, 1}, 100 * request + crash, at, at + milliseconds(100)});
    }
    exchange.onOwnUpdate(update, now);
  }

  Store& store;
  TimePoint now = kStart;
  CrashExchange exchange;
  CrashRecord record;
  int reads = 0;
};

}  // namespace

TEST_CASE("a gateway that starts after all have stopped reads the quarantined requests",
          "[gateway_control][crash_suspects]") {
  Store store;
  RecordFixture before(store);
  before.callAll();
  before.crashesOf(1, 3);
  before.crashesOf(2, 1);  // A single crash does not quarantine the request and is not recorded.
  before.record.save(kStart);
  before.callAll();
  REQUIRE(store.record.row_version == 1);
  RecordFixture after(store);
  CHECK_FALSE(after.record.isReady(after.now));
  after.callAll();
  CHECK(after.record.isReady(after.now));
  CHECK(after.exchange.quarantined(after.now).crashes.size() == 3);
  CHECK(after.exchange.allEvidence().crashes.size() == 3);
}

TEST_CASE("requests that another gateway has written stay in the record",
          "[gateway_control][crash_suspects]") {
  Store store;
  RecordFixture first(store);
  RecordFixture second(store);
  first.callAll();
  second.callAll();
  first.crashesOf(1, 3);
  second.crashesOf(2, 3);
  first.record.save(kStart);
  second.record.save(kStart);
  CHECK(first.call());
  CHECK(second.call());  // Both have read the absent row: the second write fails.
  first.callAll();
  second.callAll();
  REQUIRE(store.record.row_version == 1);
  CHECK(second.record.nextTimer() > second.now);
  second.now = second.record.nextTimer();
  second.callAll();
  RecordFixture after(store);
  after.callAll();
  CHECK(after.exchange.quarantined(after.now).crashes.size() == 6);
}

TEST_CASE("a request that is quarantined during a write of the record is written by the next one",
          "[gateway_control][crash_suspects]") {
  Store store;
  RecordFixture gateway(store);
  gateway.callAll();
  gateway.crashesOf(1, 3);
  gateway.record.save(kStart);
  CHECK(gateway.call());
  const RecordCall write = gateway.record.nextCall(gateway.exchange.quarantined(gateway.now), gateway.now);
  REQUIRE(write.kind == RecordCall::Kind::write);
  gateway.crashesOf(2, 3);
  gateway.record.save(kStart);
  CHECK_FALSE(gateway.call());
  gateway.record.onWritten(store.write(write), gateway.now);
  gateway.callAll();
  RecordFixture after(store);
  after.callAll();
  CHECK(after.exchange.quarantined(after.now).crashes.size() == 6);
}

TEST_CASE("reading the record is retried until the store responds and callers wait at most a second",
          "[gateway_control][crash_suspects]") {
  Store store;
  store.reachable = false;
  RecordFixture gateway(store);
  gateway.callAll();
  CHECK(gateway.reads == 0);
  CHECK_FALSE(gateway.record.isReady(gateway.now));
  CHECK(gateway.record.isReady(gateway.now + seconds(1)));
  store.reachable = true;
  CHECK_FALSE(gateway.call());  // Not retried at once.
  gateway.now = gateway.record.nextTimer();
  CHECK(gateway.now <= kStart + seconds(1));
  gateway.callAll();
  CHECK(gateway.reads == 1);
  CHECK(gateway.record.isReady(gateway.now));
}

TEST_CASE("an unreadable record counts as empty and is replaced", "[gateway_control][crash_suspects]") {
  Store store;
  store.record = {"not a frame", 7, Duration(0)};
  RecordFixture gateway(store);
  gateway.callAll();
  CHECK(gateway.record.isReady(gateway.now));
  gateway.crashesOf(1, 3);
  gateway.record.save(kStart);
  gateway.callAll();
  CHECK(store.record.row_version == 8);
}

// A gateway may be suspended while it reads the record. If the response, whose ages date from when the store
// read the row, is processed ten seconds later, the requests must not stay in quarantine for ten seconds
// longer.
TEST_CASE("ages in a record count from when it was requested", "[gateway_control][crash_suspects]") {
  Store store;
  RecordFixture before(store);
  before.callAll();
  before.crashesOf(1, 3);
  before.record.save(kStart);
  before.callAll();
  RecordFixture after(store);
  REQUIRE(after.record.nextCall({}, after.now).kind == RecordCall::Kind::read);
  const CrashUpdate read = after.record.onRead(store.read(), after.now + seconds(10));
  REQUIRE(read.crashes.size() == 3);
  CHECK(read.crashes.back().crashed_at <= before.now - seconds(7));
}
