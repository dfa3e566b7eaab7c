#include "gateway_control/table_mirror.h"

#include <catch2/catch.hpp>

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow(1h);

std::vector<std::string> keysOf(const std::vector<RelayedRow>& rows) {
  std::vector<std::string> keys;
  for (const RelayedRow& row : rows) keys.push_back(row.gone ? "-" + row.key : row.key);
  return keys;
}

/// A mirror after a complete read of rows a and b, at version 10.
TableMirror mirrorOfTwo() {
  TableMirror mirror;
  mirror.onRow({"a", "1", 4, false});
  mirror.onRow({"b", "2", 9, false});
  mirror.onFullRead({"a", "b"});
  mirror.onContact(10, kNow);
  return mirror;
}

}  // namespace

TEST_CASE("a mirror returns the changes after a version", "[table_mirror]") {
  TableMirror mirror = mirrorOfTwo();
  CHECK(keysOf(mirror.rows()) == std::vector<std::string>{"a", "b"});
  CHECK(mirror.changesAfter(10)->empty());
  mirror.onRow({"c", "3", 12, false});
  mirror.onRow({"a", "", 13, true});
  mirror.onContact(13, kNow + 1s);
  CHECK(mirror.version() == 13);
  CHECK(mirror.asOf() == kNow + 1s);
  CHECK(keysOf(*mirror.changesAfter(10)) == std::vector<std::string>{"-a", "c"});
  CHECK(keysOf(*mirror.changesAfter(12)) == std::vector<std::string>{"-a"});
  CHECK(keysOf(mirror.rows()) == std::vector<std::string>{"b", "c"});
}

TEST_CASE("a removal without a version gets the version of the next contact", "[table_mirror]") {
  TableMirror mirror = mirrorOfTwo();
  mirror.onRow({"a", "", 0, true});
  mirror.onContact(15, kNow);
  CHECK(keysOf(*mirror.changesAfter(14)) == std::vector<std::string>{"-a"});
  CHECK(mirror.changesAfter(15)->empty());
}

TEST_CASE("changes before a complete read are not known", "[table_mirror]") {
  TableMirror mirror = mirrorOfTwo();
  CHECK_FALSE(TableMirror().known());
  CHECK_FALSE(mirror.changesAfter(9));
  mirror.onRow({"c", "3", 30, false});
  mirror.onFullRead({"c"});
  mirror.onContact(31, kNow);
  CHECK_FALSE(mirror.changesAfter(30));
  CHECK(mirror.changesAfter(31)->empty());
  CHECK(keysOf(mirror.rows()) == std::vector<std::string>{"c"});
}

TEST_CASE("version and time of a contact never decrease", "[table_mirror]") {
  TableMirror mirror = mirrorOfTwo();
  mirror.onContact(8, kNow - 2s);
  CHECK(mirror.version() == 10);
  CHECK(mirror.asOf() == kNow);
}

TEST_CASE("old removals are discarded, and requests for them have to read the complete table",
          "[table_mirror]") {
  TableMirror mirror = mirrorOfTwo();
  for (std::uint64_t version = 11; version < 1'211; ++version) {
    mirror.onRow({"k" + std::to_string(version), "", version, true});
    mirror.onContact(version, kNow);
  }
  CHECK_FALSE(mirror.changesAfter(11));
  CHECK(mirror.changesAfter(1'200)->size() == 10);
}
