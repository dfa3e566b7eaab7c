#include "gateway_control/cache_watch.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace crankspur::gateway {

namespace {

/// Between two questions to one cache: news are gathered meanwhile.
constexpr Duration kPause = std::chrono::milliseconds(30);
constexpr Duration kPauseAfterRefusal = std::chrono::seconds(1);
/// A call for events is held this long when nothing happens, so that an engine that no longer answers is
/// noticed soon.
constexpr Duration kEventsWait = std::chrono::milliseconds(400);
/// A cache that did not answer twice is asked again soon, since requests keep away from its engine meanwhile.
constexpr Duration kPauseAfterSilence = std::chrono::milliseconds(300);
/// First calls under way at once: their answers tell whole caches, some 200 KB each, and a gateway of a large
/// fleet that knows few others yet would read all caches at its start.
constexpr std::size_t kFirstCalls = 4;
/// A first call without news, or over a slow link, holds up the next one for at most this long.
constexpr Duration kFirstCallTurn = std::chrono::milliseconds(200);

/// @return what the events leave behind: of each part the last one.
std::vector<CachedPart> newestOfEach(std::vector<CachedPart> events) {
  std::set<std::tuple<std::string, std::string, std::uint64_t>> seen;
  std::vector<CachedPart> newest;
  for (auto event = events.rbegin(); event != events.rend(); ++event) {
    if (seen.emplace(event->scope, event->model, event->part).second) newest.push_back(std::move(*event));
  }
  std::reverse(newest.begin(), newest.end());
  return newest;
}

}  // namespace

CacheWatch::CacheWatch(const boost::asio::any_io_executor& executor, PlatformLink& platform,
                       CacheWatchCallbacks callbacks)
    : executor_(executor), platform_(platform), callbacks_(std::move(callbacks)) {}

void CacheWatch::update(const Configuration& configuration, const std::vector<Backend>& backends,
                        const std::function<bool(const Backend&)>& follows) {
  std::set<std::string> wanted;
  for (const Backend& backend : backends) {
    const Pool* pool = configuration.findPool(backend.view.pool);
    const bool caches = pool != nullptr && pool->cache_tokens > 0;
    if (!caches || backend.view.state == EngineState::Dead || !follows(backend)) continue;
    wanted.insert(backend.view.name);
    follow(backend);
  }
  std::erase_if(followed_, [this, &wanted](const auto& item) {
    if (wanted.contains(item.first)) return false;
    item.second->dropped = true;
    item.second->timer.cancel();
    started(*item.second);
    return true;
  });
  startNext();
}

void CacheWatch::follow(const Backend& backend) {
  if (followed_.contains(backend.view.name)) return;
  const auto followed = std::make_shared<Followed>(executor_);
  followed->address = backend.view.address;
  followed->slot = backend.view.slot;
  followed->incarnation = backend.view.incarnation;
  followed_[backend.view.name] = followed;
  to_start_.push_back(followed);
}

void CacheWatch::startNext() {
  while (starting_ < kFirstCalls && !to_start_.empty()) {
    const FollowedPointer followed = to_start_.front();
    to_start_.pop_front();
    if (followed->dropped) continue;
    followed->starting = true;
    ++starting_;
    followed->timer.expires_after(kFirstCallTurn);
    followed->timer.async_wait([this, followed](boost::system::error_code error) {
      if (error) return;
      started(*followed);
      startNext();
    });
    ask(followed);
  }
}

/// The call is no longer counted among the first ones under way.
void CacheWatch::started(Followed& followed) {
  if (std::exchange(followed.starting, false)) --starting_;
}

void CacheWatch::ask(const FollowedPointer& followed) {
  if (followed->dropped) return;
  followed->asked_at = clock_.now();
  if (followed->want_content) {
    platform_.readCacheContent(
        followed->address, [this, followed](CachedPartsPage page) { onContent(followed, std::move(page)); });
    return;
  }
  // After silence an answer at once tells an engine that lives behind a silent connection: requests keep away
  // from it for some milliseconds then, and not for the pause and another wait (0.7 s).
  const Duration wait = followed->silent ? Duration(0) : kEventsWait;
  platform_.readCacheEvents(followed->address, followed->position, wait,
                            [this, followed](CachedPartsPage page) { onEvents(followed, std::move(page)); });
}

void CacheWatch::askLater(const FollowedPointer& followed, Duration delay) {
  followed->timer.expires_after(delay);
  followed->timer.async_wait([this, followed](boost::system::error_code error) {
    if (!error) ask(followed);
  });
}

void CacheWatch::onEvents(const FollowedPointer& followed, CachedPartsPage page) {
  if (followed->dropped) return;
  started(*followed);
  startNext();
  if (!page.responded) return onNoAnswer(followed, page.rejected);
  onAnswer(*followed);
  const bool restarted = followed->known && followed->epoch != page.epoch;
  const bool first = !std::exchange(followed->known, true);
  followed->epoch = page.epoch;
  if (restarted) {
    // Another life of the cache: it began empty, and its events are told from the first.
    followed->position = 0;
    tell(*followed, {}, true);
    return askLater(followed, kPause);
  }
  followed->position = page.position;
  if (page.gap) {
    followed->want_content = true;
    return ask(followed);
  }
  std::vector<CachedPart> parts = newestOfEach(std::move(page.parts));
  // All events from the first on are thousands, most of them of parts that have gone since.
  if (first) std::erase_if(parts, [](const CachedPart& part) { return part.tokens == 0; });
  if (!parts.empty()) tell(*followed, std::move(parts), first);
  askLater(followed, kPause);
}

void CacheWatch::onContent(const FollowedPointer& followed, CachedPartsPage page) {
  if (followed->dropped) return;
  if (!page.responded) return onNoAnswer(followed, page.rejected);
  onAnswer(*followed);
  followed->want_content = false;
  followed->epoch = page.epoch;
  followed->position = page.position;
  tell(*followed, std::move(page.parts), true);
  askLater(followed, kPause);
}

void CacheWatch::onAnswer(Followed& followed) {
  followed.heard_at = clock_.now();
  if (std::exchange(followed.silent, false)) callbacks_.on_heard(followed.slot, followed.incarnation);
}

bool CacheWatch::othersAnswer(const Followed& followed) const {
  return std::any_of(followed_.begin(), followed_.end(),
                     [&followed](const auto& item) { return item.second->heard_at > followed.asked_at; });
}

/// One that turns calls away answers, if only with that.
void CacheWatch::onNoAnswer(const FollowedPointer& followed, bool rejected) {
  if (rejected) {
    onAnswer(*followed);
    return askLater(followed, kPauseAfterRefusal);
  }
  const bool again = std::exchange(followed->silent, true);
  callbacks_.on_silent({followed->slot, followed->incarnation, followed->asked_at, othersAnswer(*followed)});
  askLater(followed, again ? kPauseAfterSilence : Duration(0));
}

void CacheWatch::tell(const Followed& followed, std::vector<CachedPart> parts, bool complete) {
  CachedPartsNews news;
  news.slot = followed.slot;
  news.incarnation = followed.incarnation;
  news.complete = complete;
  news.parts = std::move(parts);
  callbacks_.on_news(std::move(news));
}

}  // namespace crankspur::gateway
