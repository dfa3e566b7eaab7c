#pragma once
/// @file Records of what callers and engines observed during a run, and of the faults. Checkers depend on
/// these records; times are true time.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace crankspur::gateway_sim {

/// Identifies a request body; attempts with one body are the same request.
using BodyId = std::uint32_t;

/// How a request may be repeated.
enum class RequestKind { plain, resumable_stream, at_most_once };

/// One request that a gateway wrote to the connection of an engine.
struct EngineRun {
  std::uint64_t attempt = 0;  ///< Index of the caller's attempt.
  BodyId body = 0;
  std::uint32_t engine = 0;
  std::uint64_t engine_start = 0;  ///< Number of the engine's process start.
  std::uint32_t build = 0;         ///< Of the engine's process.
  std::uint64_t resume_after = 0;  ///< Last event of the stream that was forwarded before; 0: none.
  std::uint32_t gateway = 0;
  TimePoint sent_at{};       ///< When the gateway decided to send it.
  TimePoint admitted_at{};   ///< When the gateway received the caller's request.
  TimePoint confirmed_at{};  ///< When the store had last confirmed the gateway's state at that time.
  TimePoint arrived_at{};
  std::optional<TimePoint> started_at;  ///< When the engine started to run it.
  std::optional<TimePoint> ended_at;    ///< When the engine finished or dropped it, or crashed.
  bool complete = false;                ///< It ran to completion.
  bool rejected = false;                ///< The engine rejected it and asked for a pause.
};

/// One crash of an engine.
struct EngineCrash {
  std::uint32_t engine = 0;
  TimePoint at{};
  bool silent = false;                        ///< The connections were not closed, as at a power loss.
  std::optional<BodyId> cause;                ///< The poison request that crashed it.
  bool by_rejections = false;                 ///< It rejected too many requests.
  std::vector<std::size_t> interrupted_runs;  ///< Indexes of the runs that the engine held.
};

/// The planned departure of one engine process.
struct EngineDeparture {
  std::uint32_t engine = 0;
  std::uint64_t engine_start = 0;  ///< Number of the engine's process start.
  TimePoint listed_at{};           ///< When the store took it.
};

/// A gateway received the response of an engine process that rejected its request and wants no others from it
/// for some time.
struct EnginePause {
  std::uint32_t engine = 0;
  std::uint64_t engine_start = 0;  ///< Number of the engine's process start.
  std::uint32_t gateway = 0;
  TimePoint at{};  ///< When the engine sent the response.
  Duration asked{0};
};

/// A gateway received a response in which an engine process states that it leaves.
struct StatedDeparture {
  std::uint32_t engine = 0;
  std::uint64_t engine_start = 0;  ///< Number of the engine's process start.
  std::uint32_t gateway = 0;
  TimePoint received_at{};
};

/// A period in which all engines are brittle and say so in their responses. Some time after its beginning
/// fewer requests may wait at each engine, and one that rejects more than it tolerates in a second falls
/// over.
struct BrittlePeriod {
  TimePoint from{};
  TimePoint to{};
  std::uint32_t tolerated_rejections = 0;
};

/// An engine fell over because it rejected too many requests.
struct EngineFall {
  std::uint32_t engine = 0;
  TimePoint at{};
  std::vector<std::uint32_t> rejected;  ///< Gateways of the requests that it rejected in the last second.
};

/// How an attempt ended for its caller.
enum class AttemptOutcome {
  pending,       ///< Not ended yet.
  completed,     ///< Complete response with success.
  quarantined,   ///< Refused because engines had crashed while they held the request.
  refused,       ///< Refused as not run, for any other reason.
  failed,        ///< The gateway responded that the request may have run.
  aborted,       ///< The response broke off, or the connection to the gateway did.
  disconnected,  ///< The caller disconnected.
  unreachable,   ///< The gateway did not accept the connection.
  timed_out,     ///< No response by the deadline and some time after it.
};

/// One attempt of a caller.
struct Attempt {
  BodyId body = 0;
  RequestKind kind = RequestKind::plain;
  std::uint32_t gateway = 0;
  TimePoint sent_at{};
  Duration deadline{0};
  AttemptOutcome outcome = AttemptOutcome::pending;
  TimePoint ended_at{};
  Duration retry_after{0};
  std::uint64_t begun_by = 0;  ///< Index of the attempt that brought the first event of its stream.
  std::uint32_t events = 0;    ///< Number of events received of a stream, in earlier attempts too.
  bool events_broken = false;  ///< An event was missing, repeated or out of order.
  bool is_retry = false;       ///< The caller sent the request before.
};

/// A period in which a fault affected a process or the network.
struct Disturbance {
  TimePoint from{};
  TimePoint to{};
};

/// A partition of a gateway from most engines. It reaches callers, the store and the other gateways.
struct EnginePartition {
  std::uint32_t gateway = 0;
  TimePoint from{};
  TimePoint to{};
};

/// The start of a process of a gateway.
struct GatewayStart {
  std::uint32_t gateway = 0;
  TimePoint at{};
};

/// All records of a run.
struct Records {
  std::vector<Attempt> attempts;
  std::vector<EngineRun> runs;
  std::vector<EngineCrash> crashes;
  std::vector<EngineDeparture> departures;
  std::vector<EnginePause> pauses;
  std::vector<StatedDeparture> stated_departures;
  std::vector<BrittlePeriod> brittle_periods;
  std::vector<EngineFall> falls;
  /// By gateway: downtimes, pauses, suspensions, partitions.
  std::vector<std::vector<Disturbance>> gateways;
  std::vector<EnginePartition> engine_partitions;
  std::vector<GatewayStart> gateway_starts;
  std::vector<TimePoint> fleet_kills;  ///< When all gateways were killed.
  /// Of the store: no responses, refusals, slow or lost responses, lost rows.
  std::vector<Disturbance> store;
  /// Resets of connections anywhere.
  std::vector<Disturbance> connections;
  /// Loss and duplication of datagrams, and delays of all messages.
  std::vector<Disturbance> messages;
  /// Periods in which engines fail requests.
  std::vector<Disturbance> failing_engines;
};

}  // namespace crankspur::gateway_sim
