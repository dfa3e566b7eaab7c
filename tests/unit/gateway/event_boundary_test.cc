/// @file Guards against streams that stop within an event and count as complete.

#include "gateway/event_boundary.h"

#include <catch2/catch.hpp>
#include <string>

namespace crankspur::gateway {
namespace {

/// @return whether the text stops within an event; the same however it is divided.
bool stopsInsideEvent(const std::string& text) {
  EventBoundary whole;
  whole.feed(text);
  for (std::size_t at = 0; at <= text.size(); ++at) {
    EventBoundary divided;
    divided.feed(text.substr(0, at));
    divided.feed(text.substr(at));
    CHECK(divided.isInsideEvent() == whole.isInsideEvent());
  }
  return whole.isInsideEvent();
}

}  // namespace

TEST_CASE("a stream that stops between events is not inside one", "[gateway]") {
  for (const std::string end : {"", "\n", ": note\n", "id: 2\n\n", "\r\n"}) {
    INFO(end);
    CHECK_FALSE(stopsInsideEvent("id: 1\ndata: a\n\n" + end));
  }
  CHECK_FALSE(stopsInsideEvent(""));
  CHECK_FALSE(stopsInsideEvent("data: a\r\n\r\n"));
  CHECK_FALSE(stopsInsideEvent("data: a\r\r"));
  CHECK_FALSE(stopsInsideEvent("data: a\n: note\n\n"));
}

TEST_CASE("a stream that stops between the lines of an event, or within a line, is inside it", "[gateway]") {
  for (const std::string end :
       {"i", "id: 2", "id: 2\n", "id: 2\ndata: b\n", "data: b\r\n", ": no", "data: b\n: note\n"}) {
    INFO(end);
    CHECK(stopsInsideEvent("id: 1\ndata: a\n\n" + end));
  }
}

}  // namespace crankspur::gateway
