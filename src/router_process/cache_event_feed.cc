#include "router_process/cache_event_feed.h"

#include <algorithm>
#include <set>
#include <utility>

namespace crankspur {

namespace {

/// How long an engine may hold an answer back while it has no events.
constexpr Duration kPollWait = std::chrono::seconds(1);
/// Least time between two polls of one engine, so that a busy engine's events come in batches.
constexpr Duration kPollPause = std::chrono::milliseconds(20);
/// Least time between two digests of one engine.
constexpr Duration kDigestPause = std::chrono::seconds(2);
constexpr Duration kRetryPause = std::chrono::milliseconds(500);

}  // namespace

/// The stream of one incarnation of one engine.
struct CacheEventFeed::Follower {
  explicit Follower(const boost::asio::any_io_executor& executor) : timer(executor) {}
  EngineSlot slot = 0;
  std::string name;
  std::string address;
  std::uint64_t incarnation = 0;
  std::uint64_t after = 0;
  bool digest_wanted = false;
  TimePoint digest_at{};
  boost::asio::steady_timer timer;
};

CacheEventFeed::CacheEventFeed(const boost::asio::any_io_executor& executor, NewsHandler on_news,
                               RouterMetrics& metrics, std::uint64_t random_seed)
    : executor_(executor),
      on_news_(std::move(on_news)),
      metrics_(metrics),
      random_(random_seed),
      http_(http::makeClient(executor)),
      engines_(makeEngineClient(*http_, clock_)) {}

CacheEventFeed::~CacheEventFeed() = default;

void CacheEventFeed::follow(const std::vector<EngineView>& engines) {
  std::set<std::string> wanted;
  for (const EngineView& engine : engines) {
    if (engine.incarnation == 0 || engine.state == EngineState::Dead) continue;
    wanted.insert(engine.name);
    const auto known = followers_.find(engine.name);
    const bool same = known != followers_.end() && known->second->incarnation == engine.incarnation &&
                      known->second->address == engine.address;
    if (same) continue;
    auto follower = std::make_shared<Follower>(executor_);
    follower->slot = engine.slot;
    follower->name = engine.name;
    follower->address = engine.address;
    follower->incarnation = engine.incarnation;
    followers_[engine.name] = follower;
    fetchDigest(follower);
  }
  std::erase_if(followers_, [&wanted](const auto& item) { return !wanted.contains(item.first); });
}

bool CacheEventFeed::current(const std::shared_ptr<Follower>& follower) const {
  const auto known = followers_.find(follower->name);
  return known != followers_.end() && known->second == follower;
}

void CacheEventFeed::later(const std::shared_ptr<Follower>& follower, Duration delay,
                           void (CacheEventFeed::*next)(const std::shared_ptr<Follower>&)) {
  const double factor = 0.8 + 0.4 * random_.unit();
  follower->timer.expires_after(
      Duration(static_cast<Duration::rep>(static_cast<double>(delay.count()) * factor)));
  follower->timer.async_wait([this, follower, next](boost::system::error_code error) {
    if (!error && current(follower)) (this->*next)(follower);
  });
}

void CacheEventFeed::fetchDigest(const std::shared_ptr<Follower>& follower) {
  follower->digest_wanted = false;
  follower->digest_at = clock_.now() + kDigestPause;
  engines_->fetchDigest(follower->address,
                        [this, follower](std::error_code error, const CacheDigestResponse& answer) {
                          if (!current(follower)) return;
                          if (error) {
                            const Duration pause = std::max(kRetryPause, answer.retry_after);
                            follower->digest_at = clock_.now() + pause;
                            follower->digest_wanted = true;
                            return later(follower, kPollPause, &CacheEventFeed::poll);
                          }
                          if (answer.incarnation != follower->incarnation) {
                            return later(follower, kRetryPause, &CacheEventFeed::fetchDigest);
                          }
                          metrics_.cache_digests.Increment();
                          follower->after = std::max(follower->after, answer.sequence);
                          auto news = std::make_shared<CacheNews>();
                          news->slot = follower->slot;
                          news->incarnation = answer.incarnation;
                          news->is_digest = true;
                          news->digest_sequence = answer.sequence;
                          news->digest_blocks = answer.blocks;
                          on_news_(std::move(news));
                          poll(follower);
                        });
}

void CacheEventFeed::poll(const std::shared_ptr<Follower>& follower) {
  if (follower->digest_wanted && clock_.now() >= follower->digest_at) return fetchDigest(follower);
  engines_->pollCacheEvents(follower->address, follower->after, kPollWait,
                            [this, follower](std::error_code error, const CacheEventsResponse& answer) {
                              if (!current(follower)) return;
                              // Another incarnation's events are useless here; the engine table will replace
                              // this follower.
                              if (error || answer.incarnation != follower->incarnation) {
                                return later(follower, kRetryPause, &CacheEventFeed::poll);
                              }
                              onEvents(follower, answer);
                              later(follower, kPollPause, &CacheEventFeed::poll);
                            });
}

void CacheEventFeed::onEvents(const std::shared_ptr<Follower>& follower, const CacheEventsResponse& answer) {
  if (answer.events.empty()) return;
  metrics_.cache_events.Increment(static_cast<double>(answer.events.size()));
  for (const CacheEvent& event : answer.events) follower->after = std::max(follower->after, event.sequence);
  auto news = std::make_shared<CacheNews>();
  news->slot = follower->slot;
  news->incarnation = answer.incarnation;
  news->events = answer.events;
  on_news_(std::move(news));
}

void CacheEventFeed::onGap(EngineSlot slot, std::uint64_t incarnation) {
  for (const auto& [name, follower] : followers_) {
    if (follower->slot != slot || follower->incarnation != incarnation) continue;
    if (!follower->digest_wanted) metrics_.cache_gaps.Increment();
    follower->digest_wanted = true;
  }
}

}  // namespace crankspur
