#pragma once
/// @file Responses that a gateway makes itself, in place of a back end.

#include "base/time.h"
#include "gateway/request_observer.h"
#include "http/message.h"

namespace crankspur::gateway {

/// @param retry_after 0: no time to return is stated.
/// @return a response with a JSON error body, which tells whether the request may have run.
http::Response ownResponse(int status, RequestCause cause, Duration retry_after);

/// @return the response to a request that is not read completely, since the process stops.
http::Response stoppingResponse(Duration retry_after);

}  // namespace crankspur::gateway
