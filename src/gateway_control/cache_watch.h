#pragma once
/// @file Follows the contents of the back ends' caches. Runs on the control thread.

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

/// A cache that did not respond.
struct UnresponsiveCache {
  EngineSlot slot = 0;
  std::uint64_t incarnation = 0;
  TimePoint since{};              ///< When the call without response was sent.
  bool others_responded = false;  ///< Another cache has responded since: the fault is not this gateway's own.
};

/// Callbacks of CacheWatch.
struct CacheWatchCallbacks {
  std::function<void(CachedPartsUpdate)> on_update;
  std::function<void(const UnresponsiveCache&)> on_unresponsive;
  /// A cache that was reported as unresponsive responds again.
  std::function<void(EngineSlot, std::uint64_t incarnation)> on_responsive;
  /// A cache responded.
  std::function<void(EngineSlot, std::uint64_t incarnation)> on_response;
};

/// See the file comment.
class CacheWatch {
public:
  CacheWatch(const boost::asio::any_io_executor& executor, PlatformLink& platform,
             CacheWatchCallbacks callbacks);
  /// Starts to follow new caches and stops following removed ones.
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
    bool known = false;  ///< Whether `epoch` and `position` are valid.
    std::uint64_t epoch = 0;
    std::uint64_t position = 0;
    bool content_wanted = false;
    bool dropped = false;
    bool first_call_running = false;  ///< Counted in first_calls_running_.
    bool unresponsive = false;        ///< The last call got no response.
    TimePoint requested_at{};         ///< When the last call was sent.
    TimePoint responded_at{};         ///< When the last response arrived.
    boost::asio::steady_timer timer;
  };
  using FollowedPointer = std::shared_ptr<Followed>;

  void follow(const Backend& backend);
  void startFirstCalls();
  void endFirstCall(Followed& followed);
  void sendRequest(const FollowedPointer& followed);
  void scheduleRequest(const FollowedPointer& followed, Duration delay);
  void onEvents(const FollowedPointer& followed, CachedPartsPage page);
  void onContent(const FollowedPointer& followed, CachedPartsPage page);
  void notify(const Followed& followed, std::vector<CachedPart> parts, bool complete);
  void onResponse(Followed& followed);
  void onNoResponse(const FollowedPointer& followed, bool rejected);
  bool othersResponded(const Followed& followed) const;

  boost::asio::any_io_executor executor_;
  PlatformLink& platform_;
  CacheWatchCallbacks callbacks_;
  SteadyClock clock_;
  std::map<std::string, FollowedPointer> followed_;  ///< By back end id.
  std::deque<FollowedPointer> awaiting_first_call_;  ///< Not called so far.
  std::size_t first_calls_running_ = 0;              ///< First calls that take up one of the slots.
};

}  // namespace crankspur::gateway
