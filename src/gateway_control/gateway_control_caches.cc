/// @file Part of GatewayControl: gateways share the work of following caches. In a large fleet those that
/// serve share it, in a smaller one those of a zone. A standby gateway follows no cache and is sent no
/// updates.

#include <algorithm>
#include <set>
#include <utility>

#include "gateway_control/gateway_control.h"

namespace crankspur::gateway {
namespace {

/// With at least this many gateways, each cache is followed by only one of them.
constexpr std::size_t kMinSharingGateways = 5;
/// Updates are batched for this time per sharing gateway before they are sent, within the bounds below: each
/// gateway sends to all others, so that the number of datagrams would grow with the square of the number of
/// gateways.
constexpr Duration kBatchTimePerGateway = std::chrono::milliseconds(8);
constexpr Duration kMinBatchTime = std::chrono::milliseconds(40);
constexpr Duration kMaxBatchTime = std::chrono::milliseconds(200);
/// A large fleet counts as known when no further gateway was discovered for this time. It is somewhat longer
/// than the time between two probes, each of which may discover more.
constexpr Duration kFleetStableTime = std::chrono::milliseconds(700);
/// Updates from other gateways are forwarded to the traffic thread in batches of this time.
constexpr Duration kForwardInterval = std::chrono::milliseconds(30);

}  // namespace

std::vector<std::string> GatewayControl::sharingGateways() const {
  if (!serving_.allServe()) return serving_.serving();
  std::vector<std::string> names;
  for (const MemberRecord& member : gossip_.members()) {
    const bool own = member.name == gossip_.ownName();
    const bool shares = member.state == MemberState::Alive && member.incarnation != 0;
    if (member.zone == settings_.zone && (own || shares)) names.push_back(member.name);
  }
  return names;
}

/// A gateway of a large fleet does not know at its start which gateways serve. Until it does, it follows no
/// cache: hundreds of gateways that each read every cache would saturate their links and take up all slots
/// that the engines have for such calls. In a small fleet each gateway follows caches from the start.
bool GatewayControl::fleetIsKnown() {
  if (serving_.allServe()) return true;
  if (!fleet_stable_) fleet_stable_ = now() - member_added_at_ >= kFleetStableTime;
  return fleet_stable_;
}

void GatewayControl::updateCacheWatch() {
  if (configuration_ == nullptr) return;
  std::vector<std::string> sharing = fleetIsKnown() ? sharingGateways() : std::vector<std::string>();
  if (sharing.size() < kMinSharingGateways) sharing.clear();
  if (sharing != sharing_) follows_.clear();
  sharing_ = std::move(sharing);
  const auto follows = [this](const Backend& backend) { return followsCache(backend.view.name); };
  std::set<std::string> present;
  for (const Backend& backend : backends_) {
    if (backend.view.state == EngineState::Dead) continue;
    present.insert(backend.view.name);
    if (!follows(backend)) caches_.removeOwn(backend.view.name);
  }
  caches_.retain(present);
  std::erase_if(follows_, [&present](const auto& item) { return !present.contains(item.first); });
  cache_watch_.update(*configuration_, backends_, follows);
}

bool GatewayControl::followsCache(const std::string& backend) {
  const bool on_standby = !serving_.serves(gossip_.ownName());
  if (on_standby || !fleetIsKnown()) return false;
  if (sharing_.empty()) return true;
  const auto [position, is_new] = follows_.try_emplace(backend, false);
  if (is_new) position->second = followerOf(backend, sharing_) == gossip_.ownName();
  return position->second;
}

const Backend* GatewayControl::findBackend(const std::string& id) const {
  const auto found = std::find_if(backends_.begin(), backends_.end(),
                                  [&](const Backend& backend) { return backend.view.name == id; });
  return found == backends_.end() ? nullptr : &*found;
}

const Backend* GatewayControl::findBackend(EngineSlot slot, std::uint64_t incarnation) const {
  const auto found = std::find_if(backends_.begin(), backends_.end(), [&](const Backend& backend) {
    return backend.view.slot == slot && backend.view.incarnation == incarnation;
  });
  return found == backends_.end() ? nullptr : &*found;
}

void GatewayControl::onOwnCacheUpdate(CachedPartsUpdate update) {
  const Backend* backend = findBackend(update.slot, update.incarnation);
  if (!sharing_.empty() && backend != nullptr) {
    caches_.onOwnUpdate(backend->view.name, update.parts, update.complete);
    scheduleCacheBroadcast();
  }
  outputs_.on_cached_parts(std::move(update));
}

void GatewayControl::scheduleCacheBroadcast() {
  if (!caches_.hasNotes() || std::exchange(cache_send_scheduled_, true)) return;
  const Duration wanted = kBatchTimePerGateway * static_cast<Duration::rep>(sharing_.size());
  cache_send_timer_.expires_after(std::clamp(wanted, kMinBatchTime, kMaxBatchTime));
  cache_send_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) broadcastCacheNotes();
  });
}

void GatewayControl::broadcastCacheNotes() {
  cache_send_scheduled_ = false;
  for (const CacheNotes& notes : caches_.takeNotes()) {
    for (const std::string& member : sharing_) {
      if (member != gossip_.ownName()) gossip_.sendTo(member, notes);
    }
  }
}

void GatewayControl::onCacheNotes(const std::string& sender, const CacheNotes& notes) {
  ReceivedCacheNotes received = caches_.onNotes(sender, notes, now());
  for (const CacheWanted& wanted : received.wanted) gossip_.sendTo(sender, wanted);
  for (ReceivedCacheUpdate& received_update : received.updates) {
    const Backend* backend = findBackend(received_update.backend);
    if (backend == nullptr) continue;
    CachedPartsUpdate update;
    update.slot = backend->view.slot;
    update.incarnation = backend->view.incarnation;
    update.complete = received_update.complete;
    update.parts = std::move(received_update.parts);
    const bool waiting = !received_cache_updates_.empty();
    received_cache_updates_.push_back(std::move(update));
    if (waiting) continue;
    received_cache_timer_.expires_after(kForwardInterval);
    received_cache_timer_.async_wait([this](boost::system::error_code error) {
      if (!error) forwardReceivedUpdates();
    });
  }
}

/// Forwards all updates together, since each hand-over wakes the traffic thread.
void GatewayControl::forwardReceivedUpdates() {
  for (CachedPartsUpdate& update : std::exchange(received_cache_updates_, {}))
    outputs_.on_cached_parts(std::move(update));
}

void GatewayControl::onCacheWanted(const std::string& requester, const CacheWanted& wanted) {
  for (const CacheNotes& notes : caches_.onWanted(wanted)) gossip_.sendTo(requester, notes);
}

}  // namespace crankspur::gateway
