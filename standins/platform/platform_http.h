#pragma once
/// @file HTTP encoding of the platform stand-in's calls and responses, as documented in docs/ARCHITECTURE.md.

#include <variant>

#include "http/message.h"
#include "standins/platform/platform_types.h"

namespace crankspur::standin {

/// @return the call, or the error response if the request is not a valid call.
std::variant<PlatformCall, http::Response> decodePlatformCall(const http::Request& request);

http::Response encodePlatformResponse(const PlatformResponse& response);

}  // namespace crankspur::standin
