#include "gateway_control/cache_watch.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace crankspur::gateway {

namespace {

/// Delay between two calls to one cache, during which updates are batched.
constexpr Duration kPollDelay = std::chrono::milliseconds(30);
constexpr Duration kRejectedDelay = std::chrono::seconds(1);
/// A call for events is held at most this long while there are none, so that an engine that stops responding
/// is noticed soon.
constexpr Duration kEventsWait = std::chrono::milliseconds(400);
/// A cache that failed to respond twice is called again soon, since its engine gets no requests meanwhile.
constexpr Duration kUnresponsiveDelay = std::chrono::milliseconds(300);
/// Concurrent first calls. Their responses list complete caches, about 200 KB each, and a gateway of a large
/// fleet that knows few other gateways so far would otherwise read all caches at its start.
constexpr std::size_t kMaxFirstCalls = 4;
/// A first call that gets no events, or uses a slow link, delays the next one by at most this time.
constexpr Duration kMaxFirstCallDelay = std::chrono::milliseconds(200);

/// @return the last event of each part.
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
    endFirstCall(*item.second);
    return true;
  });
  startFirstCalls();
}

void CacheWatch::follow(const Backend& backend) {
  if (followed_.contains(backend.view.name)) return;
  const auto followed = std::make_shared<Followed>(executor_);
  followed->address = backend.view.address;
  followed->slot = backend.view.slot;
  followed->incarnation = backend.view.incarnation;
  followed_[backend.view.name] = followed;
  awaiting_first_call_.push_back(followed);
}

void CacheWatch::startFirstCalls() {
  while (first_calls_running_ < kMaxFirstCalls && !awaiting_first_call_.empty()) {
    const FollowedPointer followed = awaiting_first_call_.front();
    awaiting_first_call_.pop_front();
    if (followed->dropped) continue;
    followed->first_call_running = true;
    ++first_calls_running_;
    followed->timer.expires_after(kMaxFirstCallDelay);
    followed->timer.async_wait([this, followed](boost::system::error_code error) {
      if (error) return;
      endFirstCall(*followed);
      startFirstCalls();
    });
    sendRequest(followed);
  }
}

/// Frees the slot that a first call takes up, if this cache has one.
void CacheWatch::endFirstCall(Followed& followed) {
  if (std::exchange(followed.first_call_running, false)) --first_calls_running_;
}

void CacheWatch::sendRequest(const FollowedPointer& followed) {
  if (followed->dropped) return;
  followed->requested_at = clock_.now();
  if (followed->content_wanted) {
    platform_.readCacheContent(
        followed->address, [this, followed](CachedPartsPage page) { onContent(followed, std::move(page)); });
    return;
  }
  // After a call without response the next one does not wait for events. If the engine is live behind a
  // silent connection, requests then avoid it for some milliseconds only, and not for
  // kUnresponsiveDelay and another wait (0.7 s).
  const Duration wait = followed->unresponsive ? Duration(0) : kEventsWait;
  platform_.readCacheEvents(followed->address, followed->position, wait,
                            [this, followed](CachedPartsPage page) { onEvents(followed, std::move(page)); });
}

void CacheWatch::scheduleRequest(const FollowedPointer& followed, Duration delay) {
  followed->timer.expires_after(delay);
  followed->timer.async_wait([this, followed](boost::system::error_code error) {
    if (!error) sendRequest(followed);
  });
}

void CacheWatch::onEvents(const FollowedPointer& followed, CachedPartsPage page) {
  if (followed->dropped) return;
  endFirstCall(*followed);
  startFirstCalls();
  if (!page.responded) return onNoResponse(followed, page.rejected);
  onResponse(*followed);
  const bool restarted = followed->known && followed->epoch != page.epoch;
  const bool first = !std::exchange(followed->known, true);
  followed->epoch = page.epoch;
  if (restarted) {
    // The cache was restarted: it began empty, and its events are read from the first one on.
    followed->position = 0;
    notify(*followed, {}, true);
    return scheduleRequest(followed, kPollDelay);
  }
  followed->position = page.position;
  if (page.gap) {
    followed->content_wanted = true;
    return sendRequest(followed);
  }
  std::vector<CachedPart> parts = newestOfEach(std::move(page.parts));
  // The complete history has thousands of events, most of them for parts that have been removed since.
  if (first) std::erase_if(parts, [](const CachedPart& part) { return part.tokens == 0; });
  if (!parts.empty()) notify(*followed, std::move(parts), first);
  scheduleRequest(followed, kPollDelay);
}

void CacheWatch::onContent(const FollowedPointer& followed, CachedPartsPage page) {
  if (followed->dropped) return;
  if (!page.responded) return onNoResponse(followed, page.rejected);
  onResponse(*followed);
  followed->content_wanted = false;
  followed->epoch = page.epoch;
  followed->position = page.position;
  notify(*followed, std::move(page.parts), true);
  scheduleRequest(followed, kPollDelay);
}

void CacheWatch::onResponse(Followed& followed) {
  followed.responded_at = clock_.now();
  callbacks_.on_response(followed.slot, followed.incarnation);
  if (std::exchange(followed.unresponsive, false))
    callbacks_.on_responsive(followed.slot, followed.incarnation);
}

bool CacheWatch::othersResponded(const Followed& followed) const {
  return std::any_of(followed_.begin(), followed_.end(), [&followed](const auto& item) {
    return item.second->responded_at > followed.requested_at;
  });
}

/// A cache that rejects a call has responded.
void CacheWatch::onNoResponse(const FollowedPointer& followed, bool rejected) {
  if (rejected) {
    onResponse(*followed);
    return scheduleRequest(followed, kRejectedDelay);
  }
  const bool again = std::exchange(followed->unresponsive, true);
  callbacks_.on_unresponsive(
      {followed->slot, followed->incarnation, followed->requested_at, othersResponded(*followed)});
  scheduleRequest(followed, again ? kUnresponsiveDelay : Duration(0));
}

void CacheWatch::notify(const Followed& followed, std::vector<CachedPart> parts, bool complete) {
  CachedPartsUpdate parts_update;
  parts_update.slot = followed.slot;
  parts_update.incarnation = followed.incarnation;
  parts_update.complete = complete;
  parts_update.parts = std::move(parts);
  callbacks_.on_update(std::move(parts_update));
}

}  // namespace crankspur::gateway
