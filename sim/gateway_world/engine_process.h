#pragma once
/// @file A simulated engine with slots, a queue, prefill times and streams. It crashes, and restarts under
/// the same id with a new start time.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sim/gateway_world/fleet_context.h"
#include "sim/gateway_world/store_node.h"

namespace crankspur::gateway_sim {

/// A request from a gateway.
struct EngineRequest {
  std::uint64_t attempt = 0;
  BodyId body = 0;
  RequestKind kind = RequestKind::plain;
  std::string expected_engine;  ///< Id and start time; any other process of the engine refuses it.
  std::uint64_t resume_after = 0;
  std::uint32_t gateway = 0;
  TimePoint sent_at{};
  TimePoint admitted_at{};
  TimePoint confirmed_at{};
};

/// How an engine fails a request.
enum class EngineFailure {
  error,          ///< With an error status.
  rejected,       ///< As not run.
  misdirected,    ///< As meant for another process.
  endless_event,  ///< With an event that has no end; with an error status where the response has no events.
  last = endless_event,
};

/// Status of EngineFailure::error.
inline constexpr int kInternalError = 500;

/// The head of an engine's response.
struct EngineHead {
  int status = 200;
  bool not_run = false;
  bool wrong_engine = false;
  bool event_stream = false;
  Duration pause{0};     ///< The engine wants no other requests of the gateway for this time; 0: it does.
  bool leaving = false;  ///< The engine states that it leaves.
  std::optional<std::uint32_t> tolerated_rejections;  ///< The engine states that it is brittle.
  std::uint32_t engine = 0;
  std::uint64_t engine_start = 0;  ///< Number of the process start.
  TimePoint sent_at{};
};

/// Handlers of an engine's response, which run at the gateway.
struct EngineResponseHandlers {
  std::function<void(const EngineHead&)> on_head;
  std::function<void(const std::string&)> on_bytes;
  std::function<void()> on_end;
};

/// The process of one engine.
class EngineProcess {
public:
  EngineProcess(FleetContext& context, StoreNode& store, std::uint32_t number);

  void start();
  /// Crashes the process and restarts it after a random delay.
  /// @param silent the connections are not closed, as at a power loss.
  /// @param by_rejections the process falls over because it rejected too many requests.
  void crash(bool silent, std::optional<BodyId> cause = std::nullopt, bool by_rejections = false);

  /// Leaves as planned: the process serves on for some seconds after it has written its departure, completes
  /// its requests and ends. A new one starts.
  /// @param announced its row says that it leaves; otherwise the row is removed.
  void leave(bool announced);
  bool isLeaving() const { return leaving_; }
  /// The process rejects a share of its requests for some time, and asks with each rejection for a pause.
  void rejectRequests(double share, Duration time, Duration pause);
  bool rejectsRequests() const;
  /// The process fails a share of its requests for some time.
  void failRequests(EngineFailure failure, double share, Duration time);

  sim::Host& host() { return host_; }
  std::uint32_t number() const { return number_; }
  /// @return "IP:port".
  const std::string& address() const { return address_; }
  /// @return id and start time, by which gateways identify this process.
  std::string incarnationName() const;
  std::uint64_t startMilliseconds() const { return started_ms_; }
  std::uint32_t freeSlots() const;

  /// A gateway has written a request to a connection. If the engine crashes before the request arrives, it is
  /// unknown to the gateway whether the request ran.
  /// @return index of its EngineRun, to be passed to onRequest().
  std::size_t onRequestWritten(const EngineRequest& request);
  /// A request arrived on a connection.
  /// @param record index of its EngineRun.
  void onRequest(std::size_t record, const sim::ChannelPointer& channel, const EngineRequest& request,
                 const EngineResponseHandlers& response);
  /// A health probe arrived on a connection.
  void onProbe(const sim::ChannelPointer& channel, const sim::Task& response);
  /// A call for cache events arrived on a connection. It is held for a while, since there are none.
  void onCacheCall(const sim::ChannelPointer& channel, const sim::Task& response);

private:
  struct Run {
    std::size_t record = 0;  ///< Index of the EngineRun.
    EngineRequest request;
    EngineResponseHandlers response;
    sim::ChannelPointer channel;
    bool running = false;
    bool endless = false;  ///< Its first event has no end.
    std::uint64_t next_event = 1;
    std::uint64_t events = 0;
  };
  using RunPointer = std::shared_ptr<Run>;

  void heartbeat();
  void endWhenIdle();
  void startNext();
  void startRun(const RunPointer& run);
  void sendHead(const RunPointer& run);
  void sendEvents(const RunPointer& run);
  void sendEndlessEvent(const RunPointer& run);
  /// @return whether the request failed.
  bool failsRequest(std::size_t record, const sim::ChannelPointer& channel, const EngineRequest& request,
                    const EngineResponseHandlers& response);
  void finish(const RunPointer& run, bool complete);
  void onDisconnected(const RunPointer& run);
  void send(const Run& run, sim::Task deliver);
  bool crashesAt(const Run& run, PoisonEffect point) const;
  EngineHead makeHead(int status) const;
  const BrittlePeriod* brittlePeriod() const;
  std::size_t capacity() const;
  bool fallsOver(std::uint32_t gateway);
  void reject(std::size_t record, const sim::ChannelPointer& channel, EngineHead head,
              const EngineResponseHandlers& response);

  FleetContext& context_;
  StoreNode& store_;
  std::uint32_t number_;
  sim::Host host_;
  std::string address_;
  std::uint64_t started_ms_ = 0;
  bool leaving_ = false;
  bool announces_departure_ = false;
  double rejected_share_ = 0;
  TimePoint rejects_until_{};
  Duration asked_pause_{0};
  EngineFailure failure_ = EngineFailure::error;
  double failed_share_ = 0;
  TimePoint fails_until_{};
  std::set<std::size_t> in_transit_;  ///< EngineRuns of requests that were written and have not arrived.
  std::map<std::size_t, RunPointer> runs_;  ///< Running or queued, by EngineRun.
  std::deque<RunPointer> queue_;
  std::uint32_t running_ = 0;
  /// Times and gateways of the requests that it rejected for want of room in the last second.
  std::deque<std::pair<TimePoint, std::uint32_t>> rejections_;
};

/// @return the build of the software of an engine's process: the newest that was released when it started, or
/// any, and the same each time it is asked for.
std::uint32_t buildOf(const FleetSite& site, std::uint32_t engine, std::uint64_t started_ms);
/// @return number of events in the streamed response to a body, the same for every attempt.
std::uint64_t eventCount(BodyId body);

}  // namespace crankspur::gateway_sim
