/// @file Checkers of the fleet: restarts, leaving back ends, planned stops, bundles, fencing.

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

#include "sim/check/checkers.h"

namespace crankspur::sim {

namespace {

using std::chrono::seconds;

/// Time after which a restarted router must serve.
constexpr Duration kServesWithin = seconds(1);
/// Time after which a leaving back end gets nothing new.
constexpr Duration kLeavingWithin = seconds(5);
/// Time after which an accepted bundle is in force.
constexpr Duration kInForceWithin = seconds(13);

bool onlyFaults(const CheckInput& input, const std::set<FaultKind>& allowed) {
  return std::includes(allowed.begin(), allowed.end(), input.faults.begin(), input.faults.end());
}

bool hasAny(const CheckInput& input, const std::set<FaultKind>& kinds) {
  return std::any_of(kinds.begin(), kinds.end(),
                     [&input](FaultKind kind) { return input.faults.contains(kind); });
}

/// Faults that keep a router from hearing of anything, so that its ignorance proves nothing.
const std::set<FaultKind> kDeafness = {FaultKind::Partition,      FaultKind::RouterPause,
                                       FaultKind::Disturbance,    FaultKind::ConnectionCuts,
                                       FaultKind::CrossedAnswers, FaultKind::StalledOrders};

}  // namespace

void checkRestarts(const CheckInput& input, Violations& violations) {
  if (hasAny(input, kDeafness)) return;
  for (const RouterRefusal& refusal : input.world.context().records.refusals) {
    const bool unready = refusal.code == ErrorCode::NotReady ||
                         refusal.code == ErrorCode::EngineUnavailable ||
                         refusal.code == ErrorCode::UnknownModel;
    const bool restarted = refusal.epoch > 1;
    if (unready && restarted && refusal.at - refusal.router_started_at > kServesWithin &&
        refusal.at - refusal.router_started_at < kInForceWithin &&
        onlyFaults(input, {FaultKind::RouterRestart, FaultKind::HerdRestart, FaultKind::StoreDown,
                           FaultKind::StoreSlow, FaultKind::LostAnswers, FaultKind::PlannedStops,
                           FaultKind::ZoneStop, FaultKind::PrefixShift, FaultKind::HerdRateLimits})) {
      violations.push_back({"restart", fmt::format("{} refused with {} {:.3f} s after its start",
                                                   refusal.router, errorName(refusal.code),
                                                   toSeconds(refusal.at - refusal.router_started_at))});
    }
  }
}

/// After a herd restart with nothing else wrong, callers are served at once, whatever the store does.
void checkHerd(const CheckInput& input, Violations& violations) {
  const bool herd = input.faults == std::set<FaultKind>{FaultKind::HerdRestart} ||
                    input.faults == std::set<FaultKind>{FaultKind::HerdRateLimits};
  if (!herd) return;
  TimePoint last_start{};
  for (std::size_t index = 0; index < input.world.routerCount(); ++index) {
    last_start = std::max(last_start, input.world.routerAt(index).startedAt());
  }
  const std::set<ErrorCode> excused = {ErrorCode::ClaimUnavailable, ErrorCode::DuplicateRequest};
  for (const CallerRecord& caller : input.world.context().records.callers) {
    if (!caller.error || caller.submitted_at < last_start + kServesWithin) continue;
    if (excused.contains(caller.error->code)) continue;
    violations.push_back(
        {"restart", fmt::format("{} failed {:.1f} s after a herd restart: {} {}", caller.request.request_id,
                                toSeconds(caller.submitted_at - last_start), errorName(caller.error->code),
                                caller.error->message)});
  }
}

void checkLeaving(const CheckInput& input, Violations& violations) {
  if (hasAny(input, kDeafness)) return;
  const Records& records = input.world.context().records;
  for (const LeavingRecord& leaving : records.leaving) {
    const TimePoint limit = leaving.at + kLeavingWithin;
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
      !input.faults.empty() && onlyFaults(input, {FaultKind::PlannedStops, FaultKind::ZoneStop,
                                                  FaultKind::LeavingEngine, FaultKind::PrefixShift});
  if (!planned_only) return;
  const std::deque<CallerRecord>& callers = input.world.context().records.callers;
  std::map<std::string, std::uint32_t> uses_of_key;
  for (const CallerRecord& caller : callers) ++uses_of_key[caller.request.idempotency_key];
  for (const CallerRecord& caller : callers) {
    if (!caller.error) continue;
    // A caller that repeats an order before its answer came may be told so.
    const bool repeated =
        !caller.request.idempotency_key.empty() && uses_of_key[caller.request.idempotency_key] > 1;
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
    const auto [place, fresh] = accepted.emplace(bundle.version, bundle.digest);
    if (!fresh) {
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
    const auto known = accepted.find(use.version);
    if (known == accepted.end() || known->second != use.digest) {
      violations.push_back(
          {"bundle", fmt::format("{} used a bundle {} that was not accepted", use.node, use.version)});
    }
  }
}

void checkDecisions(const Records& records, Violations& violations) {
  std::map<std::string, std::uint64_t> named;
  for (const CallerRecord& caller : records.callers) {
    named[caller.request.request_id] = caller.request.bundle_version;
  }
  for (const DecisionObservation& decision : records.decisions) {
    if (decision.version >= named[decision.request_id]) continue;
    violations.push_back(
        {"bundle", fmt::format("{} decided {} under bundle {} though its caller had {}", decision.router,
                               decision.request_id, decision.version, named[decision.request_id])});
  }
}

template <typename Node>
void checkHeld(Node& node, const AcceptedBundle& newest, Violations& violations) {
  if (!node.host().up() || node.host().paused() || node.bundleVersion() >= newest.version) return;
  violations.push_back({"bundle", fmt::format("{} holds bundle {} though {} is in force", node.host().name(),
                                              node.bundleVersion(), newest.version)});
}

}  // namespace

void checkBundles(const CheckInput& input, Violations& violations) {
  const Records& records = input.world.context().records;
  checkBundleUses(records, violations);
  checkDecisions(records, violations);
  if (records.accepted_bundles.empty()) return;
  const AcceptedBundle& newest = records.accepted_bundles.back();
  const TimePoint due = std::max(newest.at, input.faults_end) + kInForceWithin;
  if (input.world.context().queue.now() < due) return;
  for (std::size_t index = 0; index < input.world.routerCount(); ++index) {
    checkHeld(input.world.routerAt(index), newest, violations);
  }
  for (std::size_t index = 0; index < input.world.sidecarCount(); ++index) {
    checkHeld(input.world.sidecarAt(index), newest, violations);
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

void checkWaves(const CheckInput& input, Violations& violations) {
  // A new holder of the lease does not know of its predecessor's orders: judged only where none is lost.
  if (!onlyFaults(input, {FaultKind::WeightsWaves, FaultKind::WeightsRoll, FaultKind::Rollback,
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
  checkHerd(input, violations);
  checkNotRun(input, violations);
  checkAtMostOnce(input, violations);
  checkTableOutage(input, violations);
  checkLeaving(input, violations);
  checkPlannedStops(input, violations);
  checkBundles(input, violations);
  checkFencing(input, violations);
  checkWaves(input, violations);
  checkDeadlines(input, violations);
  checkRetryStorm(input, violations);
  checkLiveness(input, violations);
  return violations;
}

}  // namespace crankspur::sim
