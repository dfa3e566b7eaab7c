#pragma once
/// @file Follows the cache event streams of engines and forwards the updates to the traffic shards. Runs on
/// the control thread.

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

/// Runs one follower per engine: it fetches a digest, then long-polls for events, and fetches a digest again
/// after a gap.
class CacheEventFeed {
public:
  using UpdateHandler = std::function<void(std::shared_ptr<const EngineCacheUpdate>)>;
  CacheEventFeed(const boost::asio::any_io_executor& executor, UpdateHandler on_update,
                 RouterMetrics& metrics, std::uint64_t random_seed);
  ~CacheEventFeed();
  /// Replaces the set of followed engines.
  void follow(const std::vector<EngineView>& engines);
  /// A shard detected a gap in the event stream: schedules a digest, at a bounded rate.
  void onGap(EngineSlot slot, std::uint64_t incarnation);

private:
  struct Follower;
  void fetchDigest(const std::shared_ptr<Follower>& follower);
  void poll(const std::shared_ptr<Follower>& follower);
  void onEvents(const std::shared_ptr<Follower>& follower, const CacheEventsResponse& answer);
  void schedule(const std::shared_ptr<Follower>& follower, Duration delay,
                void (CacheEventFeed::*next)(const std::shared_ptr<Follower>&));
  bool isCurrent(const std::shared_ptr<Follower>& follower) const;

  boost::asio::any_io_executor executor_;
  UpdateHandler on_update_;
  RouterMetrics& metrics_;
  RandomSource random_;
  SteadyClock clock_;
  std::unique_ptr<http::Client> http_;
  std::unique_ptr<EngineClient> engines_;
  std::map<std::string, std::shared_ptr<Follower>> followers_;
};

}  // namespace crankspur
