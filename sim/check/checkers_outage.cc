/// @file Checker of requests with an idempotency key during a long outage of the table service.

#include <fmt/format.h>

#include "sim/check/checkers.h"

namespace crankspur::sim {

namespace {

/// Time within which routers detect that the table became unavailable.
constexpr Duration kOutageDetectionTime = std::chrono::seconds(10);

void checkOutageProgress(const Records& records, Violations& violations) {
  const TimeSpan& outage = records.table_outage->span;
  std::size_t answered = 0;
  for (const CallerRecord& caller : records.callers) {
    const bool is_operation = !caller.request.idempotency_key.empty();
    const bool during_outage =
        caller.submitted_at >= outage.from + kOutageDetectionTime && caller.submitted_at < outage.to;
    if (!is_operation || !during_outage) continue;
    if (caller.end) ++answered;
    if (!caller.error || caller.error->code != ErrorCode::ClaimUnavailable) continue;
    violations.push_back(
        {"outage_progress",
         fmt::format(
             "{} was refused {:.1f} s into the table's outage though a majority of the group is live: {}",
             caller.request.request_id, toSeconds(caller.submitted_at - outage.from),
             caller.error->message)});
  }
  if (answered == 0) violations.push_back({"outage_progress", "no order was answered during the outage"});
}

}  // namespace

void checkTableOutage(const CheckInput& input, Violations& violations) {
  const Records& records = input.world.context().records;
  if (!records.table_outage || !records.table_outage->majority_live) return;
  checkOutageProgress(records, violations);
}

}  // namespace crankspur::sim
