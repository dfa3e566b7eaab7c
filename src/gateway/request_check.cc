#include "gateway/request_check.h"

namespace crankspur::gateway {
namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

}  // namespace

CheckedRequest checkRequest(const IncomingRequest& request, const GatewaySnapshot* snapshot) {
  if (!request.client) return {kBadRequest};
  if (snapshot == nullptr || snapshot->configuration == nullptr) return {kUnavailable};
  const Configuration& configuration = *snapshot->configuration;
  const Route* route = configuration.findRoute(request.host, request.path);
  if (route == nullptr) return {kNotFound};
  if (route->pools.empty()) return {kUnavailable};
  if (!route->needs_tenant) return {0, route};
  if (!snapshot->keys_current) return {kUnavailable};
  const GatewayTenant* tenant = configuration.findTenantByKey(request.client->api_key);
  if (tenant == nullptr) return {kUnauthorized};
  return {0, route, tenant};
}

}  // namespace crankspur::gateway
