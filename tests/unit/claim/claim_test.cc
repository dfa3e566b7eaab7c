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

/// One row of the table service, with its compare-and-set.
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

/// A claim and the table it works on.
struct Claimant {
  Table& table;
  std::unique_ptr<Claim> claim;
  TimePoint now = kStart;

  Claimant(Table& shared, const std::string& token, const std::string& body = "body")
      : table(shared), claim(makeClaim("key", token, kStart + seconds(2), 1, body)) {}

  /// Carries out what is due until nothing is, moving time to the claim's timers up to `until`.
  void run(TimePoint until) {
    while (true) {
      if (const auto action = claim->poll(now)) {
        answer(*action);
      } else if (claim->nextTimer() <= until) {
        now = std::max(now, claim->nextTimer());
      } else {
        return;
      }
    }
  }
  void answer(const ClaimAction& action) {
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

TEST_CASE("a claim is granted once; its record answers every later claimant", "[claim]") {
  Table table;
  Claimant first(table, "a");
  REQUIRE(first.outcome() == Kind::Granted);
  Claimant during(table, "b");
  CHECK(during.outcome() == Kind::HeldByOther);
  CHECK(during.now - kStart >= seconds(1));  // The holder is given a moment to finish.
  first.claim->complete("the answer", first.now);
  first.run(kStart + seconds(10));
  CHECK(first.claim->settled());
  Claimant later(table, "c");
  CHECK(later.outcome() == Kind::AlreadyDone);
  CHECK(later.claim->outcome()->result == "the answer");
}

TEST_CASE("the same key with other content is told apart", "[claim]") {
  Table table;
  Claimant first(table, "a", "one keel");
  REQUIRE(first.outcome() == Kind::Granted);
  CHECK(Claimant(table, "b", "two keels").outcome() == Kind::KeyReused);
  first.claim->complete("done", first.now);
  first.run(kStart + seconds(10));
  CHECK(Claimant(table, "c", "two keels").outcome() == Kind::KeyReused);
}

TEST_CASE("a claim write whose answer was lost is read back", "[claim]") {
  Table table;
  Claimant claimant(table, "a");
  const auto write = claimant.claim->poll(kStart);
  REQUIRE(write);
  SECTION("it took effect: granted by the token") {
    table.write(*write);
    claimant.claim->onFailed(kStart);
    CHECK(claimant.outcome() == Kind::Granted);
  }
  SECTION("it did not: written again") {
    claimant.claim->onFailed(kStart);
    CHECK(claimant.outcome() == Kind::Granted);
    CHECK_FALSE(table.write(*write));  // The first one arrives late and is void.
  }
  SECTION("another claimant came first") {
    claimant.claim->onFailed(kStart);
    Claimant other(table, "b");
    REQUIRE(other.outcome() == Kind::Granted);
    CHECK(claimant.outcome() == Kind::HeldByOther);
  }
}

TEST_CASE("a grant that arrives after the deadline is no grant and is released", "[claim]") {
  Table table;
  Claimant paused(table, "a");
  const auto write = paused.claim->poll(kStart);
  REQUIRE(table.write(*write));
  paused.now = kStart + seconds(3);
  SECTION("as an answer") {
    paused.claim->onWritten(true, paused.now, 1);
  }
  SECTION("as a lost answer") {
    paused.claim->onFailed(paused.now);
  }
  REQUIRE(paused.claim->outcome());
  CHECK(paused.claim->outcome()->kind == Kind::Unavailable);
  paused.claim->release(paused.now);
  paused.run(kStart + seconds(60));
  CHECK(paused.claim->settled());
  CHECK(table.row.phase == Phase::Released);
  CHECK(Claimant(table, "b").outcome() == Kind::Granted);
}

TEST_CASE("a release also voids a claim write that is still on its way", "[claim]") {
  Table table;
  table.row = GENERATE(ClaimRow{}, ClaimRow{Phase::Released, "older", "body", "", 4});
  Claimant claimant(table, "a");
  std::optional<ClaimAction> write = claimant.claim->poll(kStart);
  if (table.row.row_version != 0) {
    claimant.answer(*write);  // Not absent: refused, then read.
    claimant.answer(*claimant.claim->poll(kStart));
    write = claimant.claim->poll(kStart);
  }
  REQUIRE(write);
  claimant.claim->onFailed(kStart + seconds(2));
  REQUIRE(claimant.claim->outcome()->kind == Kind::Unavailable);
  claimant.claim->release(kStart + seconds(2));
  claimant.run(kStart + seconds(60));
  CHECK(claimant.claim->settled());
  CHECK_FALSE(table.write(*write));
  CHECK(Claimant(table, "b").outcome() == Kind::Granted);
}

TEST_CASE("while the table is down a claim is Unavailable at its deadline, not later", "[claim]") {
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

TEST_CASE("random schedules of losses, late writes and pauses never run one key twice", "[claim]") {
  constexpr int kClaimants = 3;
  for (std::uint64_t seed = 0; seed < 3000; ++seed) {
    RandomSource random(seed);
    Table table;
    std::vector<Claimant> claimants;
    for (int i = 0; i < kClaimants; ++i) claimants.emplace_back(table, "t" + std::to_string(i));
    std::vector<std::optional<ClaimAction>> waiting(kClaimants);
    std::vector<ClaimAction> late;  // Writes given up on that are still on their way.
    std::vector<bool> ran(kClaimants, false);
    std::vector<bool> told_not_run(kClaimants, false);
    for (int step = 0; step < 80; ++step) {
      const auto who = static_cast<std::size_t>(random.uniform(0, kClaimants - 1));
      Claimant& claimant = claimants[who];
      claimant.now += milliseconds(random.uniform(0, 200));
      if (!late.empty() && random.chance(0.2)) {
        table.write(late.back());
        late.pop_back();
      }
      if (!waiting[who]) waiting[who] = claimant.claim->poll(claimant.now);
      if (!waiting[who] || random.chance(0.3)) continue;
      const ClaimAction action = *std::exchange(waiting[who], std::nullopt);
      const bool is_write = action.kind == ClaimAction::Kind::CompareAndSet;
      if (random.chance(0.3)) {
        if (is_write && random.chance(0.5)) table.write(action);
        if (is_write && random.chance(0.5)) late.push_back(action);
        claimant.claim->onFailed(claimant.now);
      } else {
        claimant.answer(action);
      }
      const auto outcome = claimant.claim->outcome();
      if (!outcome || ran[who] || told_not_run[who]) continue;
      if (outcome->kind == Kind::Granted) {
        ran[who] = true;
        claimant.claim->complete("r" + std::to_string(who), claimant.now);
      } else if (outcome->kind == Kind::Unavailable) {
        told_not_run[who] = true;
        claimant.claim->release(claimant.now);
      }
    }
    INFO("seed " << seed);
    CHECK(std::count(ran.begin(), ran.end(), true) <= 1);
    if (table.row.phase == Phase::Done) CHECK(table.row.result.size() == 2);
  }
}
