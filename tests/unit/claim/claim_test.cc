#include "claim/claim.h"

#include <catch2/catch.hpp>
#include <map>

#include "base/random.h"

using namespace crankspur;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = ClaimOutcome::Kind;
using Phase = ClaimRow::Phase;

namespace {

const TimePoint kStart{seconds(100)};

/// One row of the table service with compare-and-set.
struct Table {
  ClaimRow row;

  bool write(const ClaimAction& action) {
    if (row.row_version != action.expected_version) return false;
    const std::uint64_t version = row.row_version + 1;
    row = action.write;
    row.row_version = version;
    return true;
  }
};

/// A claim and the table that it operates on.
struct Claimant {
  Table& table;
  std::unique_ptr<Claim> claim;
  TimePoint now = kStart;

  Claimant(Table& shared, const std::string& token, const std::string& body = "body")
      : table(shared), claim(makeClaim("key", token, kStart + seconds(2), 1, body)) {}

  /// Executes all due operations, advancing time to the claim's timers up to `until`.
  void run(TimePoint until) {
    while (true) {
      if (const auto action = claim->poll(now)) {
        respond(*action);
      } else if (claim->nextTimer() <= until) {
        now = std::max(now, claim->nextTimer());
      } else {
        return;
      }
    }
  }
  void respond(const ClaimAction& action) {
    if (action.kind == ClaimAction::Kind::Read) return claim->onRead(table.row, now);
    const bool committed = table.write(action);
    claim->onWritten(committed, now, committed ? table.row.row_version : 0);
  }
  Kind outcome(TimePoint until = kStart + seconds(10)) {
    run(until);
    REQUIRE(claim->outcome());
    return claim->outcome()->kind;
  }
};

}  // namespace

TEST_CASE("a claim is granted once and later claimants receive the recorded response", "[claim]") {
  Table table;
  Claimant first(table, "a");
  REQUIRE(first.outcome() == Kind::Granted);
  Claimant concurrent(table, "b");
  CHECK(concurrent.outcome() == Kind::HeldByOther);
  CHECK(concurrent.now - kStart >= seconds(1));  // The holder is given time to finish.
  first.claim->complete("the answer", first.now);
  first.run(kStart + seconds(10));
  CHECK(first.claim->isFinished());
  Claimant later(table, "c");
  CHECK(later.outcome() == Kind::AlreadyDone);
  CHECK(later.claim->outcome()->result == "the answer");
}

TEST_CASE("a key reused with different content is rejected", "[claim]") {
  Table table;
  Claimant first(table, "a", "one keel");
  REQUIRE(first.outcome() == Kind::Granted);
  CHECK(Claimant(table, "b", "two keels").outcome() == Kind::KeyReused);
  first.claim->complete("done", first.now);
  first.run(kStart + seconds(10));
  CHECK(Claimant(table, "c", "two keels").outcome() == Kind::KeyReused);
}

TEST_CASE("the row is read back after the response to a claim write was lost", "[claim]") {
  Table table;
  Claimant claimant(table, "a");
  const auto write = claimant.claim->poll(kStart);
  REQUIRE(write);
  SECTION("it committed: granted by the token") {
    table.write(*write);
    claimant.claim->onFailed(kStart);
    CHECK(claimant.outcome() == Kind::Granted);
  }
  SECTION("it did not commit: written again") {
    claimant.claim->onFailed(kStart);
    CHECK(claimant.outcome() == Kind::Granted);
    CHECK_FALSE(table.write(*write));  // The delayed first write fails its condition.
  }
  SECTION("another claimant wrote first") {
    claimant.claim->onFailed(kStart);
    Claimant other(table, "b");
    REQUIRE(other.outcome() == Kind::Granted);
    CHECK(claimant.outcome() == Kind::HeldByOther);
  }
}

TEST_CASE("a grant that arrives after the deadline is not used and is released", "[claim]") {
  Table table;
  Claimant paused(table, "a");
  const auto write = paused.claim->poll(kStart);
  REQUIRE(table.write(*write));
  paused.now = kStart + seconds(3);
  SECTION("as a response") {
    paused.claim->onWritten(true, paused.now, 1);
  }
  SECTION("as a lost response") {
    paused.claim->onFailed(paused.now);
  }
  REQUIRE(paused.claim->outcome());
  CHECK(paused.claim->outcome()->kind == Kind::Unavailable);
  paused.claim->release(paused.now);
  paused.run(kStart + seconds(60));
  CHECK(paused.claim->isFinished());
  CHECK(table.row.phase == Phase::Released);
  CHECK(Claimant(table, "b").outcome() == Kind::Granted);
}

TEST_CASE("a release invalidates a claim write that is still in flight", "[claim]") {
  Table table;
  table.row = GENERATE(ClaimRow{}, ClaimRow{Phase::Released, "older", "body", "", 4});
  Claimant claimant(table, "a");
  std::optional<ClaimAction> write = claimant.claim->poll(kStart);
  if (table.row.row_version != 0) {
    claimant.respond(*write);  // The row is not absent: the write fails, then the row is read.
    claimant.respond(*claimant.claim->poll(kStart));
    write = claimant.claim->poll(kStart);
  }
  REQUIRE(write);
  claimant.claim->onFailed(kStart + seconds(2));
  REQUIRE(claimant.claim->outcome()->kind == Kind::Unavailable);
  claimant.claim->release(kStart + seconds(2));
  claimant.run(kStart + seconds(60));
  CHECK(claimant.claim->isFinished());
  CHECK_FALSE(table.write(*write));
  CHECK(Claimant(table, "b").outcome() == Kind::Granted);
}

TEST_CASE("a claim is Unavailable exactly at its deadline while the table is down", "[claim]") {
  Table table;
  Claimant claimant(table, "a");
  while (!claimant.claim->outcome()) {
    if (claimant.claim->poll(claimant.now)) claimant.claim->onFailed(claimant.now);
    if (!claimant.claim->outcome()) claimant.now = claimant.claim->nextTimer();
  }
  CHECK(claimant.claim->outcome()->kind == Kind::Unavailable);
  CHECK(claimant.now == kStart + seconds(2));
}

TEST_CASE("claims of different tenants never share a row", "[claim]") {
  CHECK(claimKey("a/b", "c") != claimKey("a", "b/c"));
  CHECK(claimKey("a%2Fb", "c") != claimKey("a/b", "c"));
}

TEST_CASE("random schedules of lost responses, delayed writes and pauses never run a key twice", "[claim]") {
  constexpr int kClaimants = 3;
  for (std::uint64_t seed = 0; seed < 3000; ++seed) {
    RandomSource random(seed);
    Table table;
    std::vector<Claimant> claimants;
    for (int i = 0; i < kClaimants; ++i) claimants.emplace_back(table, "t" + std::to_string(i));
    std::vector<std::optional<ClaimAction>> pending(kClaimants);
    std::vector<ClaimAction> delayed_writes;  // Abandoned writes that are still in flight.
    std::vector<bool> ran(kClaimants, false);
    std::vector<bool> reported_not_run(kClaimants, false);
    for (int step = 0; step < 80; ++step) {
      const auto index = static_cast<std::size_t>(random.uniform(0, kClaimants - 1));
      Claimant& claimant = claimants[index];
      claimant.now += milliseconds(random.uniform(0, 200));
      if (!delayed_writes.empty() && random.chance(0.2)) {
        table.write(delayed_writes.back());
        delayed_writes.pop_back();
      }
      if (!pending[index]) pending[index] = claimant.claim->poll(claimant.now);
      if (!pending[index] || random.chance(0.3)) continue;
      const ClaimAction action = *std::exchange(pending[index], std::nullopt);
      const bool is_write = action.kind == ClaimAction::Kind::CompareAndSet;
      if (random.chance(0.3)) {
        if (is_write && random.chance(0.5)) table.write(action);
        if (is_write && random.chance(0.5)) delayed_writes.push_back(action);
        claimant.claim->onFailed(claimant.now);
      } else {
        claimant.respond(action);
      }
      const auto outcome = claimant.claim->outcome();
      if (!outcome || ran[index] || reported_not_run[index]) continue;
      if (outcome->kind == Kind::Granted) {
        ran[index] = true;
        claimant.claim->complete("r" + std::to_string(index), claimant.now);
      } else if (outcome->kind == Kind::Unavailable) {
        reported_not_run[index] = true;
        claimant.claim->release(claimant.now);
      }
    }
    INFO("seed " << seed);
    CHECK(std::count(ran.begin(), ran.end(), true) <= 1);
    if (table.row.phase == Phase::Done) CHECK(table.row.result.size() == 2);
  }
}
