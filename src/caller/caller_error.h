#pragma once
/// @file Error responses to callers: status, JSON body, Retry-After and the final event of a failed stream.

#include <string>

#include "base/error.h"
#include "base/time.h"
#include "http/message.h"
#include "internal_protocol/messages.h"

namespace crankspur {

/// Error returned to a caller.
struct CallerError {
  ErrorCode code = ErrorCode::Internal;
  RunState run_state = RunState::NotRun;
  Duration retry_after{0};  ///< Delay before the caller should retry; 0: not specified.
  std::string message;
};

/// Converts a refusal by a router to the error that is returned to the caller.
CallerError toCallerError(const Refusal& refusal);

/// @return the value of the field "ran": "not_run", "unknown" or "ran".
const char* runStateName(RunState state);

/// @return the HTTP status code for an error code.
int httpStatusOf(ErrorCode code);

/// @return the JSON body {"error":{"code","type","message","param","ran"}}.
std::string errorBody(const CallerError& error);

/// @return the complete HTTP response; it has Retry-After headers if `retry_after` is positive.
http::Response makeErrorResponse(const CallerError& error);

/// @return the server-sent event that terminates a stream which cannot be completed.
std::string errorEvent(const CallerError& error);

}  // namespace crankspur
