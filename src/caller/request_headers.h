#pragma once
/// @file Headers of caller requests, checked; and what tenant and bundle make of a request.

#include <cstdint>
#include <optional>
#include <string>

#include "bundle/bundle.h"
#include "caller/caller_error.h"
#include "caller/chat_request.h"
#include "http/message.h"
#include "internal_protocol/messages.h"

namespace crankspur {

/// Bounds of headers.
inline constexpr std::size_t kMaximumHeaderValueBytes = 128;
inline constexpr Duration kLongestDeadline = std::chrono::hours(1);
inline constexpr std::uint32_t kLeastUrgentPriority = 9;

/// Checked headers of a request.
struct CallerHeaders {
  std::string api_key;          ///< Empty when none was given.
  std::string idempotency_key;  ///< Empty when none was given.
  std::string request_id;       ///< The caller's own id; empty when none was given.
  std::optional<Duration> deadline;
  std::optional<std::uint32_t> priority;
};

/// @param error set when empty is returned.
std::optional<CallerHeaders> parseCallerHeaders(const http::Request& request, CallerError& error);

/// Builds the submit of a completion: checks that the tenant may use the model and adapter, and bounds of
/// prompt and answer. request_id and deadline are left to the caller of this function.
std::optional<SubmitRequest> admitChat(const ChatRequest& chat, const CallerHeaders& headers,
                                       const Bundle& bundle, const TenantPolicy& tenant, CallerError& error);

/// Builds the submit of an operation. One that may not be repeated needs an idempotency key.
std::optional<SubmitRequest> admitOperation(const std::string& operation, const std::string& body,
                                            const CallerHeaders& headers, const Bundle& bundle,
                                            const TenantPolicy& tenant, CallerError& error);

}  // namespace crankspur
