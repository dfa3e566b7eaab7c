/// @file Guards against streams with missing, repeated or torn events where another back end continues them:
/// back ends crash at any byte, and those that continue may begin again at the first event.

#include "gateway/stream_cursor.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "base/random.h"

using namespace crankspur;
using namespace crankspur::gateway;

namespace {

std::string eventOf(std::uint64_t id, bool carriage_return) {
  const std::string end = carriage_return ? "\r\n" : "\n";
  const std::string versions = id % 4 == 0 ? "weight-versions: 3" + end : "";
  const std::string comment = id % 5 == 0 ? ": keep alive" + end : "";
  return comment + versions + "id: " + std::to_string(id) + end + "data: piece " + std::to_string(id) + end +
         end;
}

/// @return the events `first` to `last` as a back end sends them.
std::string streamOf(std::uint64_t first, std::uint64_t last, bool carriage_return) {
  std::string stream;
  for (std::uint64_t id = first; id <= last; ++id) stream += eventOf(id, carriage_return);
  return stream;
}

/// @return the ids in forwarded bytes, in order.
std::vector<std::uint64_t> idsIn(const std::string& forwarded) {
  std::vector<std::uint64_t> ids;
  for (std::size_t at = forwarded.find("id: "); at != std::string::npos; at = forwarded.find("id: ", at + 1))
    ids.push_back(std::stoull(forwarded.substr(at + 4)));
  return ids;
}

/// Feeds the bytes in pieces of random sizes.
std::string feedInPieces(StreamCursor& cursor, std::string_view bytes, RandomSource& random) {
  std::string forwarded;
  while (!bytes.empty()) {
    const std::size_t size = std::min<std::size_t>(bytes.size(), random.uniform(1, 9));
    forwarded += cursor.feed(bytes.substr(0, size));
    bytes.remove_prefix(size);
  }
  return forwarded;
}

}  // namespace

TEST_CASE("a stream of back ends that crash at any byte has each event once and in order",
          "[stream_cursor]") {
  constexpr std::uint64_t kLast = 12;
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    RandomSource random(seed);
    const std::uint64_t had = random.uniform(0, 3);
    StreamCursor cursor(had == 0 ? std::nullopt : std::optional(had));
    std::string forwarded;
    for (int crash = 0; crash < 4; ++crash) {
      // One that does not know the last event begins again at the first one.
      const std::uint64_t next = random.chance(0.3) ? 1 : cursor.lastEvent().value_or(0) + 1;
      const std::string stream = streamOf(next, kLast, random.chance(0.5));
      const std::size_t cut = random.uniform(0, stream.size());
      forwarded += feedInPieces(cursor, std::string_view(stream).substr(0, cut), random);
      cursor.restart();
    }
    const std::string rest = streamOf(cursor.lastEvent().value_or(0) + 1, kLast, false);
    forwarded += feedInPieces(cursor, rest, random);
    std::vector<std::uint64_t> expected;
    for (std::uint64_t id = had + 1; id <= kLast; ++id) expected.push_back(id);
    INFO("seed " << seed);
    CHECK(idsIn(forwarded) == expected);
    CHECK_FALSE(cursor.hasPartialEvent());
    CHECK(cursor.continuity().skipped_ids == 0);
  }
}

TEST_CASE("dropped events and ids that a continuation skips are counted", "[stream_cursor]") {
  StreamCursor cursor(2);
  cursor.feed(streamOf(1, 3, false));
  CHECK(cursor.continuity().dropped_events == 2);
  CHECK(cursor.continuity().skipped_ids == 0);
  // Ids of one response need not be consecutive.
  cursor.feed(streamOf(6, 6, false));
  CHECK(cursor.continuity().skipped_ids == 0);
  cursor.restart();
  cursor.feed(streamOf(10, 11, false));
  CHECK(cursor.continuity().skipped_ids == 3);
  CHECK(cursor.lastEvent() == 11);
}

TEST_CASE("a continuation before the first event skips and drops nothing", "[stream_cursor]") {
  StreamCursor cursor(std::nullopt);
  cursor.feed("id: 1\nda");
  cursor.restart();
  CHECK(idsIn(cursor.feed(streamOf(1, 2, false))) == std::vector<std::uint64_t>{1, 2});
  CHECK(cursor.continuity().dropped_events == 0);
  CHECK(cursor.continuity().skipped_ids == 0);
}
