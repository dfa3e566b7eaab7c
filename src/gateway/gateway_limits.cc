/// @file Member functions of Gateway for the limits of requests per second that back ends name.

#include "gateway/gateway.h"

namespace crankspur::gateway {

/// Only a response that the back end made itself says something about its limit. An invalid limit leaves the
/// known one in force: the back end is still in need.
void Gateway::recordLimit(const Entry& entry, const BackendResponse& response, TimePoint now) {
  const bool own_response = response.genuine || response.not_run;
  if (!own_response || response.wrong_backend) return;
  if (!response.invalid_limit.empty()) {
    return observer_.onBackendLimitInvalid({entry.last_backend, response.invalid_limit});
  }
  const std::optional<LimitChange> change =
      limits_.onResponse(entry.active.incarnation, response.requests_per_second, entry.active.sent_at, now);
  if (!change) return;
  observer_.onBackendLimitChanged({entry.last_backend, change->previous, change->limit, "response"});
}

}  // namespace crankspur::gateway
