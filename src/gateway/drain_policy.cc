#include "gateway/drain_policy.h"

namespace crankspur::gateway {
namespace {

/// A request may run longer than any that has ended lately, by this factor.
constexpr double kLongestRunFactor = 1.5;

Duration withMargin(Duration longest_run) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(longest_run.count()) * kLongestRunFactor));
}

}  // namespace

void DrainPolicy::begin(const DrainTimes& times, TimePoint now) {
  if (!draining_) accepts_until_ = now + times.accepts_for;
  draining_ = true;
  ends_at_ = now + times.ends_in;
}

/// Clients that have not noticed the stop are served if their request usually ends in time. Later only
/// requests on connections that were open before arrive; few lose by a refusal, so that it takes less to
/// refuse them. A request that must not be repeated is never left to chance.
bool DrainPolicy::mayStart(const DrainingRequest& request, TimePoint now) const {
  if (!draining_ || request.deadline <= ends_at_) return true;
  const bool accepts = now < accepts_until_;
  if (accepts && !request.at_most_once) return now + request.typical_run.value_or(Duration(0)) <= ends_at_;
  if (!request.longest_run) return accepts;
  return now + withMargin(*request.longest_run) <= ends_at_;
}

}  // namespace crankspur::gateway
