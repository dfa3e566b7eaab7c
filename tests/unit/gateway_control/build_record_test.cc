/// @file Guards against a record that lacks a build that served, so that restarted gateways join streams of
/// two builds, and against one that names builds for ever, so that they refuse streams after each restart.

#include "gateway_control/build_record.h"

#include <catch2/catch.hpp>

#include "base/hash.h"
#include "gateway/stream_origins.h"

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart(1h);

/// The row in the platform's store.
struct Row {
  StoredRecord record;
  bool reachable = true;
  std::size_t reads = 0;
  std::size_t writes = 0;
};

std::vector<Backend> backendsOf(const std::vector<std::string>& builds) {
  std::vector<Backend> backends;
  for (const std::string& build : builds) {
    Backend backend;
    backend.view.pool = "lm";
    backend.build = build;
    backends.push_back(backend);
  }
  return backends;
}

std::set<std::uint64_t> idsOf(const std::vector<std::string>& builds) {
  std::set<std::uint64_t> ids;
  for (const std::string& build : builds) ids.insert(buildId(build));
  return ids;
}

/// One gateway and its calls to the row.
class Gateway {
public:
  Gateway(Row& row, std::uint64_t seed, TimePoint now) : row_(row), record_(seed, now) {}

  /// Runs from `begin` to `end` with this list.
  void run(const std::vector<std::string>& builds, TimePoint begin, TimePoint end) {
    for (TimePoint now = begin; now < end; now += 50ms) step(builds, now);
  }

  void step(const std::vector<std::string>& builds, TimePoint now) {
    record_.onListContact(now);
    record_.onListed(backendsOf(builds), 6, now);
    call(now);
  }

  /// Runs while the platform confirms no list.
  void runWithoutList(const std::vector<std::string>& builds, TimePoint begin, TimePoint end) {
    for (TimePoint now = begin; now < end; now += 50ms) {
      record_.onListed(backendsOf(builds), 6, now);
      call(now);
    }
  }

  /// Makes the calls that are due before the list is read again.
  void makeDueCalls(TimePoint now) {
    while (call(now)) continue;
  }

  std::set<std::uint64_t> before() const {
    std::set<std::uint64_t> ids;
    for (const ServedBuild& served : record_.before()) ids.insert(served.build);
    return ids;
  }
  const BuildRecord& record() const { return record_; }

private:
  /// @return whether one was due.
  bool call(TimePoint now) {
    const RecordCall call = record_.nextCall(now);
    if (call.kind == RecordCall::Kind::read) read(now);
    if (call.kind == RecordCall::Kind::write) write(call, now);
    return call.kind != RecordCall::Kind::none;
  }
  void read(TimePoint now) {
    ++row_.reads;
    record_.onRead(row_.reachable ? std::optional(row_.record) : std::nullopt, now);
  }
  void write(const RecordCall& call, TimePoint now) {
    ++row_.writes;
    const bool written = row_.reachable && call.expected_version == row_.record.row_version;
    if (written) row_.record = {call.text, row_.record.row_version + 1, Duration(0)};
    record_.onWritten(written, now);
  }

  Row& row_;
  BuildRecord record_;
};

}  // namespace

TEST_CASE("a gateway that starts learns the builds that served before, also one that has left",
          "[build_record]") {
  Row row;
  Gateway ended(row, 1, kStart);
  ended.run({"old"}, kStart, kStart + 2s);
  ended.run({"old", "new"}, kStart + 2s, kStart + 4s);
  ended.run({"new"}, kStart + 4s, kStart + 5s);
  Gateway started(row, 2, kStart + 6s);
  started.step({"new"}, kStart + 6s);
  CHECK(started.record().isKnown());
  CHECK(started.before() == idsOf({"old", "new"}));
}

TEST_CASE("a build that has left is removed from the record", "[build_record]") {
  Row row;
  Gateway first(row, 1, kStart);
  first.run({"old", "new"}, kStart, kStart + 2s);
  SECTION("by a gateway that listed it") {
    first.run({"new"}, kStart + 2s, kStart + 60s);
  }
  SECTION("by a gateway that started after it had left") {
    Gateway second(row, 2, kStart + 3s);
    second.run({"new"}, kStart + 3s, kStart + 90s);
  }
  Gateway later(row, 3, kStart + 100s);
  later.step({"new"}, kStart + 100s);
  CHECK(later.before() == idsOf({"new"}));
}

// It had run for long, its list was some seconds old, and it took the build for one that had left long ago.
TEST_CASE("a gateway that has not listed a build yet leaves it on record when it adds another one",
          "[build_record]") {
  Row row;
  Gateway current(row, 1, kStart);
  Gateway late(row, 2, kStart);
  current.run({"old"}, kStart, kStart + 70s);
  late.run({"old"}, kStart, kStart + 70s);
  current.run({"old", "new"}, kStart + 70s, kStart + 71s);
  late.run({"old", "third"}, kStart + 71s, kStart + 72s);
  Gateway later(row, 3, kStart + 73s);
  later.step({"old"}, kStart + 73s);
  CHECK(later.before() == idsOf({"old", "new", "third"}));
}

// It had decided to remove the build, was suspended while back ends of the build returned, and made the calls
// before it had read the list.
TEST_CASE("a gateway that was suspended leaves a build on record that was listed again meanwhile",
          "[build_record]") {
  Row row;
  const std::uint64_t seed = GENERATE(range(1, 30));
  Gateway current(row, 50, kStart);
  Gateway late(row, seed, kStart);
  const auto run = [&](const std::vector<std::string>& builds, Duration begin, Duration end) {
    for (Duration at = begin; at < end; at += 50ms) {
      current.step(builds, kStart + at);
      late.step(builds, kStart + at);
    }
  };
  run({"old", "new"}, 0s, 10s);
  run({"old"}, 10s, 40s + 50ms);
  current.run({"old", "new"}, kStart + 40s + 50ms, kStart + 50s);
  late.makeDueCalls(kStart + 50s);
  Gateway later(row, 51, kStart + 50s);
  later.step({"old"}, kStart + 50s);
  CHECK(later.before() == idsOf({"old", "new"}));
}

// The time for which it had not seen the build included the time for which it had seen nothing.
TEST_CASE("a gateway that was suspended for long leaves a build on record that left a short time ago",
          "[build_record]") {
  Row row;
  Gateway current(row, 1, kStart);
  Gateway late(row, 2, kStart);
  current.run({"old", "new"}, kStart, kStart + 44s);
  late.run({"old", "new"}, kStart, kStart + 10s);
  current.run({"old"}, kStart + 44s, kStart + 60s);
  late.run({"old"}, kStart + 45s, kStart + 60s);
  Gateway later(row, 3, kStart + 60s);
  later.step({"old"}, kStart + 60s);
  CHECK(later.before() == idsOf({"old", "new"}));
}

// While the platform responded to nothing, no build counted as one that has left: those of former releases
// were recorded again, and streams of unknown origin refused.
TEST_CASE("a build that left long ago is not recorded again after the list was outdated", "[build_record]") {
  Row row;
  Gateway gateway(row, 1, kStart);
  gateway.run({"old", "new"}, kStart, kStart + 2s);
  gateway.run({"new"}, kStart + 2s, kStart + 90s);
  gateway.runWithoutList({"new"}, kStart + 90s, kStart + 100s);
  Gateway later(row, 2, kStart + 100s);
  later.step({"new"}, kStart + 100s);
  CHECK(later.before() == idsOf({"new"}));
}

TEST_CASE("the record is not called while no build comes or goes", "[build_record]") {
  Row row;
  Gateway gateway(row, 1, kStart);
  gateway.run({"only"}, kStart, kStart + 5s);
  const std::size_t reads = row.reads;
  gateway.run({"only"}, kStart + 5s, kStart + 300s);
  CHECK(row.reads == reads);
  CHECK(row.writes == 1);
}

TEST_CASE("gateways that see a build at once write it with few calls and lose nothing", "[build_record]") {
  Row row;
  std::vector<Gateway> gateways;
  for (std::uint64_t seed = 1; seed <= 7; ++seed) gateways.emplace_back(row, seed, kStart);
  for (TimePoint now = kStart; now < kStart + 10s; now += 10ms) {
    for (Gateway& gateway : gateways) {
      gateway.step(
          now < kStart + 5s ? std::vector<std::string>{"old"} : std::vector<std::string>{"old", "new"}, now);
    }
  }
  CHECK(row.writes <= 4);
  CHECK(row.reads <= 28);
  Gateway later(row, 9, kStart + 11s);
  later.step({"new"}, kStart + 11s);
  CHECK(later.before() == idsOf({"old", "new"}));
}

TEST_CASE("a store that does not respond delays a gateway for a bounded time, and is asked again",
          "[build_record]") {
  Row row;
  row.reachable = false;
  Gateway gateway(row, 1, kStart);
  gateway.run({"only"}, kStart, kStart + 2s);
  CHECK_FALSE(gateway.record().isReady(kStart + 500ms));
  CHECK(gateway.record().isReady(kStart + 2s));
  CHECK_FALSE(gateway.record().isKnown());
  row.reachable = true;
  gateway.run({"only"}, kStart + 2s, kStart + 4s);
  CHECK(gateway.record().isKnown());
  CHECK(row.writes == 1);
}
