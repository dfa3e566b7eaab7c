#pragma once
/// @file Follows what the caches of back ends hold. Lives on the control thread.

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway_control/platform_link.h"

namespace crankspur::gateway {

/// The watch.
class CacheWatch {
public:
  /// @param on_silent hears of a cache that does not answer.
  CacheWatch(const boost::asio::any_io_executor& executor, PlatformLink& platform,
             std::function<void(CachedPartsNews)> on_news,
             std::function<void(EngineSlot, std::uint64_t incarnation)> on_silent);
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
    boost::asio::steady_timer timer;
  };
  using FollowedPointer = std::shared_ptr<Followed>;

  void follow(const Backend& backend);
  void ask(const FollowedPointer& followed);
  void askLater(const FollowedPointer& followed, Duration delay);
  void onEvents(const FollowedPointer& followed, CachedPartsPage page);
  void onContent(const FollowedPointer& followed, CachedPartsPage page);
  void tell(const Followed& followed, std::vector<CachedPart> parts, bool complete);
  void onNoAnswer(const FollowedPointer& followed, bool turned_away);

  boost::asio::any_io_executor executor_;
  PlatformLink& platform_;
  std::function<void(CachedPartsNews)> on_news_;
  std::function<void(EngineSlot, std::uint64_t)> on_silent_;
  std::map<std::string, FollowedPointer> followed_;  ///< By back end id.
};

}  // namespace crankspur::gateway
