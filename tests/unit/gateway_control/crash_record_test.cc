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
  bool write(const CrashRecordCall& call) {
    if (call.expected_version != record.row_version) return false;
    record = {call.text, call.expected_version + 1, Duration(0)};
    return true;
  }

  bool reachable = true;
  StoredRecord record;
};

/// What one gateway knows, and the record as it keeps it.
struct Keeper {
  explicit Keeper(Store& kept) : store(kept), exchange(1, kStart), record(kStart) {}

  /// Makes the call that is asked for now.
  /// @return whether there was one.
  bool call() {
    const CrashRecordCall asked = record.nextCall(exchange.quarantined(now), now);
    if (asked.kind == CrashRecordCall::Kind::none) return false;
    if (asked.kind == CrashRecordCall::Kind::write) {
      record.onWritten(store.write(asked), now);
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

  /// Back ends crashed under the request, one after the other.
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

TEST_CASE("a gateway that starts after all have ended knows what was quarantined",
          "[gateway_control][crash_suspects]") {
  Store store;
  Keeper before(store);
  before.callAll();
  before.crashesOf(1, 3);
  before.crashesOf(2, 1);  // A crash that says nothing yet is not worth a row.
  before.record.save();
  before.callAll();
  REQUIRE(store.record.row_version == 1);
  Keeper after(store);
  CHECK_FALSE(after.record.isReady(after.now));
  after.callAll();
  CHECK(after.record.isReady(after.now));
  CHECK(after.exchange.quarantined(after.now).crashes.size() == 3);
  CHECK(after.exchange.allEvidence().crashes.size() == 3);
}

TEST_CASE("what another gateway has written stays in the record", "[gateway_control][crash_suspects]") {
  Store store;
  Keeper one(store);
  Keeper other(store);
  one.callAll();
  other.callAll();
  one.crashesOf(1, 3);
  other.crashesOf(2, 3);
  one.record.save();
  other.record.save();
  CHECK(one.call());
  CHECK(other.call());  // Both have read the absent row: the second write fails.
  one.callAll();
  other.callAll();
  REQUIRE(store.record.row_version == 1);
  CHECK(other.record.nextTimer() > other.now);
  other.now = other.record.nextTimer();
  other.callAll();
  Keeper after(store);
  after.callAll();
  CHECK(after.exchange.quarantined(after.now).crashes.size() == 6);
}

TEST_CASE("what is quarantined while the record is written is written after it",
          "[gateway_control][crash_suspects]") {
  Store store;
  Keeper keeper(store);
  keeper.callAll();
  keeper.crashesOf(1, 3);
  keeper.record.save();
  CHECK(keeper.call());
  const CrashRecordCall write = keeper.record.nextCall(keeper.exchange.quarantined(keeper.now), keeper.now);
  REQUIRE(write.kind == CrashRecordCall::Kind::write);
  keeper.crashesOf(2, 3);
  keeper.record.save();
  CHECK_FALSE(keeper.call());
  keeper.record.onWritten(store.write(write), keeper.now);
  keeper.callAll();
  Keeper after(store);
  after.callAll();
  CHECK(after.exchange.quarantined(after.now).crashes.size() == 6);
}

TEST_CASE("the record is asked for until the store answers; callers wait a second at most",
          "[gateway_control][crash_suspects]") {
  Store store;
  store.reachable = false;
  Keeper keeper(store);
  keeper.callAll();
  CHECK(keeper.reads == 0);
  CHECK_FALSE(keeper.record.isReady(keeper.now));
  CHECK(keeper.record.isReady(keeper.now + seconds(1)));
  store.reachable = true;
  CHECK_FALSE(keeper.call());  // Not at once again.
  keeper.now = keeper.record.nextTimer();
  CHECK(keeper.now <= kStart + seconds(1));
  keeper.callAll();
  CHECK(keeper.reads == 1);
  CHECK(keeper.record.isReady(keeper.now));
}

TEST_CASE("a record that is not readable counts as none", "[gateway_control][crash_suspects]") {
  Store store;
  store.record = {"not a frame", 7, Duration(0)};
  Keeper keeper(store);
  keeper.callAll();
  CHECK(keeper.record.isReady(keeper.now));
  keeper.crashesOf(1, 3);
  keeper.record.save();
  keeper.callAll();
  CHECK(store.record.row_version == 8);
}

// A gateway was suspended while it read the record: the answer, with ages as of when the store read the row,
// was taken ten seconds later, and the requests stayed in quarantine for ten seconds longer.
TEST_CASE("ages of a record count from when it was asked for", "[gateway_control][crash_suspects]") {
  Store store;
  Keeper before(store);
  before.callAll();
  before.crashesOf(1, 3);
  before.record.save();
  before.callAll();
  Keeper after(store);
  REQUIRE(after.record.nextCall({}, after.now).kind == CrashRecordCall::Kind::read);
  const CrashUpdate read = after.record.onRead(store.read(), after.now + seconds(10));
  REQUIRE(read.crashes.size() == 3);
  CHECK(read.crashes.back().crashed_at <= before.now - seconds(7));
}
