#include "caller/caller_error.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <cmath>

namespace crankspur {

namespace {

/// @return the error category that standard chat-completions clients expect in "type".
const char* errorTypeOf(int status) {
  if (status == 401) return "authentication_error";
  if (status == 429) return "rate_limit_error";
  if (status >= 500) return "server_error";
  return "invalid_request_error";
}

}  // namespace

CallerError toCallerError(const Refusal& refusal) {
  return {refusal.code, refusal.run_state, refusal.retry_after, refusal.message};
}

const char* runStateName(RunState state) {
  switch (state) {
    case RunState::NotRun:
      return "not_run";
    case RunState::Unknown:
      return "unknown";
    case RunState::Ran:
      return "ran";
  }
  return "unknown";
}

int httpStatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::Ok:
      return 200;
    case ErrorCode::InvalidRequest:
    case ErrorCode::Malformed:
      return 400;
    case ErrorCode::Unauthorized:
      return 401;
    case ErrorCode::UnknownModel:
      return 404;
    case ErrorCode::DuplicateRequest:
    case ErrorCode::Conflict:
      return 409;
    case ErrorCode::TooLarge:
      return 413;
    case ErrorCode::RateLimited:
      return 429;
    case ErrorCode::Cancelled:
      return 499;
    case ErrorCode::Internal:
      return 500;
    case ErrorCode::EngineLost:
      return 502;
    case ErrorCode::DeadlineExceeded:
      return 504;
    default:
      return 503;
  }
}

std::string errorBody(const CallerError& error) {
  const boost::json::object detail = {
      {"code", errorName(error.code)},
      {"type", errorTypeOf(httpStatusOf(error.code))},
      {"message", error.message.empty() ? errorName(error.code) : error.message},
      {"param", nullptr},
      {"ran", runStateName(error.run_state)}};
  return boost::json::serialize(boost::json::object{{"error", detail}});
}

http::Response makeErrorResponse(const CallerError& error) {
  http::Response response = http::jsonResponse(httpStatusOf(error.code), errorBody(error));
  const bool has_retry_delay = error.retry_after > Duration::zero();
  if (has_retry_delay) {
    const auto seconds = static_cast<long>(std::ceil(toSeconds(error.retry_after)));
    response.headers["Retry-After"] = fmt::format("{}", seconds);
    response.headers["retry-after-ms"] = fmt::format("{}", error.retry_after.count() / 1000);
  }
  // Standard clients retry 409 and 5xx on their own unless x-should-retry is "false".
  const bool safe_to_retry = has_retry_delay && error.run_state == RunState::NotRun;
  response.headers["x-should-retry"] = safe_to_retry ? "true" : "false";
  return response;
}

std::string errorEvent(const CallerError& error) {
  return "data: " + errorBody(error) + "\n\n";
}

}  // namespace crankspur
