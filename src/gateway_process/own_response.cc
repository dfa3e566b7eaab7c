#include "gateway_process/own_response.h"

#include <fmt/format.h>

#include <string_view>

#include "base/error.h"
#include "gateway/peer_relay.h"

namespace crankspur::gateway {
namespace {

constexpr int kUnavailable = 503;

/// @return the error message for the client, in addition to the status.
std::string_view describe(int status, RequestCause cause) {
  if (status == kUnavailable && cause == RequestCause::quarantined) {
    return "back ends have crashed under this request: it is not run for some time";
  }
  if (status == kUnavailable && cause == RequestCause::stopping) {
    return "this gateway stops before the request would have ended";
  }
  switch (status) {
    case 400:
      return "the request is malformed";
    case 401:
      return "the key is unknown";
    case 404:
      return "no route serves the path";
    case 429:
      return "the tenant's quota is used up";
    case kUnavailable:
      return "no place for the request";
    default:
      return "no whole answer came from a back end";
  }
}

ErrorCode errorCodeOf(int status, RequestCause cause) {
  switch (status) {
    case 400:
    case 404:
      return ErrorCode::InvalidRequest;
    case 401:
      return ErrorCode::Unauthorized;
    case 429:
      return ErrorCode::Overloaded;
    case kUnavailable:
      return cause == RequestCause::stopping ? ErrorCode::Stopping : ErrorCode::Overloaded;
    case 504:
      return ErrorCode::DeadlineExceeded;
    default:
      return ErrorCode::Internal;
  }
}

bool mayHaveRun(int status) {
  return status == 502 || status == 504;
}

}  // namespace

http::Response ownResponse(int status, RequestCause cause, Duration retry_after) {
  const std::string_view ran = mayHaveRun(status) ? "unknown" : "not_run";
  http::Response response =
      http::errorResponse(status, errorName(errorCodeOf(status, cause)), describe(status, cause), ran);
  if (retry_after > Duration(0)) {
    response.headers["Retry-After"] = fmt::format("{:.3f}", toSeconds(retry_after));
  }
  return response;
}

/// The request may have been relayed, and the gateway that relays it can try another one.
http::Response stoppingResponse(Duration retry_after) {
  http::Response response = ownResponse(kUnavailable, RequestCause::stopping, retry_after);
  response.headers.emplace(kOutOfReachHeader, "1");
  return response;
}

}  // namespace crankspur::gateway
