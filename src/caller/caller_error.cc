#include "caller/caller_error.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <cmath>

namespace crankspur {

namespace {

/// @return the coarse class that stock clients expect in "type".
const char* typeOf(int status) {
  if (status == 401) return "authentication_error";
  if (status == 429) return "rate_limit_error";
  if (status >= 500) return "server_error";
  return "invalid_request_error";
}

}  // namespace

CallerError fromRefusal(const Refusal& refusal) {
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

int statusOf(ErrorCode code) {
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
      {"type", typeOf(statusOf(error.code))},
      {"message", error.message.empty() ? errorName(error.code) : error.message},
      {"param", nullptr},
      {"ran", runStateName(error.run_state)}};
  return boost::json::serialize(boost::json::object{{"error", detail}});
}

http::Response errorResponseOf(const CallerError& error) {
  http::Response response = http::jsonResponse(statusOf(error.code), errorBody(error));
  const bool advised = error.retry_after > Duration::zero();
  if (advised) {
    const auto seconds = static_cast<long>(std::ceil(toSeconds(error.retry_after)));
    response.headers["Retry-After"] = fmt::format("{}", seconds);
    response.headers["retry-after-ms"] = fmt::format("{}", error.retry_after.count() / 1000);
  }
  // Stock clients repeat 409 and 5xx by themselves unless told otherwise.
  const bool harmless = advised && error.run_state == RunState::NotRun;
  response.headers["x-should-retry"] = harmless ? "true" : "false";
  return response;
}

std::string errorEvent(const CallerError& error) {
  return "data: " + errorBody(error) + "\n\n";
}

}  // namespace crankspur
