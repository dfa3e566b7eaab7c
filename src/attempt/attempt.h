#pragma once
/// @file State machine of one attempt to run a request at one back end (Boost.MSM behind a plain interface).
/// An attempt may be reported as not run only if no byte was sent or if the back end confirmed that it did
/// not execute the request.

#include <cstdint>
#include <memory>

#include "internal_protocol/messages.h"

namespace crankspur {

/// State of an attempt.
enum class AttemptState {
  NotSent,        ///< No byte has been sent to the back end.
  Sent,           ///< Bytes were sent; whether the back end received them is unknown.
  Accepted,       ///< The back end confirmed that it runs the request.
  Streaming,      ///< Part of the response was received.
  Done,           ///< The complete response was received.
  RefusedNotRun,  ///< The back end confirmed that it did not and will not run the request.
  NeverSent,      ///< The connection attempt failed; no byte was or will be sent.
  Lost,           ///< The connection closed or timed out in Sent or Accepted.
  LostStreaming,  ///< The connection closed or timed out in Streaming.
};

/// Event that may change the state of an attempt.
enum class AttemptEvent {
  BytesSent,
  BackendAccepted,
  PieceReceived,
  ResponseComplete,
  BackendRefusedNotRun,
  ConnectionFailed
};

/// One attempt. Not thread-safe.
class Attempt {
public:
  virtual ~Attempt() = default;
  /// Applies an event.
  /// @return false if the event is not valid in the current state, which is then unchanged.
  virtual bool apply(AttemptEvent event) = 0;
  virtual AttemptState state() const = 0;
  /// @return whether the back end ran the request, as far as is known if the attempt is abandoned now.
  virtual RunState runState() const = 0;
};

/// @return an attempt in state NotSent.
std::unique_ptr<Attempt> makeAttempt();

}  // namespace crankspur
