/// @file Part of GatewayControl: KV cache stores. They are named by the configuration, not by the platform's
/// list. They are kept among the back ends, so that their contents are followed, shared with other gateways
/// and imported like the contents of an engine.

#include <utility>

#include "gateway_control/gateway_control.h"

namespace crankspur::gateway {
namespace {

/// The other gateways of a zone avoid a store that did not respond for this long.
constexpr Duration kUnresponsiveDelay = std::chrono::milliseconds(1'500);

}  // namespace

void GatewayControl::listKvStores() {
  std::set<std::string> named;
  for (const Pool& pool : configuration_->pools) {
    if (pool.kv_store_address.empty()) continue;
    ListedBackend store;
    store.id = "kv-store:" + pool.kv_store_address;
    store.pool = pool.name;
    store.address = pool.kv_store_address;
    store.zone = pool.kv_store_zone;
    store.is_kv_store = true;
    store.link_bits_per_second = pool.link_bits_per_second;
    named.insert(store.id);
    fleet_.onListed(store, now());
  }
  for (const std::string& id : std::exchange(kv_stores_, named)) {
    if (!named.contains(id)) fleet_.onRemoved(id, now());
  }
}

/// Marks the store as unreachable, since requests that name a failed store as their source would wait for it.
void GatewayControl::onStoreUnresponsive(const Backend& store) {
  const std::string id = store.view.name;
  fleet_.onUnreachable(store.view.slot, store.view.incarnation, now());
  const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(kUnresponsiveDelay);
  if (!sharing_.empty())
    gossip_.broadcast({{BackendNote{id, static_cast<std::uint32_t>(delay.count()), "", "", 0, false}}});
  schedulePublish();
}

}  // namespace crankspur::gateway
