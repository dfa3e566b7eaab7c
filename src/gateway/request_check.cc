#include "gateway/request_check.h"

namespace crankspur::gateway {
namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

CheckedRequest refusal(int status, RequestCause cause, const Route* route = nullptr) {
  return {status, route, nullptr, cause};
}

}  // namespace

CheckedRequest checkRequest(const IncomingRequest& request, const GatewaySnapshot* snapshot, TimePoint now) {
  if (!request.client) return refusal(kBadRequest, RequestCause::malformed_head);
  if (snapshot == nullptr || snapshot->configuration == nullptr) {
    return refusal(kUnavailable, RequestCause::no_configuration);
  }
  const Configuration& configuration = *snapshot->configuration;
  const Route* route = configuration.findRoute(request.host, request.path);
  if (route == nullptr) return refusal(kNotFound, RequestCause::no_route);
  if (route->pools.empty()) return refusal(kUnavailable, RequestCause::route_without_pool, route);
  if (!route->needs_tenant) return {0, route};
  if (!snapshot->keysCurrent(now)) return refusal(kUnavailable, RequestCause::keys_outdated, route);
  const GatewayTenant* tenant = configuration.findTenantByKey(request.client->api_key);
  if (tenant == nullptr) return refusal(kUnauthorized, RequestCause::unknown_key, route);
  return {0, route, tenant};
}

}  // namespace crankspur::gateway
