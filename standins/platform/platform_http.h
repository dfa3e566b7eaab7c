#pragma once
/// @file HTTP form of the platform stand-in's calls and answers, as docs/ARCHITECTURE.md states them.

#include <variant>

#include "http/message.h"
#include "standins/platform/platform_types.h"

namespace crankspur::standin {

/// @return the call, or the error response to a request that is none.
std::variant<PlatformCall, http::Response> decodePlatformCall(const http::Request& request);

/// @return the response that carries an answer.
http::Response encodePlatformAnswer(const PlatformAnswer& answer);

}  // namespace crankspur::standin
