#include "lease/lease.h"

#include <catch2/catch.hpp>
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
