#include "lease/lease.h"

#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <vector>

#include "base/random.h"

using namespace crankspur;
using namespace std::chrono_literals;

namespace {

constexpr Duration kLifetime = 3s;

/// A table of one row with compare-and-set.
struct Table {
  LeaseRow row;
  bool write(const LeaseAction& action) {
    if (row.row_version != action.expected_version) return false;
    const std::uint64_t version = row.row_version + 1;
    row = action.write;
    row.row_version = version;
    return true;
  }
};

enum class CallOutcome { Delivered, ResponseLost, RequestLost };

/// Executes the operation that the lease has due at `now`, if any.
void step(Lease& lease, Table& table, TimePoint now, CallOutcome outcome = CallOutcome::Delivered) {
  const auto action = lease.poll(now);
  if (!action) return;
  const bool read = action->kind == LeaseAction::Kind::Read;
  const bool committed = !read && outcome != CallOutcome::RequestLost && table.write(*action);
  if (outcome != CallOutcome::Delivered) {
    lease.onFailed(now);
  } else if (read) {
    lease.onRead(table.row, now);
  } else {
    lease.onWritten(committed, table.row, now);
  }
}

/// Steps until the lease is held or `limit` has passed.
TimePoint acquire(Lease& lease, Table& table, TimePoint now, Duration limit = 10s) {
  const TimePoint end = now + limit;
  while (now < end && !lease.heldToken(now)) {
    step(lease, table, now);
    now += 50ms;
  }
  return now;
}

const TimePoint kStart(1h);

}  // namespace

TEST_CASE("a lease whose age has reached its lifetime is taken at the first read", "[lease]") {
  Table table;
  table.row = {"gone", 4, 9, 17};
  table.row.age = kLifetime;
  const auto lease = makeLease("taker", kLifetime, 1);
  const TimePoint taken = acquire(*lease, table, kStart);
  CHECK(taken - kStart < kLifetime / 2);
  CHECK(table.row.token == 5);
}

TEST_CASE("a lease whose age is below its lifetime is not taken", "[lease]") {
  Table table;
  table.row = {"alive", 4, 9, 17};
  table.row.age = kLifetime - 1ms;
  const auto lease = makeLease("taker", kLifetime, 1);
  step(*lease, table, kStart);
  CHECK(table.row.holder == "alive");
  step(*lease, table, kStart + 1s);
  CHECK(table.row.holder == "alive");
}

TEST_CASE("a free lease is taken and kept by renewals", "[lease]") {
  Table table;
  const auto lease = makeLease("a", kLifetime, 1);
  TimePoint now = acquire(*lease, table, kStart, 1s);
  REQUIRE(lease->heldToken(now) == 1);
  for (int count = 0; count < 400; ++count, now += 50ms) {
    step(*lease, table, now);
    CHECK(lease->heldToken(now) == 1);
  }
  CHECK(table.row.renewal > 10);
}

TEST_CASE("a paused holder loses the lease to a contender with a higher token and stops reporting it at once",
          "[lease]") {
  Table table;
  const auto paused = makeLease("a", kLifetime, 1);
  const auto other = makeLease("b", kLifetime, 2);
  TimePoint now = acquire(*paused, table, kStart);
  REQUIRE(paused->heldToken(now) == 1);
  now = acquire(*other, table, now);
  CHECK(other->heldToken(now) == 2);
  CHECK_FALSE(paused->heldToken(now));
  step(*paused, table, now);
  CHECK_FALSE(paused->heldToken(now));
  CHECK(table.row.holder == "b");
}

TEST_CASE("a claim whose response is lost is found by reading the row back, with the same token", "[lease]") {
  Table table;
  const auto lease = makeLease("a", kLifetime, 1);
  TimePoint now = kStart;
  step(*lease, table, now);
  while (table.row.row_version == 0) {
    now += 20ms;
    step(*lease, table, now, CallOutcome::ResponseLost);
  }
  CHECK_FALSE(lease->heldToken(now));
  now = acquire(*lease, table, now, 2s);
  CHECK(lease->heldToken(now) == 1);
}

TEST_CASE("while the table does not respond, the lease expires a lifetime after the last successful write",
          "[lease]") {
  Table table;
  const auto lease = makeLease("a", kLifetime, 1);
  TimePoint now = acquire(*lease, table, kStart);
  const TimePoint unreachable_from = now;
  for (; now < unreachable_from + 2 * kLifetime; now += 50ms)
    step(*lease, table, now, CallOutcome::RequestLost);
  CHECK_FALSE(lease->heldToken(now));
  now = acquire(*lease, table, now);
  CHECK(lease->heldToken(now).has_value());
}

TEST_CASE("under lost responses and pauses at most one contender holds the lease and tokens never decrease",
          "[lease]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    RandomSource random(seed);
    Table table;
    std::vector<std::unique_ptr<Lease>> contenders;
    for (std::uint64_t index = 0; index < 3; ++index) {
      contenders.push_back(makeLease("c" + std::to_string(index), kLifetime, seed * 10 + index));
    }
    std::vector<TimePoint> paused_until(3, kStart);
    std::uint64_t highest = 0;
    std::set<std::size_t> holders;
    for (TimePoint now = kStart; now < kStart + 300s; now += 37ms) {
      std::size_t holding = 0;
      for (std::size_t index = 0; index < 3; ++index) {
        const auto token = contenders[index]->heldToken(now);
        if (token) {
          ++holding;
          holders.insert(index);
          CHECK(*token >= highest);
          highest = *token;
        }
        if (random.chance(0.002)) paused_until[index] = now + std::chrono::seconds(random.uniform(1, 9));
        if (now < paused_until[index]) continue;
        const double draw = random.unit();
        const CallOutcome outcome = draw < 0.1   ? CallOutcome::ResponseLost
                                    : draw < 0.2 ? CallOutcome::RequestLost
                                                 : CallOutcome::Delivered;
        step(*contenders[index], table, now, outcome);
      }
      CHECK(holding <= 1);
    }
    CHECK(holders.size() >= 2);
  }
}

TEST_CASE("a former holder that finds the released lease of its successor claims it with a token of its own",
          "[lease]") {
  // Guards against two holders with one fencing token: the former holder made no call while its lease ran
  // out, and took the row that its successor had released for its own.
  Table table;
  const auto former = makeLease("a", kLifetime, 1);
  const auto successor = makeLease("b", kLifetime, 2);
  TimePoint now = acquire(*former, table, kStart);
  REQUIRE(former->heldToken(now) == 1);
  now = acquire(*successor, table, now + kLifetime);
  REQUIRE(successor->heldToken(now) == 2);
  table.row = {"", table.row.token, table.row.renewal + 1, table.row.row_version + 1};
  now = acquire(*former, table, now);
  CHECK(former->heldToken(now) == 3);
}

TEST_CASE("a former holder that finds the expired lease of its successor claims it with a token of its own",
          "[lease]") {
  // The same failure when the successor was killed instead of stopped.
  Table table;
  const auto former = makeLease("a", kLifetime, 1);
  const auto successor = makeLease("b", kLifetime, 2);
  TimePoint now = acquire(*former, table, kStart);
  now = acquire(*successor, table, now + kLifetime);
  REQUIRE(successor->heldToken(now) == 2);
  table.row.age = kLifetime;
  now = acquire(*former, table, now + kLifetime);
  CHECK(former->heldToken(now) == 3);
}

TEST_CASE("a late write counts from its own sending, not from that of the repeated write", "[lease]") {
  // Guards against two holders at once: the first write and its repetition had the same token and renewal, so
  // that the first one, taking effect late, extended the lease until after others took it for expired.
  Table table;
  const auto lease = makeLease("a", kLifetime, 1);
  TimePoint now = kStart;
  step(*lease, table, now);
  std::optional<LeaseAction> first;
  for (; !first; now += 20ms) first = lease->poll(now);
  lease->onFailed(now);
  const TimePoint first_sent_at = now;
  std::optional<LeaseAction> second;
  for (; !second; now += 20ms) {
    second = lease->poll(now);
    if (!second || second->kind != LeaseAction::Kind::Read) continue;
    now += kLifetime / 2;
    lease->onRead(table.row, now);
    second.reset();
  }
  REQUIRE(table.write(*first));
  REQUIRE_FALSE(table.write(*second));
  lease->onWritten(false, table.row, now);
  CHECK_FALSE(lease->heldToken(first_sent_at + kLifetime));
}

TEST_CASE("a late write of an earlier process of the same holder does not give the lease to its restart",
          "[lease]") {
  // Guards against a lease that counts from the wrong write: both processes derive the same token and renewal
  // from the same row.
  Table table;
  const auto ended = makeLease("a", kLifetime, 1);
  TimePoint now = kStart;
  step(*ended, table, now);
  std::optional<LeaseAction> late;
  for (; !late; now += 20ms) late = ended->poll(now);
  const auto restarted = makeLease("a", kLifetime, 2);
  now += 100ms;
  step(*restarted, table, now);
  std::optional<LeaseAction> claim;
  for (; !claim; now += 20ms) claim = restarted->poll(now);
  REQUIRE(table.write(*late));
  REQUIRE_FALSE(table.write(*claim));
  restarted->onWritten(false, table.row, now);
  CHECK_FALSE(restarted->heldToken(now));
}

TEST_CASE("a claim after the row was lost exceeds all tokens that the contender read", "[lease]") {
  // Guards against tokens that start over, which back ends that received a higher one refuse.
  Table table;
  table.row = {"b", 7, 3, 5};
  const auto lease = makeLease("a", kLifetime, 1);
  step(*lease, table, kStart);
  table.row = LeaseRow{};
  const TimePoint now = acquire(*lease, table, kStart + kLifetime);
  CHECK(lease->heldToken(now) == 8);
}

namespace {

/// A table whose rows carry the age that a time stamp of the sender gives.
struct TimestampingTable {
  Table table;
  TimePoint row_sent_at{};

  bool write(const LeaseAction& action, TimePoint sent_at) {
    if (!table.write(action)) return false;
    row_sent_at = sent_at;
    return true;
  }
  LeaseRow read(TimePoint now) const {
    LeaseRow row = table.row;
    if (row.row_version != 0) row.age = now - row_sent_at;
    return row;
  }
};

/// A write without a response that takes effect at `due` if its condition still holds then.
struct LateWrite {
  LeaseAction action;
  TimePoint sent_at{};
  TimePoint due{};
};

/// Contenders that call the table only while they hold the lease or have work, as coordinators do. They lose
/// their path to the table, freeze, are killed and restarted, and release the lease when they are stopped.
class FaultyContenders {
public:
  explicit FaultyContenders(std::uint64_t seed) : random_(seed) {
    for (std::size_t index = 0; index < kContenders; ++index) restart(index);
  }

  void run(Duration length) {
    for (TimePoint now = kStart; now < kStart + length; now += 37ms) {
      applyLateWrites(now);
      for (std::size_t index = 0; index < kContenders; ++index) advance(index, now);
      check(now);
    }
  }

  std::size_t overlaps = 0;       ///< Times at which two contenders held the lease.
  std::size_t shared_tokens = 0;  ///< Times at which a token was held that another process had held.
  std::set<std::uint64_t> tokens;

private:
  static constexpr std::size_t kContenders = 3;
  struct Contender {
    std::unique_ptr<Lease> lease;
    std::uint64_t process = 0;
    bool has_work = true;
    TimePoint cut_until{};
    TimePoint frozen_until{};
  };

  void restart(std::size_t index) {
    contenders_[index].process = ++processes_;
    contenders_[index].lease = makeLease("c" + std::to_string(index), kLifetime, random_.bits());
  }

  TimePoint someSecondsAfter(TimePoint now) { return now + std::chrono::seconds(random_.uniform(1, 8)); }

  void applyLateWrites(TimePoint now) {
    std::erase_if(late_writes_, [&](const LateWrite& write) {
      if (now < write.due) return false;
      table_.write(write.action, write.sent_at);
      return true;
    });
  }

  void advance(std::size_t index, TimePoint now) {
    Contender& contender = contenders_[index];
    if (random_.chance(0.01)) contender.has_work = !contender.has_work;
    if (random_.chance(0.002)) contender.cut_until = someSecondsAfter(now);
    if (random_.chance(0.002)) contender.frozen_until = someSecondsAfter(now);
    if (random_.chance(0.001)) restart(index);
    if (random_.chance(0.002)) stop(index, now);
    if (now < contender.frozen_until) return;
    if (contender.has_work || contender.lease->heldToken(now)) call(contender, now);
  }

  void stop(std::size_t index, TimePoint now) {
    Contender& contender = contenders_[index];
    const LeaseRow& row = table_.table.row;
    const bool holds = contender.lease->heldToken(now) && now >= contender.cut_until;
    if (holds)
      table_.write({LeaseAction::Kind::CompareAndSet, {"", row.token, row.renewal + 1}, row.row_version},
                   now);
    restart(index);
  }

  void call(Contender& contender, TimePoint now) {
    const std::optional<LeaseAction> action = contender.lease->poll(now);
    if (!action) return;
    const bool read = action->kind == LeaseAction::Kind::Read;
    if (now < contender.cut_until) return contender.lease->onFailed(now);
    if (read && random_.chance(0.1)) return contender.lease->onFailed(now);
    if (read) return contender.lease->onRead(table_.read(now), now);
    const double draw = random_.unit();
    if (draw < 0.1) {
      late_writes_.push_back({*action, now, now + std::chrono::milliseconds(random_.uniform(1, 4'000))});
      return contender.lease->onFailed(now);
    }
    const bool committed = table_.write(*action, now);
    if (draw < 0.2) return contender.lease->onFailed(now);
    contender.lease->onWritten(committed, table_.read(now), now);
  }

  void check(TimePoint now) {
    std::size_t holding = 0;
    for (const Contender& contender : contenders_) {
      const auto token = contender.lease->heldToken(now);
      if (!token) continue;
      ++holding;
      tokens.insert(*token);
      const auto [owner, is_new] = owners_.try_emplace(*token, contender.process);
      if (owner->second != contender.process) ++shared_tokens;
    }
    if (holding > 1) ++overlaps;
  }

  RandomSource random_;
  TimestampingTable table_;
  std::array<Contender, kContenders> contenders_;
  std::uint64_t processes_ = 0;
  std::vector<LateWrite> late_writes_;
  std::map<std::uint64_t, std::uint64_t> owners_;  ///< The process that first held each token.
};

}  // namespace

TEST_CASE("no two contenders hold one token or hold at once while calls, paths and processes fail",
          "[lease]") {
  // Guards against two holders with one fencing token, and against two at once, under late writes,
  // partitions, freezes, restarts and releases that overlap.
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    FaultyContenders contenders(seed);
    contenders.run(300s);
    CHECK(contenders.shared_tokens == 0);
    CHECK(contenders.overlaps == 0);
    CHECK(contenders.tokens.size() >= 10);
  }
}
