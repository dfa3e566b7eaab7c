#include "tools/load/added_time.h"

#include <fmt/format.h>

namespace crankspur::load {

namespace {

struct LatencySamples {
  std::vector<double> first_token;
  std::vector<double> total;
};

void add(LatencySamples& samples, const CallOutcome& outcome) {
  samples.first_token.push_back(toMilliseconds(outcome.first_token));
  samples.total.push_back(toMilliseconds(outcome.total));
}

std::string formatRow(const char* name, const Percentiles& direct, const Percentiles& routed) {
  return fmt::format(
      "{:12} direct p50 {:8.3f} p95 {:8.3f} p99 {:8.3f}   routed p50 {:8.3f} p95 {:8.3f} p99 {:8.3f}"
      "   added p50 {:7.3f} p95 {:7.3f} p99 {:7.3f}   upper bound p99 {:7.3f}\n",
      name, direct.p50, direct.p95, direct.p99, routed.p50, routed.p95, routed.p99, routed.p50 - direct.p50,
      routed.p95 - direct.p95, routed.p99 - direct.p99, routed.p99 - direct.p50);
}

}  // namespace

AddedTime measureAddedTime(const Bundle& bundle, const LoadRunOptions& options, const std::string& engine) {
  LoadRunOptions combined = options;
  combined.targets.clear();
  for (const Target& target : options.targets) {
    combined.targets.push_back(target);
    combined.targets.push_back({TargetKind::Engine, engine});
  }
  const LoadRunResult result = runLoad(bundle, combined);
  LatencySamples direct;
  LatencySamples routed;
  AddedTime added_time;
  for (const CallOutcome& outcome : result.outcomes) {
    if (outcome.verdict != Verdict::Whole) {
      ++added_time.incomplete_responses;
    } else {
      add(outcome.target == TargetKind::Engine ? direct : routed, outcome);
    }
  }
  added_time.direct_requests = direct.total.size();
  added_time.routed_requests = routed.total.size();
  added_time.direct_first_token = computePercentiles(std::move(direct.first_token));
  added_time.routed_first_token = computePercentiles(std::move(routed.first_token));
  added_time.direct_total = computePercentiles(std::move(direct.total));
  added_time.routed_total = computePercentiles(std::move(routed.total));
  return added_time;
}

std::string formatAddedTime(const AddedTime& added_time) {
  return fmt::format("whole answers: {} direct, {} routed; not whole: {}; times in ms\n",
                     added_time.direct_requests, added_time.routed_requests,
                     added_time.incomplete_responses) +
         formatRow("first token", added_time.direct_first_token, added_time.routed_first_token) +
         formatRow("whole answer", added_time.direct_total, added_time.routed_total) +
         "added: difference of the percentiles; upper bound: routed p99 less direct p50\n";
}

}  // namespace crankspur::load
