#pragma once
/// @file Decoder of the event stream that answers a completion. Free of I/O; its input is untrusted.

#include <functional>
#include <string_view>
#include <system_error>

#include "http/client.h"
#include "router/request_router.h"

namespace crankspur {

/// Turns the bytes of a stream into events and checks their order: accepted, then pieces, then one end.
class CompletionDecoder {
public:
  using Receiver = std::function<void(const BackendEvent&)>;

  /// Feeds bytes; calls `receive` for each event. `receive` may make the decoder's owner ignore further
  /// events but must not destroy the decoder.
  /// @return Malformed when the bytes break the protocol, TooLarge when an event is too long. The decoder is
  /// then unusable.
  std::error_code feed(std::string_view bytes, const Receiver& receive);
  /// @return whether the end has come.
  bool ended() const { return ended_; }

private:
  std::error_code take(std::string_view json, const Receiver& receive);
  bool follows(const BackendEvent& event) const;

  http::EventStreamParser parser_;
  bool accepted_ = false;
  bool ended_ = false;
};

}  // namespace crankspur
