/// @file Member functions of Gateway that decide whether a request is retried, within the retry budget.

#include "gateway/gateway.h"

namespace crankspur::gateway {
namespace {

/// Limit of dispatches of one request, including those that reached no back end.
constexpr std::uint32_t kMaxDispatches = 6;

}  // namespace

bool Gateway::mayRepeat(const Entry& entry) const {
  if (entry.may_have_run && entry.route->repeatability == Repeatability::AtMostOnce) return false;
  if (entry.head_forwarded && !entry.cursor) return false;
  return entry.backends_reached < entry.route->max_attempts && entry.dispatches < kMaxDispatches;
}

/// Takes a repeat from the retry budget, unless no back end can have received the request.
/// @return whether the request may be repeated; false if the budget is exhausted.
bool Gateway::consumeRetryBudget(Entry& entry, TimePoint now) {
  if (!entry.may_have_arrived || entry.retry) return true;
  if (!budgetOf(entry.pool->name).tryRetry(snapshot_->share_divisor, now)) return false;
  entry.retry = RetryClaim{entry.pool->name, now};
  return true;
}

/// The request may have waited for a back end since its retry was decided.
void Gateway::countSentRetry(Entry& entry, TimePoint now) {
  if (!entry.retry) return;
  budgetOf(entry.retry->pool).onSent(entry.retry->consumed_at, now);
  entry.retry.reset();
}

void Gateway::retryOrGiveUp(Entry& entry, const ActiveExchange& failed, int status, TimePoint now) {
  if (mayRepeat(entry) && consumeRetryBudget(entry, now)) return retryElsewhere(entry, failed, status, now);
  reportMoved(entry, failed, status, false, now);
  giveUp(entry, now);
}

void Gateway::retryElsewhere(Entry& entry, const ActiveExchange& failed, int status, TimePoint now) {
  reportMoved(entry, failed, status, true, now);
  if (entry.cursor) entry.cursor->restart();
  place(entry, now);
}

}  // namespace crankspur::gateway
