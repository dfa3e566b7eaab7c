#pragma once
/// @file Validation of a submitted request against the bundle. Precedes every other decision.

#include <optional>
#include <string>

#include "bundle/bundle.h"
#include "internal_protocol/messages.h"

namespace crankspur {

/// Reason for the rejection of a request.
struct RequestError {
  ErrorCode code = ErrorCode::InvalidRequest;
  std::string message;
};

/// @return the first error found, or empty when the bundle allows the request.
std::optional<RequestError> checkRequest(const SubmitRequest& request, const Bundle& bundle);

/// @return whether the request may be executed at most once. Required by either the caller, in the request,
/// or the operators, in the bundle.
bool needsClaim(const SubmitRequest& request, const Bundle& bundle);

}  // namespace crankspur
