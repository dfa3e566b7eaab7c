#include <catch2/catch.hpp>
#include <vector>

#include "http/client.h"

using namespace crankspur::http;

TEST_CASE("parsed events do not depend on chunk boundaries", "[http]") {
  const std::string stream =
      ": note\n\ndata: one\n\nevent: x\ndata:two\r\ndata: more\r\n\r\nid: 1\n\ndata:\n\ndata: cut";
  const std::vector<std::string> expected = {"one", "two\nmore", ""};
  for (std::size_t first = 0; first <= stream.size(); ++first) {
    for (std::size_t second = first; second <= stream.size(); ++second) {
      EventStreamParser parser;
      std::vector<std::string> events;
      const auto collect = [&](std::string_view event) { events.emplace_back(event); };
      parser.feed(std::string_view(stream).substr(0, first), collect);
      parser.feed(std::string_view(stream).substr(first, second - first), collect);
      parser.feed(std::string_view(stream).substr(second), collect);
      REQUIRE(events == expected);
    }
  }
}

TEST_CASE("an event that exceeds the limit is an error", "[http]") {
  const auto ignore = [](std::string_view) {};
  CHECK_FALSE(EventStreamParser(10).feed("data: 12345678901", ignore));
  CHECK_FALSE(EventStreamParser(10).feed("data: 123456\ndata: 123456\n", ignore));
  CHECK(EventStreamParser(10).feed("data: 1\n\ndata: 2\n\ndata: 3\n\n", ignore));
}
