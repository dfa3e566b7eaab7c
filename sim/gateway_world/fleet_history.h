#pragma once
/// @file Queries on the records of a run that several checkers share.

#include <map>
#include <vector>

#include "gateway/crash_policy.h"
#include "sim/gateway_world/fleet_context.h"

namespace crankspur::gateway_sim {

/// A crash of an engine that held at least one attempt of a given body.
struct BodyCrash {
  TimePoint at{};
  std::uint32_t engine = 0;
  std::uint64_t engine_start = 0;  ///< Number of the engine's process start.
  TimePoint first_sent_at{};       ///< When the first of these attempts was sent to the engine.
  TimePoint last_sent_at{};        ///< When the last of them was sent.
  std::uint32_t gateway = 0;       ///< A gateway that sent one of them.
  bool silent = false;
  bool by_rejections = false;  ///< The engine rejected too many requests, as gateways may know.
};

/// Whether a gateway is partitioned from most engines.
enum class PartitionState {
  none,
  changing,  ///< It began or ended so shortly before that the gateway may not know.
  partitioned,
};

/// See the file comment.
class FleetHistory {
public:
  explicit FleetHistory(const FleetContext& context);

  const Records& records() const { return context_.records; }
  /// @return crashes of engines that held the body, up to `until`, in order.
  std::vector<BodyCrash> crashesOf(BodyId body, TimePoint until) const;
  /// Which bound to compute where gateways may differ because messages are in transit.
  enum class Bound { lower, upper };
  /// @return number of sequential crashes of engines that held the body, up to `until`, except those cleared
  /// by complete responses up to `now`.
  std::uint32_t crashesInSequence(BodyId body, TimePoint until, TimePoint now, Bound bound) const;
  /// @return duration of the quarantine after this many crashes.
  Duration quarantineAfter(std::size_t crashes) const;

  /// @return whether no fault affected the gateway from `margin` before `from` until `to`.
  bool isUndisturbed(std::uint32_t gateway, TimePoint from, TimePoint to, Duration margin) const;
  /// @return whether a process of the gateway started in this time.
  bool startedBetween(std::uint32_t gateway, TimePoint from, TimePoint to) const;
  /// @param detection_time after which the gateway knows that a partition began or ended.
  PartitionState partitionState(std::uint32_t gateway, TimePoint at, Duration detection_time) const;
  /// @return whether at least half of the gateways reach the engines all the time.
  bool mostReachEngines(TimePoint from, TimePoint to) const;
  bool isStoreUndisturbed(TimePoint from, TimePoint to) const;
  bool areConnectionsUndisturbed(TimePoint from, TimePoint to) const;
  bool areMessagesUndisturbed(TimePoint from, TimePoint to) const;
  /// @return whether no engine fails requests in between.
  bool areEnginesSound(TimePoint from, TimePoint to) const;
  /// @return whether the gateway must have received all of the crashes by `at`, because it and the gateways
  /// that observed them could exchange messages for long enough.
  bool hasReceived(std::uint32_t gateway, const std::vector<BodyCrash>& crashes, TimePoint at) const;
  bool isPoison(BodyId body) const;
  /// @return number of engines that crashed between `from` and `to`.
  std::size_t crashedEngines(TimePoint from, TimePoint to) const;

  bool crashedBetween(std::uint32_t engine, TimePoint from, TimePoint to) const;

private:
  struct CompleteResponse {
    TimePoint at{};
    bool known_to_all = false;  ///< Every gateway could receive it within a second.
  };

  bool isKnownToAll(const Attempt& attempt) const;
  bool hadDeparted(const BodyCrash& crash) const;
  bool isCleared(BodyId body, TimePoint crashed_at, TimePoint until, Bound bound) const;

  const FleetContext& context_;
  gateway::CrashPolicy policy_;
  std::map<BodyId, std::vector<BodyCrash>> crashes_;
  std::map<BodyId, std::vector<CompleteResponse>> responses_;
};

}  // namespace crankspur::gateway_sim
