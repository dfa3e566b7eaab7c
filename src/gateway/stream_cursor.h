#pragma once
/// @file Tracks a server-sent event stream that is forwarded to the client, so that another back end can
/// continue it.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crankspur::gateway {

/// Forwards only complete events, and comments between them, and stores the id of the last one. Events whose
/// id does not increase are dropped, so that an event that a back end repeats after a resumption is not
/// duplicated in the response.
class StreamCursor {
public:
  /// What continuations did with the ids of a stream.
  struct Continuity {
    std::uint64_t dropped_events = 0;  ///< Their ids did not rise.
    /// Ids between the last event before a continuation and the first one after it. Ids rise, but need not be
    /// consecutive.
    std::uint64_t skipped_ids = 0;
  };

  /// @param last_event id of the last event that the client already has.
  explicit StreamCursor(std::optional<std::uint64_t> last_event)
      : last_event_(last_event), continues_(last_event.has_value()) {}
  /// Consumes received bytes.
  /// @return the events that they complete, to be forwarded; may be empty.
  std::string feed(std::string_view bytes);
  /// Drops the bytes of an incomplete event, since another back end continues the stream.
  void restart();
  /// @return the id of the last forwarded event; before the first one, the id given to the constructor.
  std::optional<std::uint64_t> lastEvent() const { return last_event_; }
  const Continuity& continuity() const { return continuity_; }
  /// @return whether an event was forwarded.
  bool hasForwardedEvent() const { return has_forwarded_; }
  /// @return whether there are bytes of an incomplete event; a stream that ends with some was truncated.
  bool hasPartialEvent() const { return !event_.empty(); }
  std::size_t partialEventBytes() const { return event_.size(); }

private:
  void processLine(std::string_view line, std::string& output);
  void endEvent(std::string& output);
  void clearEvent();

  std::optional<std::uint64_t> last_event_;
  std::optional<std::uint64_t> event_id_;  ///< Of the incomplete event.
  std::string event_;                      ///< Received bytes of the incomplete event.
  std::size_t line_start_ = 0;             ///< Within `event_`.
  bool has_forwarded_ = false;
  bool continues_ = false;  ///< The next event is the first one of a continuation.
  Continuity continuity_;
};

}  // namespace crankspur::gateway
