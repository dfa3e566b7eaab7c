#include "router_process/zone_exchange.h"

#include <algorithm>
#include <utility>

namespace crankspur {

namespace {

/// Up to this many engines every router asks each for its load.
constexpr std::size_t kEnginesAskedByAll = 8;
/// Up to this many engines every router follows each event stream.
constexpr std::size_t kEnginesFollowedByAll = 32;
/// Bytes a second that this router sends of each kind, over all receivers.
constexpr double kDigestBytesPerSecond = 4'000;
constexpr double kSummaryBytesPerSecond = 4'000;

}  // namespace

ZoneExchange::ZoneExchange(MemberRecord self, EngineTable& table, ZoneExchangeCallbacks callbacks)
    : self_(std::move(self)),
      table_(table),
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
  std::set<std::string> elsewhere;
  for (const EngineView& engine : engines_) {
    const bool own = peer_addresses_.empty() || ownerOf(engine.name, routers) == self_.name;
    (own ? owned_ : elsewhere).insert(engine.name);
  }
  share_loads_ = !peer_addresses_.empty() && engines_.size() > kEnginesAskedByAll;
  share_cache_ = !peer_addresses_.empty() && engines_.size() > kEnginesFollowedByAll;
  table_.setPolledByPeers(share_loads_ ? std::move(elsewhere) : std::set<std::string>());
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

void ZoneExchange::onOwnNews(const CacheNews& news) {
  if (!share_cache_ || news.is_digest) return;
  for (const EngineView& engine : engines_) {
    if (engine.slot == news.slot) return cache_.onEvents(engine.name, news.incarnation, news.events);
  }
}

void ZoneExchange::onLoadDigest(const LoadDigest& digest, TimePoint now) {
  for (const EngineLoad& load : digest.loads) {
    LoadReport report;
    report.measured_at = now - std::chrono::milliseconds(load.age_milliseconds);
    report.queued_tokens = load.queued_tokens;
    report.running_requests = load.running;
    table_.onPeerEngineLoad(load.engine, load.engine_incarnation, report, now);
  }
}

void ZoneExchange::onCacheSummary(const CacheSummary& summary) {
  const EngineView* engine = findEngine(summary.engine);
  const bool wanted = share_cache_ && engine != nullptr && !owned_.contains(summary.engine) &&
                      engine->incarnation == summary.engine_incarnation;
  if (!wanted) return;
  auto news = std::make_shared<CacheNews>();
  news->slot = engine->slot;
  news->incarnation = summary.engine_incarnation;
  news->events.push_back({summary.sequence, summary.stored, summary.removed});
  callbacks_.on_cache_news(std::move(news));
}

void ZoneExchange::tick(TimePoint now) {
  if (share_loads_ && loads_.isDue(now)) {
    std::vector<EngineView> owned;
    for (EngineView& engine : table_.engines(now)) {
      const bool tellable = engine.incarnation != 0 && engine.state != EngineState::Dead;
      if (owned_.contains(engine.name) && tellable) owned.push_back(std::move(engine));
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
  const auto place = std::find_if(engines_.begin(), engines_.end(),
                                  [&name](const EngineView& engine) { return engine.name == name; });
  return place == engines_.end() ? nullptr : &*place;
}

}  // namespace crankspur
