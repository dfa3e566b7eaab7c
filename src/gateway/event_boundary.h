#pragma once
/// @file Tells whether a server-sent event stream stops within an event, and whether an event has no end.

#include <cstddef>
#include <string_view>

namespace crankspur::gateway {

/// Follows the lines of a stream (HTML standard, "Server-sent events": lines end with LF, CR LF or CR)
/// without keeping its bytes.
class EventBoundary {
public:
  /// Consumes received bytes; they may be divided anywhere.
  void feed(std::string_view bytes);
  /// @return whether a line, or an event with a field, is incomplete; a stream that ends here was truncated.
  /// Complete comment lines between events are not part of one.
  bool isInsideEvent() const { return event_has_field_ || line_ != Line::Empty; }
  /// @return whether the incomplete event, or a comment, is larger than any event may be. A back end may send
  /// one without end.
  bool isTooLarge() const { return event_bytes_ > kMaxEventBytes; }

private:
  /// A gateway buffers the incomplete event of each resumable stream.
  static constexpr std::size_t kMaxEventBytes = std::size_t{64} * 1024;

  /// What the current line holds so far.
  enum class Line { Empty, Comment, Field };

  void endLine();

  Line line_ = Line::Empty;
  bool event_has_field_ = false;
  bool after_carriage_return_ = false;
  std::size_t event_bytes_ = 0;  ///< Of the incomplete event or comment.
};

}  // namespace crankspur::gateway
