#include "gateway/stream_cursor.h"

#include <charconv>
#include <utility>

namespace crankspur::gateway {
namespace {

constexpr std::string_view kIdField = "id:";

std::optional<std::uint64_t> parseId(std::string_view value) {
  while (value.starts_with(' ')) value.remove_prefix(1);
  std::uint64_t id = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), id);
  if (error != std::errc() || end != value.data() + value.size()) return std::nullopt;
  return id;
}

}  // namespace

std::string StreamCursor::feed(std::string_view bytes) {
  std::string output;
  while (!bytes.empty()) {
    const std::size_t feed_at = bytes.find('\n');
    if (feed_at == std::string_view::npos) {
      event_ += bytes;
      break;
    }
    event_ += bytes.substr(0, feed_at + 1);
    bytes.remove_prefix(feed_at + 1);
    std::string_view line = std::string_view(event_).substr(line_start_);
    line.remove_suffix(1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    processLine(line, output);
  }
  return output;
}

void StreamCursor::processLine(std::string_view line, std::string& output) {
  const bool between_events = line_start_ == 0;
  if (between_events && line.starts_with(':')) {  // A comment, often sent to keep the connection alive.
    output += event_;
    return clearEvent();
  }
  if (!line.empty()) {
    if (line.starts_with(kIdField)) event_id_ = parseId(line.substr(kIdField.size()));
    line_start_ = event_.size();
    return;
  }
  endEvent(output);
}

void StreamCursor::endEvent(std::string& output) {
  const bool known = event_id_ && last_event_ && *event_id_ <= *last_event_;
  if (known) {
    ++continuity_.dropped_events;
    return clearEvent();
  }
  output += event_;
  has_forwarded_ = true;
  const bool is_first = std::exchange(continues_, false);
  if (is_first && event_id_ && last_event_) continuity_.skipped_ids += *event_id_ - *last_event_ - 1;
  if (event_id_) last_event_ = event_id_;
  clearEvent();
}

void StreamCursor::restart() {
  clearEvent();
  continues_ = last_event_.has_value();
}

void StreamCursor::clearEvent() {
  event_.clear();
  line_start_ = 0;
  event_id_.reset();
}

}  // namespace crankspur::gateway
