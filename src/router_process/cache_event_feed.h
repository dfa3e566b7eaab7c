#pragma once
/// @file Follows the cache event streams of engines and hands their news to the traffic shards. Lives on the
/// control thread.

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/random.h"
#include "engine/engine_client.h"
#include "http/client.h"
#include "router_process/router_metrics.h"
#include "router_process/traffic_shard.h"

namespace crankspur {

/// One follower for each engine: a digest first, then a long poll for events; a digest again after a gap.
class CacheEventFeed {
public:
  using NewsHandler = std::function<void(std::shared_ptr<const CacheNews>)>;
  CacheEventFeed(const boost::asio::any_io_executor& executor, NewsHandler on_news, RouterMetrics& metrics,
                 std::uint64_t random_seed);
  ~CacheEventFeed();
  /// Follows exactly these engines from now on.
  void follow(const std::vector<EngineView>& engines);
  /// A shard found a gap: a digest is fetched, at a bounded rate.
  void onGap(EngineSlot slot, std::uint64_t incarnation);

private:
  struct Follower;
  void fetchDigest(const std::shared_ptr<Follower>& follower);
  void poll(const std::shared_ptr<Follower>& follower);
  void onEvents(const std::shared_ptr<Follower>& follower, const CacheEventsResponse& answer);
  void later(const std::shared_ptr<Follower>& follower, Duration delay,
             void (CacheEventFeed::*next)(const std::shared_ptr<Follower>&));
  bool current(const std::shared_ptr<Follower>& follower) const;

  boost::asio::any_io_executor executor_;
  NewsHandler on_news_;
  RouterMetrics& metrics_;
  RandomSource random_;
  SteadyClock clock_;
  std::unique_ptr<http::Client> http_;
  std::unique_ptr<EngineClient> engines_;
  std::map<std::string, std::shared_ptr<Follower>> followers_;
};

}  // namespace crankspur
