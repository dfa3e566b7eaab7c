#pragma once
/// @file Follows a server-sent event stream on its way to the client, so that another back end can go on with
/// it.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crankspur::gateway {

/// Gives out whole events only; remembers the id of the last one. Events whose id does not rise are dropped,
/// so that a back end that repeats one after a resumption adds nothing to the answer.
class StreamCursor {
public:
  /// @param last_event what the client already has.
  explicit StreamCursor(std::optional<std::uint64_t> last_event) : last_event_(last_event) {}
  /// Takes bytes as they came.
  /// @return the whole events that they complete, to be passed on; may be empty.
  std::string feed(std::string_view bytes);
  /// Drops the bytes of an event that was not completed: the stream goes on from another back end.
  void restart();
  /// @return the id of the last event given out, or what the client had.
  std::optional<std::uint64_t> lastEvent() const { return last_event_; }
  /// @return bytes of an event not complete; a stream that ends with some was cut.
  bool hasPartialEvent() const { return !event_.empty(); }

private:
  void takeLine(std::string_view line, std::string& passed);

  std::optional<std::uint64_t> last_event_;
  std::optional<std::uint64_t> event_id_;  ///< Of the event not yet complete.
  std::string event_;                      ///< Its bytes so far.
  std::size_t line_start_ = 0;             ///< Within `event_`.
};

}  // namespace crankspur::gateway
