#pragma once
/// @file Follows what the caches of back ends hold. Lives on the control thread.

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway_control/platform_link.h"

namespace crankspur::gateway {

/// A cache that did not answer.
struct CacheSilence {
  EngineSlot slot = 0;
  std::uint64_t incarnation = 0;
  TimePoint since{};           ///< When the call that it did not answer was sent.
  bool others_answer = false;  ///< Another cache has answered since: the fault is not this gateway's own.
};

/// What the watch tells.
struct CacheWatchCallbacks {
  std::function<void(CachedPartsNews)> on_news;
  std::function<void(const CacheSilence&)> on_silent;
  /// A cache that was told to be silent answers again.
  std::function<void(EngineSlot, std::uint64_t incarnation)> on_heard;
};

/// The watch.
class CacheWatch {
public:
  CacheWatch(const boost::asio::any_io_executor& executor, PlatformLink& platform,
             CacheWatchCallbacks callbacks);
  /// Begins to follow caches that are new and drops those that are gone.
  /// @param follows whether this gateway follows the back end's cache itself.
  void update(const Configuration& configuration, const std::vector<Backend>& backends,
              const std::function<bool(const Backend&)>& follows);

private:
  /// One cache that is followed.
  struct Followed {
    explicit Followed(const boost::asio::any_io_executor& executor) : timer(executor) {}
    std::string address;
    EngineSlot slot = 0;
    std::uint64_t incarnation = 0;
    bool known = false;  ///< An epoch and a position are held.
    std::uint64_t epoch = 0;
    std::uint64_t position = 0;
    bool want_content = false;
    bool dropped = false;
    bool starting = false;  ///< Its first call is under way and counts among those.
    bool silent = false;    ///< The last call was not answered.
    TimePoint asked_at{};   ///< When the last call was sent.
    TimePoint heard_at{};   ///< When the last answer came.
    boost::asio::steady_timer timer;
  };
  using FollowedPointer = std::shared_ptr<Followed>;

  void follow(const Backend& backend);
  void startNext();
  void started(Followed& followed);
  void ask(const FollowedPointer& followed);
  void askLater(const FollowedPointer& followed, Duration delay);
  void onEvents(const FollowedPointer& followed, CachedPartsPage page);
  void onContent(const FollowedPointer& followed, CachedPartsPage page);
  void tell(const Followed& followed, std::vector<CachedPart> parts, bool complete);
  void onAnswer(Followed& followed);
  void onNoAnswer(const FollowedPointer& followed, bool rejected);
  bool othersAnswer(const Followed& followed) const;

  boost::asio::any_io_executor executor_;
  PlatformLink& platform_;
  CacheWatchCallbacks callbacks_;
  SteadyClock clock_;
  std::map<std::string, FollowedPointer> followed_;  ///< By back end id.
  std::deque<FollowedPointer> to_start_;             ///< Not asked yet.
  std::size_t starting_ = 0;                         ///< First calls under way.
};

}  // namespace crankspur::gateway
