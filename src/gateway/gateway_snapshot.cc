#include "gateway/gateway_snapshot.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

Duration ageOf(const PlatformContact* contact, TimePoint now) {
  return contact == nullptr ? Duration(0) : std::max(Duration(0), now - contact->confirmedAt());
}

}  // namespace

const Route* Configuration::findRoute(std::string_view host, std::string_view path) const {
  const Route* best = nullptr;
  for (const Route& route : routes) {
    if (route.host != host || !path.starts_with(route.path_prefix)) continue;
    if (best == nullptr || route.path_prefix.size() > best->path_prefix.size()) best = &route;
  }
  return best;
}

const Pool* Configuration::findPool(std::string_view name) const {
  const auto found =
      std::find_if(pools.begin(), pools.end(), [&](const Pool& pool) { return pool.name == name; });
  return found == pools.end() ? nullptr : &*found;
}

const GatewayTenant* Configuration::findTenantByKey(std::string_view api_key) const {
  if (api_key.empty()) return nullptr;
  for (const GatewayTenant& tenant : tenants) {
    const auto& keys = tenant.api_keys;
    if (std::find(keys.begin(), keys.end(), api_key) != keys.end()) return &tenant;
  }
  return nullptr;
}

const Backend* GatewaySnapshot::backend(EngineSlot slot) const {
  const auto found =
      std::lower_bound(backends.begin(), backends.end(), slot,
                       [](const Backend& backend, EngineSlot wanted) { return backend.view.slot < wanted; });
  return found != backends.end() && found->view.slot == slot ? &*found : nullptr;
}

std::vector<const Backend*> GatewaySnapshot::listedInPool(std::string_view pool) const {
  std::vector<const Backend*> listed;
  for (const Backend& backend : backends) {
    if (backend.view.pool == pool && !isGone(backend.view.state)) listed.push_back(&backend);
  }
  return listed;
}

Duration GatewaySnapshot::platformContactAge(TimePoint now) const {
  return ageOf(contact.get(), now);
}

Duration GatewaySnapshot::listAge(TimePoint now) const {
  return ageOf(list_contact.get(), now);
}

std::optional<Duration> GatewaySnapshot::keysAge(TimePoint now) const {
  if (!key_validity) return std::nullopt;
  return platformContactAge(now);
}

bool GatewaySnapshot::keysCurrent(TimePoint now) const {
  return !key_validity || platformContactAge(now) < *key_validity;
}

}  // namespace crankspur::gateway
