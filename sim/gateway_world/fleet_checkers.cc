#include "sim/gateway_world/fleet_checkers.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "sim/gateway_world/fleet_history.h"
#include "sim/gateway_world/load_checkers.h"
#include "sim/gateway_world/notice_checkers.h"
#include "sim/gateway_world/stream_checkers.h"

namespace crankspur::gateway_sim {
namespace {

using sim::Violations;

constexpr Duration kTolerance = std::chrono::seconds(1);
/// Gateways that could exchange messages for this long hold the same evidence.
constexpr Duration kAgreementTime = std::chrono::seconds(3);
/// Maximum time from the store's response that confirms the keys to the admission that relies on it.
constexpr Duration kKeyTolerance = std::chrono::milliseconds(20);
/// A request still has to be served while at most one in this many engines crashes around it.
constexpr std::size_t kEnginesPerCrash = 4;
constexpr std::uint32_t kCrashesUntilQuarantined = 3;
constexpr std::uint32_t kCrashesUntilIsolated = 2;
constexpr std::uint32_t kConcurrentCrashesUntilQuarantined = 4;
constexpr Duration kCloseTime = std::chrono::milliseconds(5);
/// Retries during a partition use up the retry budget of its gateway for this long. A process that has
/// started within this time has only a small part of the budget, since its predecessor may have used the
/// other.
constexpr Duration kRetryBudgetWindow = std::chrono::seconds(10);
constexpr Duration kRestartTime = std::chrono::seconds(5);
constexpr Duration kDepartureLimit = std::chrono::seconds(2);
/// A gateway that was undisturbed for this long, as was the store, has read the list of engines.
constexpr Duration kContactTime = std::chrono::seconds(3);

/// First attempts at partitioned gateways are served at least this many times as often as those at the
/// others.
constexpr double kMinPartitionedShare = 2.0 / 3;
/// Failures at partitioned gateways that are always tolerated: a number, and one in so many attempts.
constexpr std::size_t kToleratedFailures = 10;
constexpr std::size_t kAttemptsPerToleratedFailure = 50;

double secondsOfRun(TimePoint instant) {
  return toSeconds(instant.time_since_epoch()) - 3600.0;
}

/// A request that crashed three engines is not sent again before its quarantine ends.
void checkCrashBound(const FleetHistory& history, Violations& violations) {
  for (const EngineRun& run : history.records().runs) {
    if (!history.isPoison(run.body)) continue;
    const std::vector<BodyCrash> crashes = history.crashesOf(run.body, run.sent_at - kTolerance);
    if (history.crashesInSequence(run.body, run.sent_at - kTolerance, run.sent_at,
                                  FleetHistory::Bound::lower) < kCrashesUntilQuarantined)
      continue;
    const auto last_detected =
        std::find_if(crashes.rbegin(), crashes.rend(), [](const BodyCrash& crash) { return !crash.silent; });
    if (run.sent_at >= last_detected->at + history.quarantineAfter(kCrashesUntilQuarantined) - kTolerance)
      continue;
    if (!history.hasReceived(run.gateway, crashes, run.sent_at)) continue;
    violations.push_back(
        {"crash_bound", fmt::format("gateway-{} sent body {} at {:.3f} s, {} engines had crashed under it, "
                                    "the last at {:.3f} s",
                                    run.gateway, run.body, secondsOfRun(run.sent_at), crashes.size(),
                                    secondsOfRun(crashes.back().at))});
  }
}

/// A request is refused as quarantined only if engines crashed while they held it, and only until its
/// quarantine ends.
void checkQuarantine(const FleetHistory& history, Violations& violations) {
  for (const Attempt& attempt : history.records().attempts) {
    if (attempt.outcome != AttemptOutcome::quarantined) continue;
    const std::vector<BodyCrash> crashes = history.crashesOf(attempt.body, attempt.ended_at);
    const std::uint32_t counted = history.crashesInSequence(attempt.body, attempt.ended_at, attempt.ended_at,
                                                            FleetHistory::Bound::upper);
    const bool concurrent =
        crashes.size() >= kConcurrentCrashesUntilQuarantined && counted >= kCrashesUntilIsolated;
    if (counted < kCrashesUntilQuarantined && !concurrent) {
      violations.push_back(
          {"quarantine_truth",
           fmt::format("gateway-{} refused body {} at {:.3f} s after {} crashes in sequence, {} in all",
                       attempt.gateway, attempt.body, secondsOfRun(attempt.ended_at), counted,
                       crashes.size())});
      continue;
    }
    const TimePoint quarantine_end = crashes.back().at + history.quarantineAfter(crashes.size()) + kTolerance;
    if (attempt.ended_at <= quarantine_end) continue;
    violations.push_back({"quarantine_release",
                          fmt::format("gateway-{} refused body {} at {:.3f} s, its quarantine was over at "
                                      "{:.3f} s",
                                      attempt.gateway, attempt.body, secondsOfRun(attempt.ended_at),
                                      secondsOfRun(quarantine_end))});
  }
}

/// A repeatable request whose engine crashed is served by another engine.
void checkInnocentServed(const FleetHistory& history, const FleetContext& context, Violations& violations) {
  const Records& records = history.records();
  std::vector<std::uint32_t> crashes_of(records.attempts.size());
  std::vector<TimePoint> crashed_at(records.attempts.size());
  for (const EngineCrash& crash : records.crashes) {
    for (const std::size_t index : crash.interrupted_runs) {
      crashes_of[records.runs[index].attempt] +=
          crash.silent ? 2 : 1;  // A silent crash takes longer to detect.
      crashed_at[records.runs[index].attempt] = crash.at;
    }
  }
  std::vector<bool> rejected(records.attempts.size());
  for (const EngineRun& run : records.runs) rejected[run.attempt] = rejected[run.attempt] || run.rejected;
  for (std::size_t index = 0; index < records.attempts.size(); ++index) {
    const Attempt& attempt = records.attempts[index];
    const bool unique = attempt.body > context.site.popular_bodies;
    const bool ended_by_caller =
        attempt.outcome == AttemptOutcome::disconnected || attempt.outcome == AttemptOutcome::completed;
    if (crashes_of[index] != 1 || !unique || history.isPoison(attempt.body) || ended_by_caller) continue;
    if (attempt.kind == RequestKind::at_most_once) continue;
    // An engine that rejected it and the one that crashed are as many as its route allows.
    if (rejected[index]) continue;
    // A stream that has begun can go on only at an engine of its build, of which there may be no other.
    if (context.site.builds > 1 && attempt.events > 0) continue;
    const TimePoint end = attempt.sent_at + attempt.deadline;
    const bool undisturbed =
        history.isUndisturbed(attempt.gateway, attempt.sent_at, end, kRestartTime) &&
        !history.startedBetween(attempt.gateway, crashed_at[index] - kRetryBudgetWindow, end) &&
        history.partitionState(attempt.gateway, end, kRetryBudgetWindow) == PartitionState::none &&
        history.areEnginesSound(attempt.sent_at - kRetryBudgetWindow, end) &&
        history.isStoreUndisturbed(attempt.sent_at - context.site.key_validity, end) &&
        history.areConnectionsUndisturbed(attempt.sent_at - kRestartTime, end) &&
        history.areMessagesUndisturbed(attempt.sent_at - kRestartTime, end);
    const bool enough_engines =
        history.crashedEngines(attempt.sent_at - kRestartTime, end) * kEnginesPerCrash <=
            context.site.engines &&
        history.crashedEngines(crashed_at[index] - kTolerance, crashed_at[index] + kTolerance) == 1;
    if (!undisturbed || !enough_engines) continue;
    violations.push_back(
        {"innocent_served",
         fmt::format("attempt {} of body {} at gateway-{} lost its engine at {:.3f} s and ended "
                     "as {} at {:.3f} s",
                     index, attempt.body, attempt.gateway, secondsOfRun(crashed_at[index]),
                     static_cast<int>(attempt.outcome), secondsOfRun(attempt.ended_at))});
  }
}

/// A gateway sends at most one attempt of a suspicious request at a time, and does not send two suspicious
/// requests to one engine process at a time.
void checkIsolation(const FleetHistory& history, Violations& violations) {
  std::vector<const EngineRun*> suspicious;
  for (const EngineRun& run : history.records().runs) {
    const std::vector<BodyCrash> crashes = history.crashesOf(run.body, run.sent_at - kTolerance);
    if (history.crashesInSequence(run.body, run.sent_at - kTolerance, run.sent_at,
                                  FleetHistory::Bound::lower) < kCrashesUntilIsolated)
      continue;
    if (history.hasReceived(run.gateway, crashes, run.sent_at)) suspicious.push_back(&run);
  }
  for (const EngineRun* run : suspicious) {
    for (const EngineRun* other : suspicious) {
      const bool arrived = other->arrived_at > other->sent_at;
      const bool crashed = history.crashedBetween(other->engine, other->sent_at, run->sent_at);
      // The close of an attempt that the gateway has cancelled takes a few milliseconds to arrive.
      const bool overlaps = arrived && !crashed && other->sent_at < run->sent_at &&
                            (!other->ended_at || *other->ended_at > run->sent_at + kCloseTime);
      if (other == run || other->gateway != run->gateway || !overlaps) continue;
      const bool same_process = other->engine == run->engine && other->engine_start == run->engine_start;
      if (other->body != run->body && !same_process) continue;
      violations.push_back(
          {"isolation",
           fmt::format("gateway-{} sent body {} at {:.3f} s to engine-{} beside body {} at engine-{}",
                       run->gateway, run->body, secondsOfRun(run->sent_at), run->engine, other->body,
                       other->engine)});
    }
  }
}

/// Gateways that can exchange messages hold the same evidence.
void checkAgreement(const FleetHistory& history, const FleetContext& context, FleetWorld& world,
                    Violations& violations) {
  const TimePoint end = context.queue.now();
  if (!history.areMessagesUndisturbed(end - kAgreementTime, end)) return;
  std::set<std::uint64_t> digests;
  for (std::uint32_t number = 0; number < context.site.gateways; ++number) {
    if (history.isUndisturbed(number, end, end, kAgreementTime + kTolerance))
      digests.insert(world.gateways()[number]->crashDigest());
  }
  if (digests.size() > 1)
    violations.push_back({"agreement", fmt::format("{} different digests", digests.size())});
}

/// No request is admitted by keys that the store has not confirmed within their validity. A request that was
/// admitted before may continue.
void checkKeys(const FleetHistory& history, const FleetContext& context, Violations& violations) {
  for (const EngineRun& run : history.records().runs) {
    const Duration age = run.admitted_at - run.confirmed_at;
    if (age <= context.site.key_validity + kKeyTolerance) continue;
    violations.push_back(
        {"keys", fmt::format("gateway-{} took attempt {} at {:.3f} s by keys of {:.3f} s before", run.gateway,
                             run.attempt, secondsOfRun(run.admitted_at), toSeconds(age))});
  }
}

/// No gateway sends a request to an engine process later than the departure limit after the store took its
/// departure, unless the gateway or the store was disturbed so shortly before that it may not know of it.
void checkDepartures(const FleetHistory& history, Violations& violations) {
  std::map<std::pair<std::uint32_t, std::uint64_t>, TimePoint> listed_at;
  for (const EngineDeparture& departure : history.records().departures) {
    listed_at.try_emplace({departure.engine, departure.engine_start}, departure.listed_at);
  }
  for (const EngineRun& run : history.records().runs) {
    const auto departed = listed_at.find({run.engine, run.engine_start});
    if (departed == listed_at.end() || run.sent_at <= departed->second + kDepartureLimit) continue;
    const TimePoint from = run.sent_at - kContactTime;
    const bool undisturbed = history.isUndisturbed(run.gateway, run.sent_at, run.sent_at, kContactTime) &&
                             history.isStoreUndisturbed(from, run.sent_at) &&
                             history.areMessagesUndisturbed(from, run.sent_at);
    if (!undisturbed) continue;
    violations.push_back(
        {"departure",
         fmt::format("gateway-{} sent body {} at {:.3f} s to engine-{}, whose departure was listed "
                     "at {:.3f} s",
                     run.gateway, run.body, secondsOfRun(run.sent_at), run.engine,
                     secondsOfRun(departed->second))});
  }
}

/// Callers of gateways that do not reach most engines are served nearly as well as those of the others, from
/// the time on by which the gateways know of the partition, as long as most gateways reach the engines.
void checkPartitionedGateways(const FleetHistory& history, Violations& violations) {
  struct FirstAttempts {
    std::size_t sent = 0;
    std::size_t served = 0;
    double share() const { return double(served) / double(std::max<std::size_t>(sent, 1)); }
  };
  FirstAttempts partitioned;
  FirstAttempts others;
  for (const Attempt& attempt : history.records().attempts) {
    const bool is_judged = !attempt.is_retry && !history.isPoison(attempt.body) &&
                           attempt.outcome != AttemptOutcome::disconnected;
    const auto state = history.partitionState(attempt.gateway, attempt.sent_at, kContactTime);
    if (!is_judged || state == PartitionState::changing) continue;
    if (!history.mostReachEngines(attempt.sent_at, attempt.sent_at + attempt.deadline)) continue;
    if (!history.areEnginesSound(attempt.sent_at - kRetryBudgetWindow, attempt.sent_at + attempt.deadline))
      continue;
    FirstAttempts& attempts = state == PartitionState::partitioned ? partitioned : others;
    ++attempts.sent;
    attempts.served += attempt.outcome == AttemptOutcome::completed ? 1 : 0;
  }
  const std::size_t failed = partitioned.sent - partitioned.served;
  const std::size_t tolerated = kToleratedFailures + partitioned.sent / kAttemptsPerToleratedFailure;
  if (others.sent == 0 || failed <= tolerated) return;
  if (partitioned.share() >= others.share() * kMinPartitionedShare) return;
  violations.push_back(
      {"partitioned_served",
       fmt::format("partitioned gateways served {} of {} first attempts, the others {} of {}",
                   partitioned.served, partitioned.sent, others.served, others.sent)});
}

void checkResponses(const FleetHistory& history, Violations& violations) {
  const Records& records = history.records();
  for (std::size_t index = 0; index < records.attempts.size(); ++index) {
    const Attempt& attempt = records.attempts[index];
    if (attempt.events_broken) violations.push_back({"whole_streams", fmt::format("attempt {}", index)});
    if (attempt.outcome == AttemptOutcome::pending)
      violations.push_back({"final_answers", fmt::format("attempt {}", index)});
  }
  std::vector<std::uint32_t> starts(records.attempts.size());
  for (const EngineRun& run : records.runs) starts[run.attempt] += run.started_at ? 1 : 0;
  for (std::size_t index = 0; index < starts.size(); ++index) {
    if (records.attempts[index].kind != RequestKind::at_most_once || starts[index] < 2) continue;
    violations.push_back({"at_most_once", fmt::format("attempt {} ran {} times", index, starts[index])});
  }
}

}  // namespace

Violations checkFleet(const FleetContext& context, FleetWorld& world) {
  const FleetHistory history(context);
  Violations violations;
  checkCrashBound(history, violations);
  checkQuarantine(history, violations);
  checkInnocentServed(history, context, violations);
  checkIsolation(history, violations);
  checkAgreement(history, context, world, violations);
  checkKeys(history, context, violations);
  checkDepartures(history, violations);
  checkPauses(history, violations);
  checkStatedDepartures(history, violations);
  checkFalls(history, context, violations);
  checkRetryBudget(history, context, violations);
  checkStreamBuilds(history, violations);
  checkStreamsGoOn(history, violations);
  if (!context.site.releases.empty()) checkUndisturbedStreams(history, violations);
  checkPartitionedGateways(history, violations);
  checkResponses(history, violations);
  return violations;
}

}  // namespace crankspur::gateway_sim
