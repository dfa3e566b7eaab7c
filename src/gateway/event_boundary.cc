#include "gateway/event_boundary.h"

#include <utility>

namespace crankspur::gateway {

void EventBoundary::feed(std::string_view bytes) {
  for (const char byte : bytes) {
    ++event_bytes_;
    const bool completes_line_end = std::exchange(after_carriage_return_, byte == '\r') && byte == '\n';
    if (completes_line_end) continue;
    if (byte == '\n' || byte == '\r') {
      endLine();
    } else if (line_ == Line::Empty) {
      line_ = byte == ':' ? Line::Comment : Line::Field;
    }
  }
}

void EventBoundary::endLine() {
  const Line line = std::exchange(line_, Line::Empty);
  if (line == Line::Empty) event_has_field_ = false;
  if (line == Line::Field) event_has_field_ = true;
  if (!event_has_field_) event_bytes_ = 0;
}

}  // namespace crankspur::gateway
