#include "sim/gateway_world/fleet_checkers.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "sim/gateway_world/fleet_history.h"

namespace crankspur::gateway_sim {
namespace {

using sim::Violations;

constexpr Duration kSlack = std::chrono::seconds(1);
/// Gateways that have been in touch for so long hold the same evidence.
constexpr Duration kAgreement = std::chrono::seconds(3);
/// From the answer of the store that vouches for keys to the act that rests on it.
constexpr Duration kKeySlack = std::chrono::milliseconds(20);
/// One in so many engines may crash around a request which still has to be served.
constexpr std::size_t kSpared = 4;
constexpr std::uint32_t kCrashesAllowed = 3;
constexpr std::uint32_t kCrashesUntilIsolated = 2;
constexpr std::uint32_t kConcurrentCrashes = 4;
constexpr Duration kRestartTime = std::chrono::seconds(5);

double seconds(TimePoint instant) {
  return toSeconds(instant.time_since_epoch()) - 3600.0;
}

/// A request that crashed three engines is not sent again before its quarantine is over.
void checkCrashBound(const FleetHistory& history, Violations& violations) {
  for (const EngineRun& run : history.records().runs) {
    if (!history.isPoison(run.body)) continue;
    const std::vector<CrashUnderBody> crashes = history.crashesUnder(run.body, run.sent_at - kSlack);
    if (history.crashesInSequence(run.body, run.sent_at - kSlack, run.sent_at,
                                  FleetHistory::Count::at_least) < kCrashesAllowed)
      continue;
    const auto known = std::find_if(crashes.rbegin(), crashes.rend(),
                                    [](const CrashUnderBody& crash) { return !crash.silent; });
    if (run.sent_at >= known->at + history.quarantineAfter(kCrashesAllowed) - kSlack) continue;
    if (!history.knows(run.gateway, crashes, run.sent_at)) continue;
    violations.push_back(
        {"crash_bound", fmt::format("gateway-{} sent body {} at {:.3f} s, {} engines had crashed under it, "
                                    "the last at {:.3f} s",
                                    run.gateway, run.body, seconds(run.sent_at), crashes.size(),
                                    seconds(crashes.back().at))});
  }
}

/// Nothing is refused as quarantined unless engines crashed under it, and not after its quarantine.
void checkQuarantine(const FleetHistory& history, Violations& violations) {
  for (const Attempt& attempt : history.records().attempts) {
    if (attempt.end != AttemptEnd::quarantined) continue;
    const std::vector<CrashUnderBody> crashes = history.crashesUnder(attempt.body, attempt.ended_at);
    const std::uint32_t counted = history.crashesInSequence(attempt.body, attempt.ended_at, attempt.ended_at,
                                                            FleetHistory::Count::at_most);
    const bool at_once = crashes.size() >= kConcurrentCrashes && counted >= kCrashesUntilIsolated;
    if (counted < kCrashesAllowed && !at_once) {
      violations.push_back(
          {"quarantine_truth",
           fmt::format("gateway-{} refused body {} at {:.3f} s after {} crashes in sequence, {} in all",
                       attempt.gateway, attempt.body, seconds(attempt.ended_at), counted, crashes.size())});
      continue;
    }
    const TimePoint over = crashes.back().at + history.quarantineAfter(crashes.size()) + kSlack;
    if (attempt.ended_at <= over) continue;
    violations.push_back(
        {"quarantine_release",
         fmt::format("gateway-{} refused body {} at {:.3f} s, its quarantine was over at "
                     "{:.3f} s",
                     attempt.gateway, attempt.body, seconds(attempt.ended_at), seconds(over))});
  }
}

/// A request that may be repeated and whose engine crashed is served elsewhere.
void checkInnocentServed(const FleetHistory& history, const FleetContext& context, Violations& violations) {
  const Records& records = history.records();
  std::vector<std::uint32_t> crashes_of(records.attempts.size());
  std::vector<TimePoint> crashed_at(records.attempts.size());
  for (const EngineCrash& crash : records.crashes) {
    for (const std::size_t index : crash.during) {
      crashes_of[records.runs[index].attempt] +=
          crash.silent ? 2 : 1;  // Silence takes its time to be noticed.
      crashed_at[records.runs[index].attempt] = crash.at;
    }
  }
  for (std::size_t index = 0; index < records.attempts.size(); ++index) {
    const Attempt& attempt = records.attempts[index];
    const bool unique = attempt.body > context.site.popular_bodies;
    const bool ended_by_caller = attempt.end == AttemptEnd::left || attempt.end == AttemptEnd::answered;
    if (crashes_of[index] != 1 || !unique || history.isPoison(attempt.body) || ended_by_caller) continue;
    if (attempt.kind == RequestKind::at_most_once) continue;
    const TimePoint end = attempt.sent_at + attempt.deadline;
    const bool calm = history.isUndisturbed(attempt.gateway, attempt.sent_at, end, kRestartTime) &&
                      history.isStoreUndisturbed(attempt.sent_at - context.site.key_validity, end) &&
                      history.areConnectionsUndisturbed(attempt.sent_at - kRestartTime, end) &&
                      history.areMessagesUndisturbed(attempt.sent_at - kRestartTime, end);
    const bool room =
        history.crashedEngines(attempt.sent_at - kRestartTime, end) * kSpared <= context.site.engines &&
        history.crashedEngines(crashed_at[index] - kSlack, crashed_at[index] + kSlack) == 1;
    if (!calm || !room) continue;
    violations.push_back(
        {"innocent_served",
         fmt::format("attempt {} of body {} at gateway-{} lost its engine at {:.3f} s and ended "
                     "as {} at {:.3f} s",
                     index, attempt.body, attempt.gateway, seconds(crashed_at[index]),
                     static_cast<int>(attempt.end), seconds(attempt.ended_at))});
  }
}

/// Requests that may crash engines run one at a time at a gateway, and not beside each other at an engine.
void checkIsolation(const FleetHistory& history, Violations& violations) {
  std::vector<const EngineRun*> suspicious;
  for (const EngineRun& run : history.records().runs) {
    const std::vector<CrashUnderBody> crashes = history.crashesUnder(run.body, run.sent_at - kSlack);
    if (history.crashesInSequence(run.body, run.sent_at - kSlack, run.sent_at,
                                  FleetHistory::Count::at_least) < kCrashesUntilIsolated)
      continue;
    if (history.knows(run.gateway, crashes, run.sent_at)) suspicious.push_back(&run);
  }
  for (const EngineRun* run : suspicious) {
    for (const EngineRun* other : suspicious) {
      const bool arrived = other->arrived_at > other->sent_at;
      const bool lost = history.crashedBetween(other->engine, other->sent_at, run->sent_at);
      const bool overlaps = arrived && !lost && other->sent_at < run->sent_at &&
                            (!other->ended_at || *other->ended_at > run->sent_at);
      if (other == run || other->gateway != run->gateway || !overlaps) continue;
      const bool same_place = other->engine == run->engine && other->engine_start == run->engine_start;
      if (other->body != run->body && !same_place) continue;
      violations.push_back(
          {"isolation",
           fmt::format("gateway-{} sent body {} at {:.3f} s to engine-{} beside body {} at engine-{}",
                       run->gateway, run->body, seconds(run->sent_at), run->engine, other->body,
                       other->engine)});
    }
  }
}

/// Gateways in touch hold the same evidence.
void checkAgreement(const FleetHistory& history, const FleetContext& context, FleetWorld& world,
                    Violations& violations) {
  const TimePoint end = context.queue.now();
  if (!history.areMessagesUndisturbed(end - kAgreement, end)) return;
  std::set<std::uint64_t> digests;
  for (std::uint32_t number = 0; number < context.site.gateways; ++number) {
    if (history.isUndisturbed(number, end, end, kAgreement + kSlack))
      digests.insert(world.gateways()[number]->crashDigest());
  }
  if (digests.size() > 1)
    violations.push_back({"agreement", fmt::format("{} different digests", digests.size())});
}

/// No request is taken by keys that the store has not vouched for in their time. One that was taken may go
/// on.
void checkKeys(const FleetHistory& history, const FleetContext& context, Violations& violations) {
  for (const EngineRun& run : history.records().runs) {
    const Duration age = run.admitted_at - run.vouched_at;
    if (age <= context.site.key_validity + kKeySlack) continue;
    violations.push_back(
        {"keys", fmt::format("gateway-{} took attempt {} at {:.3f} s by keys of {:.3f} s before", run.gateway,
                             run.attempt, seconds(run.admitted_at), toSeconds(age))});
  }
}

void checkAnswers(const FleetHistory& history, Violations& violations) {
  const Records& records = history.records();
  for (std::size_t index = 0; index < records.attempts.size(); ++index) {
    const Attempt& attempt = records.attempts[index];
    if (attempt.events_broken) violations.push_back({"whole_streams", fmt::format("attempt {}", index)});
    if (attempt.end == AttemptEnd::none)
      violations.push_back({"final_answers", fmt::format("attempt {}", index)});
  }
  std::vector<std::uint32_t> begun(records.attempts.size());
  for (const EngineRun& run : records.runs) begun[run.attempt] += run.began_at ? 1 : 0;
  for (std::size_t index = 0; index < begun.size(); ++index) {
    if (records.attempts[index].kind != RequestKind::at_most_once || begun[index] < 2) continue;
    violations.push_back({"at_most_once", fmt::format("attempt {} ran {} times", index, begun[index])});
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
  checkAnswers(history, violations);
  return violations;
}

}  // namespace crankspur::gateway_sim
