#pragma once
/// @file Checks of a submitted request against the bundle, before anything else is decided.

#include <optional>
#include <string>

#include "bundle/bundle.h"
#include "internal_protocol/messages.h"

namespace crankspur {

/// Why a request cannot be taken.
struct RequestProblem {
  ErrorCode code = ErrorCode::InvalidRequest;
  std::string message;
};

/// @return the first problem found, or empty when the bundle allows the request.
std::optional<RequestProblem> checkRequest(const SubmitRequest& request, const Bundle& bundle);

/// @return whether at most one execution of the request is allowed. Either side may demand it: the caller by
/// the request, the operators by the bundle.
bool needsClaim(const SubmitRequest& request, const Bundle& bundle);

}  // namespace crankspur
