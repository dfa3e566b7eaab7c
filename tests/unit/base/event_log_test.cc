#include "base/event_log.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

using namespace crankspur;

TEST_CASE("a log value cannot inject a line or a field", "[base]") {
  const EventDescription event{1001, "ProcessStarted", LogLevel::Info, "meaning"};
  const std::string line =
      formatLogLine(LogFormat::KeyValue, "t", "p", event, {{"user", "a\nevent=9 level=error"}});
  CHECK(line ==
        R"(time=t process=p event=1001 name=ProcessStarted level=info user="a\u000aevent=9 level=error")");
}

TEST_CASE("event numbers are unique and docs/EVENTS.md lists each with its name", "[base]") {
  std::ifstream file(std::string(CRANKSPUR_SOURCE_DIR) + "/docs/EVENTS.md");
  std::stringstream page;
  page << file.rdbuf();
  std::set<int> numbers;
  for (const EventDescription& event : eventCatalogue()) {
    INFO(event.name);
    CHECK(numbers.insert(event.number).second);
    const std::string row = fmt::format("| {} | {} |", event.number, event.name);
    CHECK(page.str().find(row) != std::string::npos);
  }
}
