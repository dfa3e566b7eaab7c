/// @file Checker of orders while the table service is down for long.

#include <fmt/format.h>

#include "sim/check/checkers.h"

namespace crankspur::sim {

namespace {

/// Time in which routers find out that the table is down or up again.
constexpr Duration kNoticeTime = std::chrono::seconds(10);

void checkProgress(const Records& records, Violations& violations) {
  const TimeSpan& outage = records.table_outage->span;
  std::size_t answered = 0;
  for (const CallerRecord& caller : records.callers) {
    const bool order = !caller.request.idempotency_key.empty();
    const bool within = caller.submitted_at >= outage.from + kNoticeTime && caller.submitted_at < outage.to;
    if (!order || !within) continue;
    if (caller.end) ++answered;
    if (!caller.error || caller.error->code != ErrorCode::ClaimUnavailable) continue;
    violations.push_back(
        {"outage_progress",
         fmt::format(
             "{} was refused {:.1f} s into the table's outage though a majority of the group lives: {}",
             caller.request.request_id, toSeconds(caller.submitted_at - outage.from),
             caller.error->message)});
  }
  if (answered == 0) violations.push_back({"outage_progress", "no order was answered during the outage"});
}

}  // namespace

void checkTableOutage(const CheckInput& input, Violations& violations) {
  const Records& records = input.world.context().records;
  if (!records.table_outage || !records.table_outage->majority_live) return;
  checkProgress(records, violations);
}

}  // namespace crankspur::sim
