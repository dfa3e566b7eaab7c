/// @file Member functions of Gateway that decide whether a request is retried, within the retry budget.

#include "gateway/gateway.h"

namespace crankspur::gateway {
namespace {

/// Limit of dispatches of one request, including those that reached no back end.
constexpr std::uint32_t kMaxDispatches = 6;

}  // namespace

RepeatDecision Gateway::decideRepeat(Entry& entry, TimePoint now) {
  if (!mayRepeat(entry)) return RepeatDecision::not_allowed;
  if (!entry.mayHaveArrived()) return RepeatDecision::unbudgeted;
  if (isTooLate(*entry.route, entry.deadline, now)) return RepeatDecision::not_allowed;
  return reserveRetry(entry, now) ? RepeatDecision::budgeted : RepeatDecision::over_budget;
}

bool Gateway::mayRepeat(const Entry& entry) const {
  if (entry.mayHaveRun() && entry.route->repeatability == Repeatability::AtMostOnce) return false;
  if (entry.head_forwarded && !entry.cursor) return false;
  return entry.backends_reached < entry.route->max_attempts && entry.dispatches < kMaxDispatches;
}

/// Reserves a retry in the budget of the request's pool.
/// @return false if the budget is exhausted.
bool Gateway::reserveRetry(Entry& entry, TimePoint now) {
  if (entry.reserved_retry) return true;
  if (!budgetOf(entry.pool->name).tryReserve(slack_share_.at(now), now)) return false;
  entry.reserved_retry = entry.pool->name;
  return true;
}

/// A retry that is reserved may go to another pool, if that pool's budget allows it.
/// @return false if that budget is exhausted; the reservation is unchanged then.
bool Gateway::moveReservedRetry(Entry& entry, const std::string& pool, TimePoint now) {
  if (!entry.reserved_retry || *entry.reserved_retry == pool) return true;
  if (!budgetOf(pool).tryReserve(slack_share_.at(now), now)) return false;
  budgetOf(*entry.reserved_retry).release();
  entry.reserved_retry = pool;
  return true;
}

/// The request may have waited for a back end since its retry was decided.
void Gateway::countSentRetry(Entry& entry, TimePoint now) {
  if (!entry.reserved_retry) return;
  budgetOf(*entry.reserved_retry).onSent(entry.original, now);
  entry.reserved_retry.reset();
  entry.original = RetryBudget::Original::ended;
}

void Gateway::retryOrGiveUp(Entry& entry, const ActiveExchange& failed, int status, TimePoint now) {
  const RepeatDecision repeat = decideRepeat(entry, now);
  if (isRepeated(repeat)) return retryElsewhere(entry, failed, status, repeat, now);
  reportMoved(entry, failed, status, repeat, now);
  giveUp(entry, now);
}

void Gateway::retryElsewhere(Entry& entry, const ActiveExchange& failed, int status, RepeatDecision repeat,
                             TimePoint now) {
  reportMoved(entry, failed, status, repeat, now);
  if (entry.cursor) entry.cursor->restart();
  place(entry, now);
}

}  // namespace crankspur::gateway
