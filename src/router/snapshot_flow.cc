/// @file Newer views of the fleet and news of engines' caches.

#include "router/request_router_impl.h"

namespace crankspur {

void RequestRouterImpl::onSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot, TimePoint now) {
  const std::shared_ptr<const RoutingSnapshot> previous = std::exchange(snapshot_, std::move(snapshot));
  capacity_.clear();
  sent_work_.onSnapshot(*snapshot_);
  takeIncarnations();
  const bool configured =
      previous && previous->bundle == snapshot_->bundle && previous->router_count == snapshot_->router_count;
  if (!configured && snapshot_->bundle) {
    options_.admission->configure(snapshot_->bundle, snapshot_->router_count, now);
  }
  if (!snapshot_->bundle) return;
  dropGoneEngines(now);
  if (!previous || previous->bundle != snapshot_->bundle) takeHeldRequests(now);
}

void RequestRouterImpl::takeIncarnations() {
  std::vector<std::uint64_t> present(known_incarnations_.size(), 0);
  for (const EngineView& engine : snapshot_->engines) {
    if (engine.slot >= present.size()) present.resize(engine.slot + std::size_t{1}, 0);
    present[engine.slot] = engine.state == EngineState::Dead ? 0 : engine.incarnation;
  }
  known_incarnations_.resize(present.size(), 0);
  for (std::size_t slot = 0; slot < present.size(); ++slot) {
    if (present[slot] == known_incarnations_[slot]) continue;
    const auto engine = static_cast<EngineSlot>(slot);
    if (present[slot] == 0) {
      options_.index->forgetEngine(engine);
    } else {
      options_.index->setIncarnation(engine, present[slot]);
    }
  }
  known_incarnations_ = std::move(present);
}

void RequestRouterImpl::takeHeldRequests(TimePoint now) {
  std::vector<Serial> held;
  for (const auto& [serial, entry] : entries_) {
    if (entry->phase == RequestEntry::Phase::WaitingForBundle) held.push_back(serial);
  }
  for (const Serial serial : held) begin(*findEntry(serial), now);
}

bool RequestRouterImpl::onCacheEvent(EngineSlot engine, std::uint64_t incarnation, const CacheEvent& event,
                                     TimePoint now) {
  return options_.index->applyEvent(engine, incarnation, event, now);
}

void RequestRouterImpl::onCacheDigest(EngineSlot engine, std::uint64_t incarnation, std::uint64_t sequence,
                                      const std::vector<BlockHash>& blocks, TimePoint now) {
  options_.index->applyDigest(engine, incarnation, sequence, blocks, now);
}

}  // namespace crankspur
