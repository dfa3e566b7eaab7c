/// @file Checkers of fleet-wide behaviour: restarts, leaving back ends, planned stops, bundles, fencing.

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

#include "sim/check/checkers.h"

namespace crankspur::sim {

namespace {

using std::chrono::seconds;

/// Time within which a restarted router must serve requests.
constexpr Duration kMaxStartupTime = seconds(1);
/// Time within which routers must stop sending new work to a leaving back end.
constexpr Duration kMaxLeavingDelay = seconds(5);
/// Time within which an accepted bundle must be in force at all nodes.
constexpr Duration kMaxBundleDelay = seconds(13);

bool hasOnlyFaults(const CheckInput& input, const std::set<FaultKind>& allowed) {
  return std::includes(allowed.begin(), allowed.end(), input.faults.begin(), input.faults.end());
}

bool hasAnyFault(const CheckInput& input, const std::set<FaultKind>& kinds) {
  return std::any_of(kinds.begin(), kinds.end(),
                     [&input](FaultKind kind) { return input.faults.contains(kind); });
}

/// Faults that keep updates from reaching a router, so that its stale state is no violation.
const std::set<FaultKind> kIsolatingFaults = {FaultKind::Partition,      FaultKind::RouterPause,
                                              FaultKind::Disturbance,    FaultKind::ConnectionCuts,
                                              FaultKind::CrossedAnswers, FaultKind::StalledOrders};

}  // namespace

void checkRestarts(const CheckInput& input, Violations& violations) {
  if (hasAnyFault(input, kIsolatingFaults)) return;
  for (const RouterRefusal& refusal : input.world.context().records.refusals) {
    const bool not_ready = refusal.code == ErrorCode::NotReady ||
                           refusal.code == ErrorCode::EngineUnavailable ||
                           refusal.code == ErrorCode::UnknownModel;
    const bool restarted = refusal.epoch > 1;
    if (not_ready && restarted && refusal.at - refusal.router_started_at > kMaxStartupTime &&
        refusal.at - refusal.router_started_at < kMaxBundleDelay &&
        hasOnlyFaults(input, {FaultKind::RouterRestart, FaultKind::HerdRestart, FaultKind::StoreDown,
                              FaultKind::StoreSlow, FaultKind::LostAnswers, FaultKind::PlannedStops,
                              FaultKind::ZoneStop, FaultKind::PrefixShift, FaultKind::HerdRateLimits})) {
      violations.push_back({"restart", fmt::format("{} refused with {} {:.3f} s after its start",
                                                   refusal.router, errorName(refusal.code),
                                                   toSeconds(refusal.at - refusal.router_started_at))});
    }
  }
}

/// When all routers restart at once and no other fault is active, callers are served immediately, even while
/// the store is unavailable.
void checkThunderingHerd(const CheckInput& input, Violations& violations) {
  const bool herd_only = input.faults == std::set<FaultKind>{FaultKind::HerdRestart} ||
                         input.faults == std::set<FaultKind>{FaultKind::HerdRateLimits};
  if (!herd_only) return;
  TimePoint last_start{};
  for (std::size_t index = 0; index < input.world.routerCount(); ++index) {
    last_start = std::max(last_start, input.world.routerAt(index).startedAt());
  }
  const std::set<ErrorCode> allowed_errors = {ErrorCode::ClaimUnavailable, ErrorCode::DuplicateRequest};
  for (const CallerRecord& caller : input.world.context().records.callers) {
    if (!caller.error || caller.submitted_at < last_start + kMaxStartupTime) continue;
    if (allowed_errors.contains(caller.error->code)) continue;
    violations.push_back(
        {"restart", fmt::format("{} failed {:.1f} s after a herd restart: {} {}", caller.request.request_id,
                                toSeconds(caller.submitted_at - last_start), errorName(caller.error->code),
                                caller.error->message)});
  }
}

void checkLeavingBackends(const CheckInput& input, Violations& violations) {
  if (hasAnyFault(input, kIsolatingFaults)) return;
  const Records& records = input.world.context().records;
  for (const LeavingRecord& leaving : records.leaving) {
    const TimePoint limit = leaving.at + kMaxLeavingDelay;
    for (const ArrivalRecord& arrival : records.arrivals) {
      if (arrival.engine != leaving.machine || arrival.at <= limit || arrival.at >= leaving.ended) continue;
      violations.push_back(
          {"leaving", fmt::format("{} got {} from {} {:.1f} s after it began to leave", leaving.machine,
                                  arrival.request_id, arrival.router, toSeconds(arrival.at - leaving.at))});
    }
    for (const ExecutionRecord& execution : records.executions) {
      if (execution.runner != leaving.machine || execution.at <= limit || execution.at >= leaving.ended)
        continue;
      violations.push_back(
          {"leaving", fmt::format("{} got {} {:.1f} s after it began to leave", leaving.machine,
                                  execution.request_id, toSeconds(execution.at - leaving.at))});
    }
  }
}

void checkPlannedStops(const CheckInput& input, Violations& violations) {
  const bool planned_only =
      !input.faults.empty() && hasOnlyFaults(input, {FaultKind::PlannedStops, FaultKind::ZoneStop,
                                                     FaultKind::LeavingEngine, FaultKind::PrefixShift});
  if (!planned_only) return;
  const std::deque<CallerRecord>& callers = input.world.context().records.callers;
  std::map<std::string, std::uint32_t> key_uses;
  for (const CallerRecord& caller : callers) ++key_uses[caller.request.idempotency_key];
  for (const CallerRecord& caller : callers) {
    if (!caller.error) continue;
    // A caller that repeats a request with the same idempotency key before the first response may get this
    // error.
    const bool repeated =
        !caller.request.idempotency_key.empty() && key_uses[caller.request.idempotency_key] > 1;
    if (repeated && caller.error->code == ErrorCode::DuplicateRequest) continue;
    violations.push_back({"planned_stop", fmt::format("{} failed though every stop was planned: {} {}",
                                                      caller.request.request_id,
                                                      errorName(caller.error->code), caller.error->message)});
  }
}

namespace {

void checkBundleUses(const Records& records, Violations& violations) {
  std::map<std::uint64_t, std::string> accepted;
  for (const AcceptedBundle& bundle : records.accepted_bundles) {
    const auto [entry, inserted] = accepted.emplace(bundle.version, bundle.digest);
    if (!inserted) {
      violations.push_back({"bundle", fmt::format("version {} was accepted twice", bundle.version)});
    }
  }
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> newest;
  for (const BundleActivation& use : records.bundle_uses) {
    std::uint64_t& version = newest[{use.node, use.epoch}];
    if (use.version <= version) {
      violations.push_back(
          {"bundle", fmt::format("{} went from bundle {} back to {}", use.node, version, use.version)});
    }
    version = use.version;
    const auto found = accepted.find(use.version);
    if (found == accepted.end() || found->second != use.digest) {
      violations.push_back(
          {"bundle", fmt::format("{} used a bundle {} that was not accepted", use.node, use.version)});
    }
  }
}

void checkDecisionVersions(const Records& records, Violations& violations) {
  std::map<std::string, std::uint64_t> caller_versions;
  for (const CallerRecord& caller : records.callers) {
    caller_versions[caller.request.request_id] = caller.request.bundle_version;
  }
  for (const DecisionObservation& decision : records.decisions) {
    if (decision.version >= caller_versions[decision.request_id]) continue;
    violations.push_back(
        {"bundle", fmt::format("{} decided {} under bundle {} though its caller had {}", decision.router,
                               decision.request_id, decision.version, caller_versions[decision.request_id])});
  }
}

template <typename Node>
void checkNodeBundle(Node& node, const AcceptedBundle& newest, Violations& violations) {
  if (!node.host().up() || node.host().paused() || node.bundleVersion() >= newest.version) return;
  violations.push_back({"bundle", fmt::format("{} holds bundle {} though {} is in force", node.host().name(),
                                              node.bundleVersion(), newest.version)});
}

}  // namespace

void checkBundles(const CheckInput& input, Violations& violations) {
  const Records& records = input.world.context().records;
  checkBundleUses(records, violations);
  checkDecisionVersions(records, violations);
  if (records.accepted_bundles.empty()) return;
  const AcceptedBundle& newest = records.accepted_bundles.back();
  const TimePoint deadline = std::max(newest.at, input.faults_end) + kMaxBundleDelay;
  if (input.world.context().queue.now() < deadline) return;
  for (std::size_t index = 0; index < input.world.routerCount(); ++index) {
    checkNodeBundle(input.world.routerAt(index), newest, violations);
  }
  for (std::size_t index = 0; index < input.world.sidecarCount(); ++index) {
    checkNodeBundle(input.world.sidecarAt(index), newest, violations);
  }
}

void checkFencing(const CheckInput& input, Violations& violations) {
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> highest;
  for (const ExecutedOrder& order : input.world.context().records.orders) {
    std::uint64_t& token = highest[{order.engine, order.incarnation}];
    if (order.token < token) {
      violations.push_back({"fencing", fmt::format("{} took an order with token {} after one with {}",
                                                   order.engine, order.token, token)});
    }
    token = std::max(token, order.token);
  }
}

void checkParallelWeightLoads(const CheckInput& input, Violations& violations) {
  // A new lease holder does not know the orders of its predecessor: checked only where no fault replaces the
  // holder.
  if (!hasOnlyFaults(input, {FaultKind::WeightsWaves, FaultKind::WeightsRoll, FaultKind::Rollback,
                             FaultKind::PrefixShift, FaultKind::SamePrompts})) {
    return;
  }
  const std::size_t limit = Knobs().parallel_weight_loads;
  for (const ExecutedOrder& order : input.world.context().records.orders) {
    if (order.loading_weights <= limit) continue;
    violations.push_back({"waves", fmt::format("{} began to load weights as one of {} engines", order.engine,
                                               order.loading_weights)});
  }
}

Violations checkAll(const CheckInput& input) {
  Violations violations;
  checkCacheUse(input, violations);
  checkStreams(input, violations);
  checkRestarts(input, violations);
  checkThunderingHerd(input, violations);
  checkNotRun(input, violations);
  checkAtMostOnce(input, violations);
  checkTableOutage(input, violations);
  checkLeavingBackends(input, violations);
  checkPlannedStops(input, violations);
  checkBundles(input, violations);
  checkFencing(input, violations);
  checkParallelWeightLoads(input, violations);
  checkDeadlines(input, violations);
  checkRetryStorm(input, violations);
  checkLiveness(input, violations);
  return violations;
}

}  // namespace crankspur::sim
