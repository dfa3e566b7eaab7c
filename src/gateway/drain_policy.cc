#include "gateway/drain_policy.h"

namespace crankspur::gateway {
namespace {

/// A request may run longer than any that has ended lately, by this factor.
constexpr double kLongestRunFactor = 1.5;

/// With fewer, the longest run that is known says little about the next one.
constexpr std::uint32_t kMinKnownRuns = 50;

Duration withMargin(Duration longest_run) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(longest_run.count()) * kLongestRunFactor));
}

}  // namespace

void DrainPolicy::begin(const DrainTimes& times, TimePoint now) {
  if (!draining_) accepts_until_ = now + times.accepts_for;
  draining_ = true;
  ends_at_ = now + times.ends_in;
}

/// Many requests arrive while clients have not noticed the stop: they are served if they usually end in time,
/// and those that must not be repeated if the longest one does. Later only few arrive, on connections that
/// were open before: they are served if there is hardly a doubt, and never left to chance if they must not be
/// repeated.
bool DrainPolicy::mayStart(const DrainingRequest& request, TimePoint now) const {
  if (!draining_) return true;
  if (now >= ends_at_) return false;
  if (request.deadline <= ends_at_) return true;
  if (now < accepts_until_) {
    const std::optional<Duration> run = request.at_most_once ? request.longest_run : request.typical_run;
    return now + run.value_or(Duration(0)) <= ends_at_;
  }
  if (request.at_most_once || request.known_runs < kMinKnownRuns) return false;
  return request.longest_run && now + withMargin(*request.longest_run) <= ends_at_;
}

}  // namespace crankspur::gateway
