#pragma once
/// @file Errors as callers see them: status, JSON body, Retry-After and the event of a broken stream.

#include <string>

#include "base/error.h"
#include "base/time.h"
#include "http/message.h"
#include "internal_protocol/messages.h"

namespace crankspur {

/// One error towards a caller.
struct CallerError {
  ErrorCode code = ErrorCode::Internal;
  RunState run_state = RunState::NotRun;
  Duration retry_after{0};  ///< 0: no advice.
  std::string message;
};

/// @return the error that a refusal means for the caller.
CallerError fromRefusal(const Refusal& refusal);

/// @return "not_run", "unknown" or "ran".
const char* runStateName(RunState state);

/// @return the HTTP status of an error code.
int statusOf(ErrorCode code);

/// @return {"error":{"code","type","message","param","ran"}}.
std::string errorBody(const CallerError& error);

/// @return the whole response, with Retry-After where there is advice.
http::Response errorResponseOf(const CallerError& error);

/// @return the server-sent event that ends a stream which cannot be completed.
std::string errorEvent(const CallerError& error);

}  // namespace crankspur
