#pragma once
/// @file Checks whether the accepted configuration allows a client's request to be served.

#include <optional>
#include <string>
#include <string_view>

#include "gateway/dialect.h"
#include "gateway/gateway_snapshot.h"
#include "gateway/request_observer.h"

namespace crankspur::gateway {

/// A request as received from a client.
struct IncomingRequest {
  std::string host;
  std::string path;
  std::string_view body;                ///< Valid during the call that takes the request.
  std::optional<ClientRequest> client;  ///< Empty: the head is malformed.
  bool from_peer = false;               ///< Another gateway relays it.
};

/// Outcome of the check.
struct CheckedRequest {
  int refusal = 0;  ///< HTTP status of the refusal; 0: the request may be served.
  const Route* route = nullptr;
  const GatewayTenant* tenant = nullptr;    ///< Null: the route needs none.
  RequestCause cause = RequestCause::none;  ///< Of the refusal.
};

/// Checks the route and the API key. The returned pointers point into the snapshot's configuration.
CheckedRequest checkRequest(const IncomingRequest& request, const GatewaySnapshot* snapshot, TimePoint now);

}  // namespace crankspur::gateway
