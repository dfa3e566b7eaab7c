#include "sim/gateway_world/stream_checkers.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace crankspur::gateway_sim {
namespace {

/// Streams that callers resume within this time after a kill of all gateways are judged together.
constexpr Duration kResumeWindow = std::chrono::seconds(5);
/// An engine that starts another request within this time before a stream was refused serves.
constexpr Duration kServingWindow = std::chrono::seconds(1);
/// The store has to work from this time before the kill on, so that gateways can write and read their
/// records.
constexpr Duration kRecordTime = std::chrono::seconds(2);
constexpr std::size_t kMinRefusedStreams = 5;

/// A stream that callers resumed after a kill.
struct ResumedStream {
  bool went_on = false;  ///< An engine started to run a continuation.
  bool refused = false;  ///< A gateway refused it while engines of its build served other requests.
};

double secondsOfRun(TimePoint instant) {
  return toSeconds(instant.time_since_epoch()) - 3600.0;
}

std::uint64_t streamOf(const Records& records, const EngineRun& run) {
  return records.attempts[run.attempt].begun_by;
}

bool isWithin(TimePoint at, TimePoint from, TimePoint to) {
  return at >= from && at < to;
}

/// @return the build that began each stream: that of the last run before its first continuation.
std::map<std::uint64_t, std::uint32_t> buildsOfStreams(const Records& records) {
  std::map<std::uint64_t, std::uint32_t> builds;
  std::map<std::uint64_t, bool> continued;
  for (const EngineRun& run : records.runs) {
    const std::uint64_t stream = streamOf(records, run);
    if (run.resume_after > 0) {
      continued[stream] = true;
    } else if (!continued[stream]) {
      builds[stream] = run.build;
    }
  }
  return builds;
}

/// @return whether nothing but kills of all gateways affected a gateway.
bool areGatewaysUndisturbed(const Records& records, TimePoint from, TimePoint to) {
  const auto is_kill = [&records](const Disturbance& disturbance) {
    const auto& kills = records.fleet_kills;
    return std::find(kills.begin(), kills.end(), disturbance.from) != kills.end();
  };
  return std::all_of(records.gateways.begin(), records.gateways.end(), [&](const auto& disturbances) {
    return std::all_of(disturbances.begin(), disturbances.end(), [&](const Disturbance& disturbance) {
      return is_kill(disturbance) || disturbance.to < from || disturbance.from >= to;
    });
  });
}

bool isServing(const Records& records, std::uint32_t build, TimePoint from, TimePoint to) {
  return std::any_of(records.runs.begin(), records.runs.end(), [&](const EngineRun& run) {
    return run.build == build && run.resume_after == 0 && run.started_at &&
           isWithin(*run.started_at, from, to);
  });
}

/// @return the streams that callers resumed in a period, by the attempt that began them.
std::map<std::uint64_t, ResumedStream> resumedBetween(const Records& records, TimePoint from, TimePoint to) {
  const std::map<std::uint64_t, std::uint32_t> builds = buildsOfStreams(records);
  std::map<std::uint64_t, ResumedStream> streams;
  for (std::size_t index = 0; index < records.attempts.size(); ++index) {
    const Attempt& attempt = records.attempts[index];
    const bool resumes = attempt.begun_by != index;
    if (!resumes || !isWithin(attempt.sent_at, from, to)) continue;
    ResumedStream& stream = streams[attempt.begun_by];
    const auto build = builds.find(attempt.begun_by);
    const bool refused = attempt.outcome == AttemptOutcome::refused && isWithin(attempt.ended_at, from, to);
    if (!refused || stream.refused || build == builds.end()) continue;
    const TimePoint serving_from = std::max(from, attempt.ended_at - kServingWindow);
    stream.refused = isServing(records, build->second, serving_from, attempt.ended_at);
  }
  for (const EngineRun& run : records.runs) {
    const auto stream = streams.find(streamOf(records, run));
    const bool goes_on = run.resume_after > 0 && run.started_at && isWithin(*run.started_at, from, to);
    if (goes_on && stream != streams.end()) stream->second.went_on = true;
  }
  return streams;
}

/// @return whether nothing affects the gateways and their ways to each other and to the store.
bool isFleetUndisturbed(const FleetHistory& history, TimePoint from, TimePoint to) {
  const Records& records = history.records();
  for (std::uint32_t gateway = 0; gateway < records.gateways.size(); ++gateway) {
    if (!history.isUndisturbed(gateway, from, to, Duration(0))) return false;
  }
  return history.isStoreUndisturbed(from, to) && history.areMessagesUndisturbed(from, to);
}

}  // namespace

void checkStreamBuilds(const FleetHistory& history, sim::Violations& violations) {
  const Records& records = history.records();
  std::map<std::uint64_t, std::uint32_t> builds = buildsOfStreams(records);
  for (const EngineRun& run : records.runs) {
    if (run.resume_after == 0 || !run.started_at) continue;
    const std::uint32_t build = builds[streamOf(records, run)];
    if (run.build == build) continue;
    violations.push_back(
        {"stream_builds",
         fmt::format("gateway-{} sent attempt {} at {:.3f} s to engine-{} of build {}, its "
                     "stream began at build {}",
                     run.gateway, run.attempt, secondsOfRun(run.sent_at), run.engine, run.build, build)});
  }
}

void checkStreamsGoOn(const FleetHistory& history, sim::Violations& violations) {
  const Records& records = history.records();
  for (std::size_t index = 0; index < records.fleet_kills.size(); ++index) {
    const TimePoint killed_at = records.fleet_kills[index];
    const bool is_last = index + 1 == records.fleet_kills.size();
    const TimePoint next = is_last ? TimePoint::max() : records.fleet_kills[index + 1];
    const TimePoint end = std::min(next, killed_at + kResumeWindow);
    const bool undisturbed = areGatewaysUndisturbed(records, killed_at - kRecordTime, end) &&
                             history.isStoreUndisturbed(killed_at - kRecordTime, end) &&
                             history.areMessagesUndisturbed(killed_at - kRecordTime, end);
    if (!undisturbed) continue;
    std::size_t refused = 0;
    std::size_t went_on = 0;
    for (const auto& [stream, outcome] : resumedBetween(records, killed_at, end)) {
      refused += outcome.refused ? 1 : 0;
      went_on += outcome.went_on ? 1 : 0;
    }
    if (refused < kMinRefusedStreams || went_on > 0) continue;
    violations.push_back(
        {"streams_go_on", fmt::format("after the kill of all gateways at {:.3f} s, none of {} "
                                      "resumed streams went on",
                                      secondsOfRun(killed_at), refused)});
  }
}

void checkUndisturbedStreams(const FleetHistory& history, sim::Violations& violations) {
  const Records& records = history.records();
  // A kill of all gateways takes the origins of streams that are resumed long after it.
  if (!records.fleet_kills.empty()) return;
  const std::map<std::uint64_t, std::uint32_t> builds = buildsOfStreams(records);
  std::set<std::uint64_t> continued;
  for (const EngineRun& run : records.runs) {
    if (run.resume_after > 0 && run.started_at) continued.insert(run.attempt);
  }
  std::size_t refused = 0;
  std::size_t went_on = 0;
  for (std::uint64_t index = 0; index < records.attempts.size(); ++index) {
    const Attempt& attempt = records.attempts[index];
    const auto build = builds.find(attempt.begun_by);
    const bool resumes = attempt.begun_by != index && build != builds.end();
    if (!resumes || !isFleetUndisturbed(history, attempt.sent_at - kResumeWindow, attempt.ended_at)) continue;
    went_on += continued.contains(index) ? 1 : 0;
    const bool is_refused = attempt.outcome == AttemptOutcome::refused;
    // Runs before the refusal may be of an engine that has just crashed, the only one of its build.
    const TimePoint serving_until = attempt.ended_at + kServingWindow;
    const bool serves = is_refused && isServing(records, build->second, attempt.ended_at, serving_until);
    refused += serves ? 1 : 0;
  }
  if (refused < kMinRefusedStreams || went_on >= refused) return;
  violations.push_back(
      {"streams_go_on",
       fmt::format("without a fault of gateways, {} resumed streams were refused and {} went on although "
                   "engines of their builds served",
                   refused, went_on)});
}

}  // namespace crankspur::gateway_sim
