#pragma once
/// @file Validation of caller request headers, and of requests against the bundle and the tenant's policy.

#include <cstdint>
#include <optional>
#include <string>

#include "bundle/bundle.h"
#include "caller/caller_error.h"
#include "caller/chat_request.h"
#include "http/message.h"
#include "internal_protocol/messages.h"

namespace crankspur {

/// Limits of header values.
inline constexpr std::size_t kMaxHeaderValueBytes = 128;
inline constexpr Duration kMaxDeadline = std::chrono::hours(1);
inline constexpr std::uint32_t kLowestPriority = 9;  ///< 0 is the highest priority.

/// Validated headers of a request.
struct CallerHeaders {
  std::string api_key;          ///< Empty if absent.
  std::string idempotency_key;  ///< Empty if absent.
  std::string request_id;       ///< Id assigned by the caller; empty if absent.
  std::optional<Duration> deadline;
  std::optional<std::uint32_t> priority;
};

/// Parses and validates the headers of a request.
/// @param error set if nullopt is returned.
std::optional<CallerHeaders> parseCallerHeaders(const http::Request& request, CallerError& error);

/// Builds the submit message of a completion after checking that the tenant may use the model and adapter and
/// that the prompt and max_tokens are within the model's limits. The calling function sets request_id and
/// deadline.
std::optional<SubmitRequest> buildChatSubmit(const ChatRequest& chat, const CallerHeaders& headers,
                                             const Bundle& bundle, const TenantPolicy& tenant,
                                             CallerError& error);

/// Builds the submit message of an operation. A non-repeatable operation requires an idempotency key.
std::optional<SubmitRequest> buildOperationSubmit(const std::string& operation, const std::string& body,
                                                  const CallerHeaders& headers, const Bundle& bundle,
                                                  const TenantPolicy& tenant, CallerError& error);

}  // namespace crankspur
