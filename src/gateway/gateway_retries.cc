/// @file Member functions of Gateway that decide whether a request is retried, within the retry budget.

#include <algorithm>

#include "gateway/gateway.h"

namespace crankspur::gateway {
namespace {

/// Limit of dispatches of one request, including those that reached no back end.
constexpr std::uint32_t kMaxDispatches = 6;
/// Part of the slack that a process uses, and part that processes use in their first window.
constexpr double kSlackOfProcess = 2.0 / 3;
constexpr double kSlackAfterStart = 1.0 / 3;

}  // namespace

/// @return retries that this gateway may send in a window whatever it receives. An earlier process of this
/// gateway may have used its slack shortly before it ended. So a process uses two thirds of the gateway's
/// share, and in the first window after its start one third, which it has gradually: processes that follow
/// each other within one window use that third together.
double Gateway::retrySlack(TimePoint now) const {
  const RetryBudgetSettings& budget = settings_.retry_budget;
  const double age = toSeconds(now - started_at_.value_or(now)) / toSeconds(budget.window);
  const double part = age < 1 ? kSlackAfterStart * std::max(age, 0.0) : kSlackOfProcess;
  return budget.slack / std::max(snapshot_->share_divisor, 1U) * part;
}

RepeatDecision Gateway::decideRepeat(Entry& entry, TimePoint now) {
  if (!mayRepeat(entry)) return RepeatDecision::not_allowed;
  if (!entry.mayHaveArrived()) return RepeatDecision::unbudgeted;
  return consumeRetryBudget(entry, now) ? RepeatDecision::budgeted : RepeatDecision::over_budget;
}

bool Gateway::mayRepeat(const Entry& entry) const {
  if (entry.mayHaveRun() && entry.route->repeatability == Repeatability::AtMostOnce) return false;
  if (entry.head_forwarded && !entry.cursor) return false;
  return entry.backends_reached < entry.route->max_attempts && entry.dispatches < kMaxDispatches;
}

/// Reserves a repeat in the retry budget.
/// @return false if the budget is exhausted.
bool Gateway::consumeRetryBudget(Entry& entry, TimePoint now) {
  if (entry.reserved_retry) return true;
  if (!budgetOf(entry.pool->name).tryReserve(retrySlack(now), now)) return false;
  entry.reserved_retry = entry.pool->name;
  return true;
}

/// The request may have waited for a back end since its retry was decided.
void Gateway::countSentRetry(Entry& entry, TimePoint now) {
  if (!entry.reserved_retry) return;
  budgetOf(*entry.reserved_retry).onSent(now);
  entry.reserved_retry.reset();
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
