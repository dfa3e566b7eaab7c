/// @file How gateways share the following of caches: in a large fleet those that serve, in a smaller one
/// those of a zone. A gateway that stands by follows none and is told nothing.

#include <algorithm>
#include <set>
#include <utility>

#include "gateway_control/gateway_control.h"

namespace crankspur::gateway {
namespace {

/// From so many gateways on, each cache is followed by one of them.
constexpr std::size_t kLeastSharing = 5;
/// News are gathered for so long for each gateway that shares before they are told, within bounds: each
/// gateway hears all the others, so that their datagrams would grow with the square of their number.
constexpr Duration kGatherPerGateway = std::chrono::milliseconds(8);
constexpr Duration kLeastGather = std::chrono::milliseconds(40);
constexpr Duration kLongestGather = std::chrono::milliseconds(200);
/// When no further gateway became known for so long, a large fleet counts as known: somewhat more than the
/// time between two probes, each of which may bring more.
constexpr Duration kUntilKnown = std::chrono::milliseconds(700);
/// What others tell is passed on to the traffic thread in such steps.
constexpr Duration kPassInterval = std::chrono::milliseconds(30);

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

/// A gateway of a large fleet that starts does not know at once who serves. Until it does it follows no
/// cache: hundreds that all read every cache fill their links and the engines' places for such calls. In a
/// small fleet each follows caches from the first moment.
bool GatewayControl::fleetIsKnown() {
  if (serving_.allServe()) return true;
  if (!fleet_stable_) fleet_stable_ = now() - member_added_at_ >= kUntilKnown;
  return fleet_stable_;
}

void GatewayControl::updateCacheWatch() {
  if (configuration_ == nullptr) return;
  std::vector<std::string> sharing = fleetIsKnown() ? sharingGateways() : std::vector<std::string>();
  if (sharing.size() < kLeastSharing) sharing.clear();
  if (sharing != sharing_) follows_.clear();
  sharing_ = std::move(sharing);
  const auto follows = [this](const Backend& backend) { return followsCache(backend.view.name); };
  std::set<std::string> present;
  for (const Backend& backend : backends_) {
    if (backend.view.state == EngineState::Dead) continue;
    present.insert(backend.view.name);
    if (!follows(backend)) caches_.forgetOwn(backend.view.name);
  }
  caches_.retain(present);
  std::erase_if(follows_, [&present](const auto& item) { return !present.contains(item.first); });
  cache_watch_.update(*configuration_, backends_, follows);
}

bool GatewayControl::followsCache(const std::string& backend) {
  const bool stands_by = !serving_.serves(gossip_.ownName());
  if (stands_by || !fleetIsKnown()) return false;
  if (sharing_.empty()) return true;
  const auto [place, is_new] = follows_.try_emplace(backend, false);
  if (is_new) place->second = followerOf(backend, sharing_) == gossip_.ownName();
  return place->second;
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

void GatewayControl::onOwnCacheNews(CachedPartsNews news) {
  const Backend* backend = findBackend(news.slot, news.incarnation);
  if (!sharing_.empty() && backend != nullptr) {
    caches_.onOwnNews(backend->view.name, news.parts, news.complete);
    tellCachesSoon();
  }
  outputs_.on_cached_parts(std::move(news));
}

void GatewayControl::tellCachesSoon() {
  if (!caches_.hasNotes() || std::exchange(cache_send_scheduled_, true)) return;
  const Duration wanted = kGatherPerGateway * static_cast<Duration::rep>(sharing_.size());
  cache_send_timer_.expires_after(std::clamp(wanted, kLeastGather, kLongestGather));
  cache_send_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) tellCaches();
  });
}

void GatewayControl::tellCaches() {
  cache_send_scheduled_ = false;
  for (const CacheNotes& notes : caches_.takeNotes()) {
    for (const std::string& member : sharing_) {
      if (member != gossip_.ownName()) gossip_.tell(member, notes);
    }
  }
}

void GatewayControl::onCacheNotes(const std::string& teller, const CacheNotes& notes) {
  ReceivedCacheNotes received = caches_.onNotes(teller, notes, now());
  for (const CacheWanted& wanted : received.wanted) gossip_.tell(teller, wanted);
  for (ToldCacheNews& told : received.news) {
    const Backend* backend = findBackend(told.backend);
    if (backend == nullptr) continue;
    CachedPartsNews news;
    news.slot = backend->view.slot;
    news.incarnation = backend->view.incarnation;
    news.complete = told.complete;
    news.parts = std::move(told.parts);
    const bool waiting = !received_cache_updates_.empty();
    received_cache_updates_.push_back(std::move(news));
    if (waiting) continue;
    received_cache_timer_.expires_after(kPassInterval);
    received_cache_timer_.async_wait([this](boost::system::error_code error) {
      if (!error) passToldNews();
    });
  }
}

/// Together, since each hand-over wakes the traffic thread.
void GatewayControl::passToldNews() {
  for (CachedPartsNews& news : std::exchange(received_cache_updates_, {}))
    outputs_.on_cached_parts(std::move(news));
}

void GatewayControl::onCacheWanted(const std::string& asker, const CacheWanted& wanted) {
  for (const CacheNotes& notes : caches_.onWanted(wanted)) gossip_.tell(asker, notes);
}

}  // namespace crankspur::gateway
