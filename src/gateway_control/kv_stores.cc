/// @file Stores of KV cache: the configuration names them, the platform's list does not. They are kept among
/// the back ends, so that what they hold is followed, told on and imported like what an engine holds.

#include <utility>

#include "gateway_control/gateway_control.h"

namespace crankspur::gateway {
namespace {

/// The other gateways of a zone leave a store that did not answer alone for so long.
constexpr Duration kSilentPause = std::chrono::milliseconds(1'500);

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

/// Requests that name a dead store as their source would wait for it.
void GatewayControl::onStoreSilent(const Backend& store) {
  const std::string id = store.view.name;
  fleet_.onUnreachable(store.view.slot, store.view.incarnation, now());
  const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(kSilentPause);
  if (!sharing_.empty())
    gossip_.tellAll({{BackendNote{id, static_cast<std::uint32_t>(pause.count()), "", "", 0, false}}});
  schedulePublish();
}

}  // namespace crankspur::gateway
