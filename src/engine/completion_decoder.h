#pragma once
/// @file Decoder of the event stream with which an engine responds to a completion request. Does no I/O; its
/// input is untrusted.

#include <functional>
#include <string_view>
#include <system_error>

#include "http/client.h"
#include "router/request_router.h"

namespace crankspur {

/// Decodes the bytes of a stream into events and verifies their order: accepted, then pieces, then one end.
class CompletionDecoder {
public:
  using EventHandler = std::function<void(const BackendEvent&)>;

  /// Decodes further bytes and calls `handler` for each event. `handler` may make the decoder's owner ignore
  /// further events but must not destroy the decoder.
  /// @return Malformed when the bytes violate the protocol, TooLarge when an event exceeds the size limit.
  /// The decoder is unusable after an error.
  std::error_code feed(std::string_view bytes, const EventHandler& handler);
  /// @return whether the end event has been received.
  bool ended() const { return ended_; }

private:
  std::error_code handleEvent(std::string_view json, const EventHandler& handler);
  bool isInOrder(const BackendEvent& event) const;

  http::EventStreamParser parser_;
  bool accepted_ = false;
  bool ended_ = false;
};

}  // namespace crankspur
