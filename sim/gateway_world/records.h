#pragma once
/// @file What callers and engines saw during a run. Checkers judge by these records alone; instants are true
/// time.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace crankspur::gateway_sim {

/// Names a request body: attempts of one body are the same request.
using BodyId = std::uint32_t;

/// How a request may be repeated.
enum class RequestKind { plain, resumable_stream, at_most_once };

/// One request that reached an engine.
struct EngineRun {
  std::uint64_t attempt = 0;  ///< Index of the caller's attempt.
  BodyId body = 0;
  std::uint32_t engine = 0;
  std::uint64_t engine_start = 0;  ///< Counts the starts of the engine.
  std::uint32_t gateway = 0;
  TimePoint sent_at{};      ///< When the gateway decided to send it.
  TimePoint admitted_at{};  ///< When the gateway took the caller's request.
  TimePoint vouched_at{};   ///< When the store had last vouched for what the gateway knew then.
  TimePoint arrived_at{};
  std::optional<TimePoint> began_at;  ///< When the engine began to run it.
  std::optional<TimePoint> ended_at;  ///< When the engine was done with it, crashed or not.
  bool whole = false;                 ///< It ran to its end.
};

/// One crash of an engine.
struct EngineCrash {
  std::uint32_t engine = 0;
  TimePoint at{};
  bool silent = false;              ///< Its connections were not closed, as at a power loss.
  std::optional<BodyId> cause;      ///< The poison request that crashed it.
  std::vector<std::size_t> during;  ///< Indexes of the runs that it had.
};

/// How an attempt ended for its caller.
enum class AttemptEnd {
  none,         ///< It has not.
  answered,     ///< Whole, with success.
  quarantined,  ///< Refused because engines had crashed under the request.
  refused,      ///< Refused as not run, for any other reason.
  failed,       ///< The gateway answered that it may have run.
  cut,          ///< The answer broke off, or the gateway did.
  left,         ///< The caller left.
  no_gateway,   ///< No gateway took it.
  unanswered,   ///< The caller gave up well after its deadline.
};

/// One attempt of a caller.
struct Attempt {
  BodyId body = 0;
  RequestKind kind = RequestKind::plain;
  std::uint32_t gateway = 0;
  TimePoint sent_at{};
  Duration deadline{0};
  AttemptEnd end = AttemptEnd::none;
  TimePoint ended_at{};
  Duration retry_after{0};
  std::uint32_t events = 0;    ///< Of a stream, in order and without gaps.
  bool events_broken = false;  ///< One was missing, repeated or out of order.
};

/// A time in which something was done to a process or to the network around it.
struct Disturbance {
  TimePoint from{};
  TimePoint to{};
};

/// Everything that happened.
struct Records {
  std::vector<Attempt> attempts;
  std::vector<EngineRun> runs;
  std::vector<EngineCrash> crashes;
  /// By gateway: downtimes, pauses, suspensions, cuts.
  std::vector<std::vector<Disturbance>> gateways;
  /// Of the store: silence, refusals, late answers.
  std::vector<Disturbance> store;
  /// Resets of connections anywhere.
  std::vector<Disturbance> connections;
  /// Of datagrams, and delays of all messages.
  std::vector<Disturbance> messages;
};

}  // namespace crankspur::gateway_sim
