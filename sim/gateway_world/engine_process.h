#pragma once
/// @file A model engine: places, a queue, prompts that take time to read, streams; it crashes and starts
/// again under its id with a new birth.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "sim/gateway_world/fleet_context.h"
#include "sim/gateway_world/store_node.h"

namespace crankspur::gateway_sim {

/// A request as a gateway sends it.
struct EngineRequest {
  std::uint64_t attempt = 0;
  BodyId body = 0;
  RequestKind kind = RequestKind::plain;
  std::string expected_engine;  ///< Id with birth; another start refuses it.
  std::uint64_t resume_after = 0;
  std::uint32_t gateway = 0;
  TimePoint sent_at{};
  TimePoint admitted_at{};
  TimePoint vouched_at{};
};

/// The head of an engine's answer.
struct EngineHead {
  int status = 200;
  bool not_run = false;
  bool wrong_engine = false;
};

/// Hears of an answer, at the gateway.
struct EngineAnswerHandlers {
  std::function<void(const EngineHead&)> on_head;
  std::function<void(const std::string&)> on_bytes;
  std::function<void()> on_end;
};

/// The process of one engine.
class EngineProcess {
public:
  EngineProcess(FleetContext& context, StoreNode& store, std::uint32_t number);

  void start();
  /// Ends it, and starts it again after a while.
  /// @param silent its connections are not closed.
  void crash(bool silent, std::optional<BodyId> cause = std::nullopt);

  sim::Host& host() { return host_; }
  std::uint32_t number() const { return number_; }
  /// @return "IP:port".
  const std::string& address() const { return address_; }
  /// @return id and birth, as gateways name this start of it.
  std::string incarnationName() const;
  std::uint64_t bornMilliseconds() const { return born_ms_; }
  std::uint32_t freePlaces() const;

  /// A gateway has written a request to a connection. Until it arrives a crash leaves open whether it ran.
  /// @return the number by which it arrives.
  std::size_t onWritten(const EngineRequest& request);
  /// A request arrived on a connection.
  /// @param record the number of it.
  void onRequest(std::size_t record, const sim::ChannelPointer& channel, const EngineRequest& request,
                 const EngineAnswerHandlers& answer);
  /// A question for its health arrived on a connection.
  void onProbe(const sim::ChannelPointer& channel, const sim::Task& answer);

private:
  struct Run {
    std::size_t record = 0;  ///< Index of the EngineRun.
    EngineRequest request;
    EngineAnswerHandlers answer;
    sim::ChannelPointer channel;
    bool running = false;
    std::uint64_t next_event = 1;
    std::uint64_t events = 0;
  };
  using RunPointer = std::shared_ptr<Run>;

  void heartbeat();
  void startNext();
  void begin(const RunPointer& run);
  void sendHead(const RunPointer& run);
  void sendEvents(const RunPointer& run);
  void finish(const RunPointer& run, bool whole);
  void drop(const RunPointer& run);
  void send(const Run& run, sim::Task deliver);
  bool crashesAt(const Run& run, PoisonEffect point) const;

  FleetContext& context_;
  StoreNode& store_;
  std::uint32_t number_;
  sim::Host host_;
  std::string address_;
  std::uint64_t born_ms_ = 0;
  std::set<std::size_t> on_the_way_;        ///< Records of requests that were written and have not arrived.
  std::map<std::size_t, RunPointer> runs_;  ///< Running or queued, by record.
  std::deque<RunPointer> queue_;
  std::uint32_t running_ = 0;
};

/// @return events of the answer to a stream's body: the same for each attempt.
std::uint64_t eventsOf(BodyId body);

}  // namespace crankspur::gateway_sim
