#include "router_process/cache_event_feed.h"

#include <algorithm>
#include <set>
#include <utility>

namespace crankspur {

namespace {

/// A long poll is held by the engine at most this long while there are no events.
constexpr Duration kMaxPollWait = std::chrono::seconds(1);
/// Delay between two polls of one engine, so that the events of a busy engine arrive in batches.
constexpr Duration kPollInterval = std::chrono::milliseconds(20);
/// Minimum time between two digests of one engine.
constexpr Duration kDigestInterval = std::chrono::seconds(2);
constexpr Duration kRetryDelay = std::chrono::milliseconds(500);

}  // namespace

/// Position in the event stream of one incarnation of an engine.
struct CacheEventFeed::Follower {
  explicit Follower(const boost::asio::any_io_executor& executor) : timer(executor) {}
  EngineSlot slot = 0;
  std::string name;
  std::string address;
  std::uint64_t incarnation = 0;
  std::uint64_t after = 0;  ///< Sequence of the last event received.
  bool digest_wanted = false;
  TimePoint next_digest_at{};
  boost::asio::steady_timer timer;
};

CacheEventFeed::CacheEventFeed(const boost::asio::any_io_executor& executor, UpdateHandler on_update,
                               RouterMetrics& metrics, std::uint64_t random_seed)
    : executor_(executor),
      on_update_(std::move(on_update)),
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
    const auto found = followers_.find(engine.name);
    const bool unchanged = found != followers_.end() && found->second->incarnation == engine.incarnation &&
                           found->second->address == engine.address;
    if (unchanged) continue;
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

bool CacheEventFeed::isCurrent(const std::shared_ptr<Follower>& follower) const {
  const auto found = followers_.find(follower->name);
  return found != followers_.end() && found->second == follower;
}

void CacheEventFeed::schedule(const std::shared_ptr<Follower>& follower, Duration delay,
                              void (CacheEventFeed::*next)(const std::shared_ptr<Follower>&)) {
  const double factor = 0.8 + 0.4 * random_.unit();
  follower->timer.expires_after(
      Duration(static_cast<Duration::rep>(static_cast<double>(delay.count()) * factor)));
  follower->timer.async_wait([this, follower, next](boost::system::error_code error) {
    if (!error && isCurrent(follower)) (this->*next)(follower);
  });
}

void CacheEventFeed::fetchDigest(const std::shared_ptr<Follower>& follower) {
  follower->digest_wanted = false;
  follower->next_digest_at = clock_.now() + kDigestInterval;
  engines_->fetchDigest(follower->address,
                        [this, follower](std::error_code error, const CacheDigestResponse& response) {
                          if (!isCurrent(follower)) return;
                          if (error) {
                            const Duration delay = std::max(kRetryDelay, response.retry_after);
                            follower->next_digest_at = clock_.now() + delay;
                            follower->digest_wanted = true;
                            return schedule(follower, kPollInterval, &CacheEventFeed::poll);
                          }
                          if (response.incarnation != follower->incarnation) {
                            return schedule(follower, kRetryDelay, &CacheEventFeed::fetchDigest);
                          }
                          metrics_.cache_digests.Increment();
                          follower->after = std::max(follower->after, response.sequence);
                          auto update = std::make_shared<EngineCacheUpdate>();
                          update->slot = follower->slot;
                          update->incarnation = response.incarnation;
                          update->is_digest = true;
                          update->digest_sequence = response.sequence;
                          update->digest_blocks = response.blocks;
                          on_update_(std::move(update));
                          poll(follower);
                        });
}

void CacheEventFeed::poll(const std::shared_ptr<Follower>& follower) {
  if (follower->digest_wanted && clock_.now() >= follower->next_digest_at) return fetchDigest(follower);
  engines_->pollCacheEvents(follower->address, follower->after, kMaxPollWait,
                            [this, follower](std::error_code error, const CacheEventsResponse& response) {
                              if (!isCurrent(follower)) return;
                              // Events of another incarnation do not apply to this index. The engine table
                              // will report the new incarnation, and follow() then replaces this follower.
                              if (error || response.incarnation != follower->incarnation) {
                                return schedule(follower, kRetryDelay, &CacheEventFeed::poll);
                              }
                              onEvents(follower, response);
                              schedule(follower, kPollInterval, &CacheEventFeed::poll);
                            });
}

void CacheEventFeed::onEvents(const std::shared_ptr<Follower>& follower,
                              const CacheEventsResponse& response) {
  if (response.events.empty()) return;
  metrics_.cache_events.Increment(static_cast<double>(response.events.size()));
  for (const CacheEvent& event : response.events) follower->after = std::max(follower->after, event.sequence);
  auto update = std::make_shared<EngineCacheUpdate>();
  update->slot = follower->slot;
  update->incarnation = response.incarnation;
  update->events = response.events;
  on_update_(std::move(update));
}

void CacheEventFeed::onGap(EngineSlot slot, std::uint64_t incarnation) {
  for (const auto& [name, follower] : followers_) {
    if (follower->slot != slot || follower->incarnation != incarnation) continue;
    if (!follower->digest_wanted) metrics_.cache_gaps.Increment();
    follower->digest_wanted = true;
  }
}

}  // namespace crankspur
