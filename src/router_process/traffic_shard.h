#pragma once
/// @file One traffic thread: runs a RequestRouter on real connections, a clock and timers.

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "app_runner/app_runner_client.h"
#include "engine/engine_client.h"
#include "http/client.h"
#include "router/engine_table.h"
#include "router_process/event_loop_thread.h"
#include "router_process/router_metrics.h"
#include "table_service/table_client.h"
#include "table_service/table_rate_share.h"

namespace crankspur {

/// Cache events or a digest of one engine, sent to all shards.
struct EngineCacheUpdate {
  EngineSlot slot = 0;
  std::uint64_t incarnation = 0;
  std::vector<CacheEvent> events;
  bool is_digest = false;
  std::uint64_t digest_sequence = 0;
  std::vector<BlockHash> digest_blocks;
};

/// Notifications from a shard. Called on the shard's thread.
struct TrafficShardCallbacks {
  std::function<void(std::vector<SendToSidecar>)> on_messages;
  std::function<void(const EngineOutcome&)> on_outcome;
  /// A gap was detected in the event stream of an engine.
  std::function<void(EngineSlot, std::uint64_t incarnation)> on_cache_gap;
  std::function<void(const GroupClaimRequest&)> on_group_claim;
  std::function<void(const GroupClaimNotice&)> on_group_notice;
  std::function<void()> on_group_found;  ///< A claim write detected the claim group's row.
};

/// Options of a shard.
struct TrafficShardOptions {
  std::string router_name;
  std::uint64_t random_seed = 1;
  std::size_t index_entries = 500'000;
  std::string table_address;      ///< Empty: no table service; claims fail.
  RateLimit fleet_table_rate;     ///< Rate that the table service allows to all routers together.
  std::uint32_t shard_count = 1;  ///< Shards of this router, which divide the router's share of the rate.
};

/// One shard and its thread. Functions named post* may be called from any thread.
class TrafficShard {
public:
  TrafficShard(TrafficShardOptions options, TrafficShardCallbacks callbacks, EventLog& log,
               RouterMetrics& metrics);
  ~TrafficShard();

  void start() { thread_.start(); }
  /// Ends the thread; requests in flight are dropped.
  void stop() { thread_.stop(); }
  void postSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot);
  void postSubmit(SidecarId sidecar, SubmitRequest request);
  void postCancel(SidecarId sidecar, const Cancel& cancel);
  void postSidecarLost(SidecarId sidecar);
  void postCacheUpdate(std::shared_ptr<const EngineCacheUpdate> update);
  void postGroupClaim(std::uint64_t claim, const GroupClaimDecision& decision);
  void postDrain();
  /// @param done runs on the shard's thread.
  void postExplain(const std::string& request_id, std::function<void(std::optional<DecisionRecord>)> done);
  /// @return the number of requests in flight: from the call of postSubmit() until the last message of the
  /// request was delivered to on_messages.
  std::size_t inFlight() const { return in_flight_.load(); }

private:
  void updateTableLimit(const RoutingSnapshot& snapshot);
  /// A dispatch that has not ended.
  struct ActiveDispatch {
    std::shared_ptr<EngineStream> stream;
    std::shared_ptr<RunnerCall> call;
    std::string address;
    std::string request_id;
    std::uint32_t attempt = 0;
    EngineSlot slot = 0;
    std::uint64_t incarnation = 0;
    bool is_engine = false;
    bool responded = false;
    TimePoint started_at{};
    Duration expected_first_token{0};
  };

  TimePoint now() const { return clock_.now(); }
  void executeActions();
  void updateInFlight();
  void execute(RouterAction action);
  void dispatchCompletion(const DispatchCompletion& dispatch);
  void dispatchOperation(const DispatchOperation& dispatch);
  void cancelDispatch(DispatchId dispatch);
  void onBackend(DispatchId dispatch, const BackendEvent& event);
  void reportOutcome(ActiveDispatch& active, const BackendEvent& event);
  void reportSent(const std::string& request_id);
  void reportAllSent();
  void removeUnreported(const std::string& request_id, DispatchId dispatch);
  void callTable(const ClaimTableCall& call);
  void onClaimRead(std::uint64_t claim, const ReadResult& result);
  void onClaimWritten(std::uint64_t claim, const TransactionResult& result);
  void armTimer();

  TrafficShardOptions options_;
  TableRateShare table_share_;
  TrafficShardCallbacks callbacks_;
  EventLog& log_;
  RouterMetrics& metrics_;
  SteadyClock clock_;
  EventLoopThread thread_;
  std::unique_ptr<http::Client> http_;
  std::unique_ptr<EngineClient> engines_;
  std::unique_ptr<AppRunnerClient> runners_;
  std::unique_ptr<TableClient> table_;
  std::unique_ptr<RequestRouter> router_;
  boost::asio::steady_timer timer_;
  TimePoint timer_at_ = TimePoint::max();
  std::map<DispatchId, ActiveDispatch> active_dispatches_;
  /// Dispatches not yet reported as sent, by request id.
  std::multimap<std::string, DispatchId> unreported_dispatches_;
  std::vector<SendToSidecar> messages_;
  /// Posted and running requests in a single counter, so that a reader never misses a request that moves from
  /// one state to the other.
  std::atomic<std::size_t> in_flight_ = 0;
  std::size_t counted_in_flight_ = 0;  ///< Requests of the router that in_flight_ already includes.
};

}  // namespace crankspur
