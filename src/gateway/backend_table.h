#pragma once
/// @file What a gateway has learnt about each back end by its own traffic: health, requests in flight,
/// refusals.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>

#include "gateway/gateway_snapshot.h"
#include "router/engine_health.h"

namespace crankspur::gateway {

/// How one dispatch at a back end ended.
enum class DispatchOutcome {
  Answered,       ///< Its own answer came whole.
  ErrorAnswer,    ///< It answered that it failed.
  Failed,         ///< It sent bytes that are no answer of its own, or broke off.
  ConnectFailed,  ///< No connection could be made.
  Full,           ///< It ran nothing for want of room.
  Ended,          ///< Cancelled by us, or says nothing about the back end.
};

/// State by back end slot. Forgets a slot whose incarnation changes. Not thread-safe.
class BackendTable {
public:
  /// Takes the present back ends.
  void onSnapshot(const GatewaySnapshot& snapshot, TimePoint now);
  /// Counts a dispatch in flight.
  void onDispatch(EngineSlot slot);
  /// @param incarnation that the dispatch was sent to; of another than the present one nothing is learnt.
  void onOutcome(EngineSlot slot, std::uint64_t incarnation, DispatchOutcome outcome, TimePoint now);
  /// Any byte of an answer came.
  void onBytesReceived(EngineSlot slot, TimePoint now) { states_[slot].heard_at = now; }
  /// Notes how long an answer took to begin, against what was expected.
  void onFirstByte(EngineSlot slot, std::uint64_t incarnation, Duration taken, Duration expected,
                   TimePoint now);

  /// @return whether the back end may be sent one more request now, as far as places and connections go.
  bool hasCapacity(const Backend& backend, const Pool& pool, std::uint32_t share_divisor,
                   TimePoint now) const;
  /// @return whether its traffic shows no fault.
  bool isHealthy(EngineSlot slot, TimePoint now) const;
  /// @return whether it answers nobody: those who follow its cache get no answer, and its traffic has heard
  /// nothing since.
  bool isUnresponsive(const Backend& backend) const;
  /// @return time for which its failures keep it out of use; 0: none.
  Duration ejectedFor(EngineSlot slot, TimePoint now) const;
  std::uint32_t inFlight(EngineSlot slot) const;
  /// @return seconds that it begins its answers later than expected.
  double lateness(EngineSlot slot) const;
  /// @return seconds until it begins to answer, smoothed; 0 when unknown.
  double answerTime(EngineSlot slot) const;
  /// @return when any byte of an answer last came.
  TimePoint lastReceivedAt(EngineSlot slot) const;

private:
  struct State {
    std::uint64_t incarnation = 0;
    EngineHealth health;
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 0;  ///< Requests in flight at which it last refused; 0: it did not.
    TimePoint limited_at{};
    TimePoint full_until{};
    std::uint32_t refusals = 0;  ///< For want of room, in a row.
    TimePoint heard_at{};
    double failed_share = 0;  ///< Smoothed share of dispatches that failed.
    std::uint32_t outcomes = 0;
    double answer_seconds = 0;
  };
  const State* find(EngineSlot slot) const;
  void noteFailure(State& state, bool failed, TimePoint now);

  absl::flat_hash_map<EngineSlot, State> states_;
};

}  // namespace crankspur::gateway
