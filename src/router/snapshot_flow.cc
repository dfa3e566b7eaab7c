/// @file Fleet snapshots and cache updates from engines.

#include "router/request_router_impl.h"

namespace crankspur {

void RequestRouterImpl::onSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot, TimePoint now) {
  const std::shared_ptr<const RoutingSnapshot> previous = std::exchange(snapshot_, std::move(snapshot));
  capacity_.clear();
  outstanding_work_.onSnapshot(*snapshot_);
  updateIncarnations();
  const bool unchanged =
      previous && previous->bundle == snapshot_->bundle && previous->router_count == snapshot_->router_count;
  if (!unchanged && snapshot_->bundle) {
    options_.admission->configure(snapshot_->bundle, snapshot_->router_count, now);
  }
  if (!snapshot_->bundle) return;
  abandonFailedEngines(now);
  if (!previous || previous->bundle != snapshot_->bundle) startWaitingRequests(now);
}

void RequestRouterImpl::updateIncarnations() {
  std::vector<std::uint64_t> incarnations(known_incarnations_.size(), 0);
  for (const EngineView& engine : snapshot_->engines) {
    if (engine.slot >= incarnations.size()) incarnations.resize(engine.slot + std::size_t{1}, 0);
    incarnations[engine.slot] = engine.state == EngineState::Dead ? 0 : engine.incarnation;
  }
  known_incarnations_.resize(incarnations.size(), 0);
  for (std::size_t slot = 0; slot < incarnations.size(); ++slot) {
    if (incarnations[slot] == known_incarnations_[slot]) continue;
    const auto engine = static_cast<EngineSlot>(slot);
    if (incarnations[slot] == 0) {
      options_.index->forgetEngine(engine);
    } else {
      options_.index->setIncarnation(engine, incarnations[slot]);
    }
  }
  known_incarnations_ = std::move(incarnations);
}

void RequestRouterImpl::startWaitingRequests(TimePoint now) {
  std::vector<Serial> waiting;
  for (const auto& [serial, entry] : entries_) {
    if (entry->phase == RequestEntry::Phase::WaitingForBundle) waiting.push_back(serial);
  }
  for (const Serial serial : waiting) startRequest(*findEntry(serial), now);
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
