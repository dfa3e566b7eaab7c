#pragma once
/// @file Which back ends this gateway reaches. The one notion of reach, on which placement, the relay, probes
/// and the log depend. Fed by requests, by the calls that follow caches, and by probes.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

#include "gateway/gateway_snapshot.h"
#include "gateway/request_observer.h"

namespace crankspur::gateway {

/// Whether this gateway can exchange messages with a back end.
enum class Reach {
  unknown,       ///< Nothing was received lately, and nothing failed.
  in_reach,      ///< Something was received lately.
  out_of_reach,  ///< The last connection or call failed, or is without a response.
};

/// See the file comment. What other gateways report about a back end is no evidence of the own reach. Not
/// thread-safe.
class BackendReach {
public:
  /// Takes the state of the calls that follow caches. Forgets what is known of other incarnations.
  void onSnapshot(const GatewaySnapshot& snapshot);
  /// Bytes of a response, or the response to a probe, were received.
  void onReceived(EngineSlot slot, TimePoint now);
  /// A connection failed, broke, or is silent for too long.
  /// @param incarnation that it was opened to; the failure counts only if it is the current one.
  void onFailed(EngineSlot slot, std::uint64_t incarnation, TimePoint now);

  Reach of(EngineSlot slot, TimePoint now) const;
  /// @return when anything was last received; TimePoint{}: never.
  TimePoint lastReceivedAt(EngineSlot slot) const;
  /// @return whether the back end is unresponsive to the calls that follow its cache, of this gateway or of
  /// another one, and this gateway has received nothing since then.
  bool isUnresponsive(const Backend& backend) const;

  /// @param listed the back ends of one pool.
  PoolReach ofPool(const std::vector<const Backend*>& listed, TimePoint now) const;

private:
  struct State {
    std::uint64_t incarnation = 0;
    TimePoint received_at{};
    TimePoint failed_at{};
    TimePoint unanswered_since{};  ///< TimePoint{}: no call is without a response.
    bool answers_calls = false;    ///< The last call that follows its cache got a response.
  };
  const State* find(EngineSlot slot) const;

  absl::flat_hash_map<EngineSlot, State> states_;
};

/// @return whether this gateway is partitioned from a pool rather than some of its back ends down: half of
/// them are out of reach, or more than are known to be in reach. A single one is no evidence of a partition.
bool isPartition(const PoolReach& reach);
/// @return whether several back ends are out of reach, so that the reach of the others has to be found out.
bool maybePartition(const PoolReach& reach);

}  // namespace crankspur::gateway
