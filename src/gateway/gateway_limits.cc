/// @file Member functions of Gateway for the limits of requests per second that back ends name.

#include "gateway/gateway.h"

namespace crankspur::gateway {

/// Only a response that the back end made itself says something about its limit. An invalid limit leaves the
/// known one in force: the back end is still in need.
void Gateway::recordLimit(const Entry& entry, const BackendResponse& response, TimePoint now) {
  const bool own_response = response.genuine || response.not_run;
  if (!own_response || response.wrong_backend) return;
  if (!response.invalid_limit.empty()) {
    const bool is_new = limits_.onInvalidResponse(entry.active.incarnation, response.invalid_limit);
    if (is_new) observer_.onBackendLimitInvalid({entry.last_backend, response.invalid_limit});
    return;
  }
  const bool success = response.genuine && isSuccess(entry.active.status);
  const std::optional<LimitChange> change = limits_.onResponse(
      entry.active.incarnation, {response.requests_per_second, success, entry.active.sent_at}, now);
  if (!change) return;
  BackendLimitChanged record{entry.last_backend, change->previous, change->limit, "response"};
  record.status = entry.active.status;
  observer_.onBackendLimitChanged(record);
}

void Gateway::recordReportedLimits(const LoadDigest& digest, TimePoint now) {
  const auto on_change = [&](std::uint64_t incarnation, const LimitChange& change) {
    reportLimit(snapshot_.get(), incarnation, change, digest.sender, now);
  };
  limits_.onReport(digest, on_change, now);
}

/// To be called before `next` replaces the snapshot, which still names the back ends that are no longer
/// listed.
void Gateway::updateListedLimits(const GatewaySnapshot& next, TimePoint now) {
  const auto on_change = [&](std::uint64_t incarnation, const LimitChange& change) {
    const bool is_listed = change.limit > 0;
    reportLimit(is_listed ? &next : snapshot_.get(), incarnation, change, "list", now);
  };
  limits_.onSnapshot(next, on_change, now);
}

/// @param snapshot that lists the back end; null: none does.
void Gateway::reportLimit(const GatewaySnapshot* snapshot, std::uint64_t incarnation,
                          const LimitChange& change, std::string_view source, TimePoint now) {
  if (snapshot == nullptr) return;
  for (const Backend& backend : snapshot->backends) {
    if (backend.view.incarnation != incarnation) continue;
    observer_.onBackendLimitChanged(
        {backend.view.name, change.previous, change.limit, source, limits_.age(incarnation, now)});
  }
}

}  // namespace crankspur::gateway
