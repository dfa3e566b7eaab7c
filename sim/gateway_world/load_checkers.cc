#include "sim/gateway_world/load_checkers.h"

#include <fmt/format.h>

#include <algorithm>

namespace crankspur::gateway_sim {
namespace {

constexpr double kToleratedFalls = 2;
constexpr double kEnginesPerToleratedFall = 10;
/// A gateway that was undisturbed for this long knows which engines are brittle.
constexpr Duration kContactTime = std::chrono::seconds(3);

double secondsOfRun(TimePoint instant) {
  return toSeconds(instant.time_since_epoch()) - 3600.0;
}

bool isCounted(const EngineFall& fall, const FleetHistory& history) {
  const auto undisturbed = std::count_if(
      fall.rejected.begin(), fall.rejected.end(),
      [&](std::uint32_t gateway) { return history.isUndisturbed(gateway, fall.at, fall.at, kContactTime); });
  return 2 * static_cast<std::size_t>(undisturbed) > fall.rejected.size();
}

/// @param times sorted.
/// @return the number of times in the window that begins at `from`.
double countFrom(const std::vector<TimePoint>& times, TimePoint from, Duration window) {
  const auto first = std::lower_bound(times.begin(), times.end(), from);
  return static_cast<double>(std::lower_bound(first, times.end(), from + window) - first);
}

/// @return when requests arrived at engines, beyond the first one of each attempt; sorted.
std::vector<TimePoint> findRepeats(const Records& records) {
  std::vector<std::vector<TimePoint>> arrivals(records.attempts.size());
  for (const EngineRun& run : records.runs) {
    if (run.arrived_at > run.sent_at) arrivals[run.attempt].push_back(run.arrived_at);
  }
  std::vector<TimePoint> repeats;
  for (std::vector<TimePoint>& of_attempt : arrivals) {
    std::sort(of_attempt.begin(), of_attempt.end());
    if (of_attempt.size() > 1) repeats.insert(repeats.end(), of_attempt.begin() + 1, of_attempt.end());
  }
  std::sort(repeats.begin(), repeats.end());
  return repeats;
}

}  // namespace

void checkFalls(const FleetHistory& history, const FleetContext& context, sim::Violations& violations) {
  const double tolerated = kToleratedFalls + context.site.engines / kEnginesPerToleratedFall;
  for (const BrittlePeriod& period : history.records().brittle_periods) {
    const auto& falls = history.records().falls;
    const auto counted = std::count_if(falls.begin(), falls.end(), [&](const EngineFall& fall) {
      return fall.at >= period.from && fall.at < period.to && isCounted(fall, history);
    });
    if (static_cast<double>(counted) <= tolerated) continue;
    violations.push_back(
        {"falls", fmt::format("{} falls of {} brittle engines from {:.3f} s to {:.3f} s, {:.1f} "
                              "are tolerated",
                              counted, context.site.engines, secondsOfRun(period.from),
                              secondsOfRun(period.to), tolerated)});
  }
}

void checkRetryBudget(const FleetHistory& history, const FleetContext& context, sim::Violations& violations) {
  const gateway::RetryBudgetSettings budget = retryBudgetOf(context.site);
  std::vector<TimePoint> requests;
  for (const Attempt& attempt : history.records().attempts) requests.push_back(attempt.sent_at);
  std::sort(requests.begin(), requests.end());
  const std::vector<TimePoint> repeats = findRepeats(history.records());
  for (const TimePoint from : repeats) {
    const double sent = countFrom(repeats, from, budget.window);
    const double counted = std::max({countFrom(requests, from, budget.window),
                                     countFrom(requests, from - budget.window, budget.window),
                                     countFrom(requests, from - budget.window / 2, budget.window)});
    const double allowed = budget.ratio * counted + budget.slack;
    if (sent <= allowed) continue;
    violations.push_back(
        {"retry_budget",
         fmt::format("{:.0f} repeats from {:.3f} s on for {:.0f} requests, {:.1f} are allowed", sent,
                     secondsOfRun(from), counted, allowed)});
    return;
  }
}

}  // namespace crankspur::gateway_sim
