#pragma once
/// @file State of each back end as observed by the gateway's own traffic: health, requests in flight,
/// refusals.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>

#include "gateway/backend_reach.h"
#include "gateway/gateway_snapshot.h"
#include "router/engine_health.h"

namespace crankspur::gateway {

/// How one dispatch at a back end ended.
enum class DispatchOutcome {
  Completed,      ///< Its own response was complete.
  ErrorResponse,  ///< It responded with an error.
  Failed,         ///< It sent bytes that are not a response of its own, or the connection broke.
  ConnectFailed,  ///< No connection could be made.
  Full,           ///< It refused to run the request because it is at capacity.
  Ended,          ///< Cancelled by the gateway, or not related to the health of the back end.
};

/// State by back end slot. The state of a slot is reset when its incarnation changes. Not thread-safe.
class BackendTable {
public:
  /// Resets the state of the slots whose incarnation is another one in the snapshot.
  void onSnapshot(const GatewaySnapshot& snapshot, TimePoint now);
  /// Counts a dispatch in flight.
  void onDispatch(EngineSlot slot);
  /// @param incarnation that the dispatch was sent to; the outcome counts only if it is the current one.
  void onOutcome(EngineSlot slot, std::uint64_t incarnation, DispatchOutcome outcome, TimePoint now);
  /// The back end gets no requests until the given time. From then on it gets at first as many as half of
  /// those that it has now, since other gateways return to it at the same time.
  void onPaused(EngineSlot slot, std::uint64_t incarnation, TimePoint until);
  /// Records the time to the first byte of a response.
  /// @param taken from dispatch to the first byte.
  /// @param expected the estimate made at the dispatch.
  void onFirstByte(EngineSlot slot, std::uint64_t incarnation, Duration taken, Duration expected,
                   TimePoint now);

  /// @return whether the back end has a free slot and a free connection for one more request.
  bool hasCapacity(const Backend& backend, const Pool& pool, std::uint32_t share_divisor,
                   TimePoint now) const;
  /// @return whether the gateway's traffic to the back end shows no failure.
  bool isHealthy(EngineSlot slot, TimePoint now) const;
  /// @return time since the back end was first listed as leaving; 0: it is not.
  Duration leavingFor(EngineSlot slot, TimePoint now) const;
  /// @return remaining time for which the back end is ejected because of failures; 0: not ejected.
  Duration ejectedFor(EngineSlot slot, TimePoint now) const;
  std::uint32_t inFlight(EngineSlot slot) const;
  /// @return by how many seconds its responses start later than expected.
  double lateness(EngineSlot slot) const;
  /// @return smoothed time to the first byte of a response in seconds; 0 when unknown.
  double responseTime(EngineSlot slot) const;
  /// Which back ends this gateway reaches.
  BackendReach& reach() { return reach_; }
  const BackendReach& reach() const { return reach_; }

private:
  struct State {
    std::uint64_t incarnation = 0;
    EngineHealth health;
    std::uint32_t in_flight = 0;
    /// Of the requests in flight, since its last refusal: one less than it had then, or half of them if it
    /// paused. 0: none.
    std::uint32_t limit = 0;
    TimePoint limited_at{};  ///< From when on the limit rises.
    TimePoint full_until{};
    std::uint32_t refusals = 0;  ///< Consecutive refusals because it was at capacity.
    TimePoint leaving_since{};   ///< TimePoint{}: it is not leaving.
    double failed_share = 0;     ///< Smoothed share of dispatches that failed.
    std::uint32_t outcomes = 0;
    double response_seconds = 0;
  };
  const State* find(EngineSlot slot) const;
  static void resetState(State& state, std::uint64_t incarnation, TimePoint now);
  void recordOutcome(State& state, bool failed, TimePoint now);

  absl::flat_hash_map<EngineSlot, State> states_;
  BackendReach reach_;
};

}  // namespace crankspur::gateway
