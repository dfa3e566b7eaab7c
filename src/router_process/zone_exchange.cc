#include "router_process/zone_exchange.h"

#include <algorithm>
#include <utility>

namespace crankspur {

namespace {

/// Up to this number of engines, every router polls the load of each engine itself.
constexpr std::size_t kMaxEnginesPolledByAll = 8;
/// Up to this number of engines, every router follows each cache event stream itself.
constexpr std::size_t kMaxEnginesFollowedByAll = 32;
/// Maximum bytes per second that this router sends of each kind, over all receivers.
constexpr double kDigestBytesPerSecond = 4'000;
constexpr double kSummaryBytesPerSecond = 4'000;

}  // namespace

ZoneExchange::ZoneExchange(MemberRecord self, EngineTable& engine_table, ZoneExchangeCallbacks callbacks)
    : self_(std::move(self)),
      engine_table_(engine_table),
      callbacks_(std::move(callbacks)),
      loads_(self_.name, kDigestBytesPerSecond),
      cache_(kSummaryBytesPerSecond) {}

void ZoneExchange::update(const std::vector<MemberRecord>& members, const std::vector<EngineView>& engines) {
  std::vector<std::string> routers;
  peer_addresses_.clear();
  for (const MemberRecord& member : members) {
    const bool usable = member.state == MemberState::Alive || member.state == MemberState::Suspect;
    if (member.zone != self_.zone || !usable) continue;
    routers.push_back(member.name);
    if (member.name != self_.name) peer_addresses_.push_back(member.address);
  }
  engines_ = engines;
  owned_.clear();
  std::set<std::string> polled_by_peers;
  for (const EngineView& engine : engines_) {
    const bool own = peer_addresses_.empty() || ownerOf(engine.name, routers) == self_.name;
    (own ? owned_ : polled_by_peers).insert(engine.name);
  }
  share_loads_ = !peer_addresses_.empty() && engines_.size() > kMaxEnginesPolledByAll;
  share_cache_ = !peer_addresses_.empty() && engines_.size() > kMaxEnginesFollowedByAll;
  engine_table_.setPolledByPeers(share_loads_ ? std::move(polled_by_peers) : std::set<std::string>());
  cache_.keepOnly(share_cache_ ? owned_ : std::set<std::string>());
}

std::vector<EngineView> ZoneExchange::followed(const std::vector<EngineView>& engines) const {
  if (!share_cache_) return engines;
  std::vector<EngineView> owned;
  for (const EngineView& engine : engines) {
    if (owned_.contains(engine.name)) owned.push_back(engine);
  }
  return owned;
}

void ZoneExchange::onOwnCacheUpdate(const EngineCacheUpdate& update) {
  if (!share_cache_ || update.is_digest) return;
  for (const EngineView& engine : engines_) {
    if (engine.slot == update.slot) return cache_.onEvents(engine.name, update.incarnation, update.events);
  }
}

void ZoneExchange::onLoadDigest(const LoadDigest& digest, TimePoint now) {
  for (const EngineLoad& load : digest.loads) {
    LoadReport report;
    report.measured_at = now - std::chrono::milliseconds(load.age_milliseconds);
    report.queued_tokens = load.queued_tokens;
    report.running_requests = load.running;
    engine_table_.onPeerEngineLoad(load.engine, load.engine_incarnation, report, now);
  }
}

void ZoneExchange::onCacheSummary(const CacheSummary& summary) {
  const EngineView* engine = findEngine(summary.engine);
  const bool wanted = share_cache_ && engine != nullptr && !owned_.contains(summary.engine) &&
                      engine->incarnation == summary.engine_incarnation;
  if (!wanted) return;
  auto update = std::make_shared<EngineCacheUpdate>();
  update->slot = engine->slot;
  update->incarnation = summary.engine_incarnation;
  update->events.push_back({summary.sequence, summary.stored, summary.removed});
  callbacks_.on_cache_update(std::move(update));
}

void ZoneExchange::tick(TimePoint now) {
  if (share_loads_ && loads_.isDue(now)) {
    std::vector<EngineView> owned;
    for (EngineView& engine : engine_table_.engines(now)) {
      const bool reportable = engine.incarnation != 0 && engine.state != EngineState::Dead;
      if (owned_.contains(engine.name) && reportable) owned.push_back(std::move(engine));
    }
    if (auto digest = loads_.due(owned, peer_addresses_.size(), now)) {
      callbacks_.on_send(peer_addresses_, std::move(*digest));
    }
  }
  if (!share_cache_) return;
  for (CacheSummary& summary : cache_.due(peer_addresses_.size(), now)) {
    callbacks_.on_send(peer_addresses_, std::move(summary));
  }
}

const EngineView* ZoneExchange::findEngine(const std::string& name) const {
  const auto found = std::find_if(engines_.begin(), engines_.end(),
                                  [&name](const EngineView& engine) { return engine.name == name; });
  return found == engines_.end() ? nullptr : &*found;
}

}  // namespace crankspur
