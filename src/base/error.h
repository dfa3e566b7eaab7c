#pragma once
/// @file Error codes of the project as std::error_code values.
/// Failures are returned as values; only a violated invariant terminates a process.

#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace crankspur {

/// Stable error codes. Callers receive the snake_case name that errorName() returns; docs/API.md lists them.
enum class ErrorCode {
  Ok = 0,
  InvalidRequest,       ///< The request is malformed; nothing was executed.
  Unauthorized,         ///< Unknown API key.
  UnknownModel,         ///< The bundle has no such model or adapter for this tenant.
  TooLarge,             ///< A message exceeds its size limit.
  Overloaded,           ///< No engine could start the request in time.
  RateLimited,          ///< The tenant's limit is exhausted.
  DeadlineExceeded,     ///< The deadline passed.
  EngineUnavailable,    ///< No live engine serves the model.
  EngineLost,           ///< The engine failed while it executed the request.
  RouterUnavailable,    ///< No router is reachable.
  IncarnationMismatch,  ///< The engine restarted after the decision; nothing was executed.
  WeightsMismatch,      ///< The engine holds different weights than assumed; nothing was executed.
  DuplicateRequest,     ///< The idempotency key is claimed by another attempt.
  ClaimUnavailable,     ///< At-most-once execution could not be guaranteed; nothing was executed.
  StaleBundle,          ///< The router's bundle is older than the caller's.
  NotReady,             ///< The process holds no bundle yet.
  Stopping,             ///< The process is stopping and accepts no new work.
  Cancelled,            ///< The caller cancelled the request.
  VersionMismatch,      ///< The peers have no common protocol version.
  Malformed,            ///< The received bytes cannot be decoded.
  SignatureInvalid,     ///< A signature does not verify.
  Conflict,             ///< A compare-and-set failed because of a concurrent write.
  Unavailable,          ///< An external service did not respond.
  Stale,                ///< A fencing token or version is lower than one already seen.
  Internal,             ///< An internal invariant was violated.
};

/// The last code; higher numbers are invalid.
inline constexpr ErrorCode kLastErrorCode = ErrorCode::Internal;

/// @return the stable snake_case name of a code, for example "engine_lost".
const char* errorName(ErrorCode code);

/// @return the code with the given name, or empty.
std::optional<ErrorCode> errorFromName(std::string_view name);

/// @return the project's error category.
const std::error_category& errorCategory();

/// Makes ErrorCode convertible to std::error_code.
inline std::error_code make_error_code(ErrorCode code) {
  return {static_cast<int>(code), errorCategory()};
}

}  // namespace crankspur

template <>
struct std::is_error_code_enum<crankspur::ErrorCode> : std::true_type {};
