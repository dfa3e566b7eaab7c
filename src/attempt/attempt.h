#pragma once
/// @file Life cycle of one attempt at one back end, a Boost.MSM state machine behind a plain interface.
/// "Not run" may be told only while no byte has left, or when the back end itself said that it ran nothing.

#include <cstdint>
#include <memory>

#include "internal_protocol/messages.h"

namespace crankspur {

/// States of an attempt.
enum class AttemptState {
  NotSent,        ///< No byte has left for the back end.
  Sent,           ///< Bytes left; whether the back end took them is unknown.
  Accepted,       ///< The back end said that it runs the request.
  Streaming,      ///< Parts of the answer have arrived.
  Done,           ///< The whole answer has arrived.
  RefusedNotRun,  ///< The back end said that it ran nothing and will not.
  NeverSent,      ///< The connect failed; no byte left and none will.
  Lost,           ///< The connection ended or timed out in Sent or Accepted.
  LostStreaming,  ///< The connection ended or timed out in Streaming.
};

/// Events of an attempt.
enum class AttemptEvent {
  BytesSent,
  BackendAccepted,
  PieceArrived,
  AnswerComplete,
  BackendRefusedNotRun,
  ConnectionFailed
};

/// One attempt.
class Attempt {
public:
  virtual ~Attempt() = default;
  /// Applies an event.
  /// @return false when the event has no meaning in the present state; the state is then unchanged.
  virtual bool apply(AttemptEvent event) = 0;
  virtual AttemptState state() const = 0;
  /// @return what may truthfully be told if the attempt were given up now.
  virtual RunState runState() const = 0;
};

std::unique_ptr<Attempt> makeAttempt();

}  // namespace crankspur
