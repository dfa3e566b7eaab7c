#include "sim/gateway_world/fleet_history.h"

#include <algorithm>
#include <set>

namespace crankspur::gateway_sim {
namespace {

/// Gateways that could exchange messages for this long have received what one of them observed.
constexpr Duration kPropagationTime = std::chrono::seconds(1);
/// Likewise after a gateway was killed, partitioned, paused or suspended.
constexpr Duration kRecoveryTime = std::chrono::seconds(5);
/// How long rows of engines may be missing after a failure of the store.
constexpr Duration kRowRecoveryTime = std::chrono::seconds(5);
/// Maximum difference between gateways in the times of a crash and of a send.
constexpr Duration kTimeTolerance = std::chrono::milliseconds(100);

bool overlapsAny(const std::vector<Disturbance>& disturbances, TimePoint from, TimePoint to) {
  return std::any_of(disturbances.begin(), disturbances.end(), [&](const Disturbance& disturbance) {
    return disturbance.from <= to && disturbance.to >= from;
  });
}

}  // namespace

FleetHistory::FleetHistory(const FleetContext& context) : context_(context) {
  for (const EngineCrash& crash : context.records.crashes) {
    for (const std::size_t index : crash.interrupted_runs) {
      const EngineRun& run = context.records.runs[index];
      std::vector<BodyCrash>& crashes = crashes_[run.body];
      if (crashes.empty() || crashes.back().engine != crash.engine || crashes.back().at != crash.at) {
        crashes.push_back({crash.at, crash.engine, run.engine_start, run.sent_at, run.sent_at, run.gateway,
                           crash.silent, crash.by_rejections});
      }
      crashes.back().first_sent_at = std::min(crashes.back().first_sent_at, run.sent_at);
      crashes.back().last_sent_at = std::max(crashes.back().last_sent_at, run.sent_at);
    }
  }
  for (const Attempt& attempt : context.records.attempts) {
    if (attempt.outcome != AttemptOutcome::completed) continue;
    responses_[attempt.body].push_back({attempt.ended_at, isKnownToAll(attempt)});
  }
}

bool FleetHistory::isKnownToAll(const Attempt& attempt) const {
  const TimePoint received_at = attempt.ended_at + kPropagationTime;
  for (std::uint32_t gateway = 0; gateway < context_.site.gateways; ++gateway) {
    if (!isUndisturbed(gateway, attempt.ended_at, received_at, kRecoveryTime)) return false;
  }
  return areMessagesUndisturbed(attempt.ended_at, received_at);
}

std::vector<BodyCrash> FleetHistory::crashesOf(BodyId body, TimePoint until) const {
  const auto found = crashes_.find(body);
  if (found == crashes_.end()) return {};
  std::vector<BodyCrash> before;
  for (const BodyCrash& crash : found->second) {
    if (crash.at <= until) before.push_back(crash);
  }
  return before;
}

std::uint32_t FleetHistory::crashesInSequence(BodyId body, TimePoint until, TimePoint now,
                                              Bound bound) const {
  std::uint32_t count = 0;
  TimePoint last{};
  for (const BodyCrash& crash : crashesOf(body, until)) {
    const bool cleared = isCleared(body, crash.at, now, bound);
    // A power loss closes no connection, so gateways may not detect it. An engine whose row is missing, or
    // that has announced its departure, leaves as planned: the loss of its last connections is no crash.
    const bool may_leave = hadDeparted(crash) || !isStoreUndisturbed(crash.at - kRowRecoveryTime, crash.at);
    // Gateways that know that an engine rejected too many requests hold its crash against none that it ran.
    const bool may_be_unknown = bound == Bound::lower && (crash.silent || may_leave || crash.by_rejections);
    if (cleared || may_be_unknown) continue;
    const TimePoint sent_at =
        bound == Bound::lower ? crash.first_sent_at : crash.last_sent_at + kTimeTolerance;
    if (count > 0 && sent_at < last) continue;
    ++count;
    last = crash.at;
  }
  return count;
}

bool FleetHistory::hadDeparted(const BodyCrash& crash) const {
  const auto& departures = context_.records.departures;
  return std::any_of(departures.begin(), departures.end(), [&crash](const EngineDeparture& departure) {
    return departure.engine == crash.engine && departure.engine_start == crash.engine_start &&
           departure.listed_at <= crash.at;
  });
}

/// A complete response that some gateway may not know of clears earlier crashes only for the lower bound.
bool FleetHistory::isCleared(BodyId body, TimePoint crashed_at, TimePoint until, Bound bound) const {
  const auto found = responses_.find(body);
  if (found == responses_.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(), [&](const CompleteResponse& response) {
    if (response.at < crashed_at) return false;
    if (bound == Bound::lower) return response.at < until;
    return response.known_to_all && response.at > crashed_at + kTimeTolerance &&
           response.at + kPropagationTime < until;
  });
}

Duration FleetHistory::quarantineAfter(std::size_t crashes) const {
  Duration time = policy_.first_quarantine;
  for (std::size_t count = policy_.crashes_until_quarantined; count < crashes; ++count) {
    time = std::min(time * policy_.quarantine_growth, policy_.max_quarantine);
  }
  return time;
}

bool FleetHistory::isUndisturbed(std::uint32_t gateway, TimePoint from, TimePoint to, Duration margin) const {
  return !overlapsAny(context_.records.gateways[gateway], from - margin, to);
}

bool FleetHistory::startedBetween(std::uint32_t gateway, TimePoint from, TimePoint to) const {
  const auto& starts = context_.records.gateway_starts;
  return std::any_of(starts.begin(), starts.end(), [&](const GatewayStart& start) {
    return start.gateway == gateway && start.at >= from && start.at <= to;
  });
}

PartitionState FleetHistory::partitionState(std::uint32_t gateway, TimePoint at,
                                            Duration detection_time) const {
  PartitionState state = PartitionState::none;
  for (const EnginePartition& partition : context_.records.engine_partitions) {
    if (partition.gateway != gateway) continue;
    if (at >= partition.from + detection_time && at < partition.to) return PartitionState::partitioned;
    if (at >= partition.from && at < partition.to + detection_time) state = PartitionState::changing;
  }
  return state;
}

bool FleetHistory::mostReachEngines(TimePoint from, TimePoint to) const {
  std::set<std::uint32_t> partitioned;
  for (const EnginePartition& partition : context_.records.engine_partitions) {
    if (partition.from <= to && partition.to >= from) partitioned.insert(partition.gateway);
  }
  return partitioned.size() * 2 <= context_.site.gateways;
}

bool FleetHistory::isStoreUndisturbed(TimePoint from, TimePoint to) const {
  return !overlapsAny(context_.records.store, from, to);
}

bool FleetHistory::areConnectionsUndisturbed(TimePoint from, TimePoint to) const {
  return !overlapsAny(context_.records.connections, from, to);
}

bool FleetHistory::areMessagesUndisturbed(TimePoint from, TimePoint to) const {
  return !overlapsAny(context_.records.messages, from, to);
}

bool FleetHistory::areEnginesSound(TimePoint from, TimePoint to) const {
  return !overlapsAny(context_.records.failing_engines, from, to);
}

bool FleetHistory::hasReceived(std::uint32_t gateway, const std::vector<BodyCrash>& crashes,
                               TimePoint at) const {
  if (crashes.empty() || at < crashes.back().at + kPropagationTime) return false;
  const TimePoint first = crashes.front().at;
  if (!areMessagesUndisturbed(first, at)) return false;
  for (const BodyCrash& crash : crashes) {
    if (!isUndisturbed(crash.gateway, crash.at, crash.at + kPropagationTime, kRecoveryTime)) return false;
  }
  if (isUndisturbed(gateway, first, at, kRecoveryTime)) return true;
  if (!isUndisturbed(gateway, at, at, kRecoveryTime)) return false;
  // It was disturbed in between; the gateways that observed the crashes, or the store's record, supply them.
  const bool observers_undisturbed = std::all_of(crashes.begin(), crashes.end(), [&](const BodyCrash& crash) {
    return isUndisturbed(crash.gateway, crash.at, at, kRecoveryTime);
  });
  const bool quarantined = crashes.size() >= policy_.crashes_until_quarantined;
  return observers_undisturbed || (quarantined && isStoreUndisturbed(first, at));
}

bool FleetHistory::isPoison(BodyId body) const {
  return std::any_of(context_.site.poison.begin(), context_.site.poison.end(),
                     [body](const PoisonRequest& poison) { return poison.body == body; });
}

std::size_t FleetHistory::crashedEngines(TimePoint from, TimePoint to) const {
  std::set<std::uint32_t> engines;
  for (const EngineCrash& crash : context_.records.crashes) {
    if (crash.at >= from && crash.at <= to) engines.insert(crash.engine);
  }
  return engines.size();
}

bool FleetHistory::crashedBetween(std::uint32_t engine, TimePoint from, TimePoint to) const {
  return std::any_of(
      context_.records.crashes.begin(), context_.records.crashes.end(),
      [&](const EngineCrash& crash) { return crash.engine == engine && crash.at >= from && crash.at <= to; });
}

}  // namespace crankspur::gateway_sim
