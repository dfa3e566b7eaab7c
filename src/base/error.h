#pragma once
/// @file Error codes of the project as std::error_code values.
/// Outcomes are values; only a broken invariant stops a process.

#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace crankspur {

/// Stable error codes. The snake_case name that callers see is `errorName(code)`; docs/API.md lists them.
enum class ErrorCode {
  Ok = 0,
  InvalidRequest,       ///< The request is malformed; nothing ran.
  Unauthorized,         ///< Unknown API key.
  UnknownModel,         ///< The bundle serves no such model or adapter to this tenant.
  TooLarge,             ///< A message exceeds its stated size limit.
  Overloaded,           ///< No engine could start the request in time.
  RateLimited,          ///< The tenant's own limit is used up.
  DeadlineExceeded,     ///< The deadline passed.
  EngineUnavailable,    ///< No live engine serves the model.
  EngineLost,           ///< The engine failed while it ran the request.
  RouterUnavailable,    ///< No router could be reached.
  IncarnationMismatch,  ///< The engine restarted since the decision; nothing ran.
  WeightsMismatch,      ///< The engine holds other weights than the decision assumed; nothing ran.
  DuplicateRequest,     ///< The idempotency key is claimed by another attempt.
  ClaimUnavailable,     ///< At-most-once could not be secured; nothing ran.
  StaleBundle,          ///< The router's bundle is older than the caller's.
  NotReady,             ///< The process holds no bundle yet.
  Stopping,             ///< The process takes no new work.
  Cancelled,            ///< The caller gave up.
  VersionMismatch,      ///< The peers share no protocol version.
  Malformed,            ///< Bytes that do not decode.
  SignatureInvalid,     ///< A signature does not verify.
  Conflict,             ///< A compare-and-set lost.
  Unavailable,          ///< An outside service did not answer.
  Stale,                ///< A fencing token or version is lower than one already seen.
  Internal,             ///< A broken assumption inside the project.
};

/// The last code; a number beyond it is none.
inline constexpr ErrorCode kLastErrorCode = ErrorCode::Internal;

/// @return the stable snake_case name of a code, for example "engine_lost".
const char* errorName(ErrorCode code);

/// @return the code with that name, or empty.
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
