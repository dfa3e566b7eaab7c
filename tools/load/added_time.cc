#include "tools/load/added_time.h"

#include <fmt/format.h>

namespace crankspur::load {

namespace {

struct Way {
  std::vector<double> first_token;
  std::vector<double> total;
};

void add(Way& way, const CallOutcome& outcome) {
  way.first_token.push_back(toMilliseconds(outcome.first_token));
  way.total.push_back(toMilliseconds(outcome.total));
}

std::string line(const char* name, const Percentiles& direct, const Percentiles& routed) {
  return fmt::format(
      "{:12} direct p50 {:8.3f} p95 {:8.3f} p99 {:8.3f}   routed p50 {:8.3f} p95 {:8.3f} p99 {:8.3f}"
      "   added p50 {:7.3f} p95 {:7.3f} p99 {:7.3f}   upper bound p99 {:7.3f}\n",
      name, direct.p50, direct.p95, direct.p99, routed.p50, routed.p95, routed.p99, routed.p50 - direct.p50,
      routed.p95 - direct.p95, routed.p99 - direct.p99, routed.p99 - direct.p50);
}

}  // namespace

AddedTime measureAddedTime(const Bundle& bundle, const LoadRunOptions& options, const std::string& engine) {
  LoadRunOptions both = options;
  both.targets.clear();
  for (const Target& target : options.targets) {
    both.targets.push_back(target);
    both.targets.push_back({TargetKind::Engine, engine});
  }
  const LoadRunResult result = runLoad(bundle, both);
  Way direct;
  Way routed;
  AddedTime measured;
  for (const CallOutcome& outcome : result.outcomes) {
    if (outcome.verdict != Verdict::Whole) {
      ++measured.bad_answers;
    } else {
      add(outcome.target == TargetKind::Engine ? direct : routed, outcome);
    }
  }
  measured.direct_requests = direct.total.size();
  measured.routed_requests = routed.total.size();
  measured.direct_first_token = percentilesOf(std::move(direct.first_token));
  measured.routed_first_token = percentilesOf(std::move(routed.first_token));
  measured.direct_total = percentilesOf(std::move(direct.total));
  measured.routed_total = percentilesOf(std::move(routed.total));
  return measured;
}

std::string addedTimeReport(const AddedTime& measured) {
  return fmt::format("whole answers: {} direct, {} routed; not whole: {}; times in ms\n",
                     measured.direct_requests, measured.routed_requests, measured.bad_answers) +
         line("first token", measured.direct_first_token, measured.routed_first_token) +
         line("whole answer", measured.direct_total, measured.routed_total) +
         "added: difference of the percentiles; upper bound: routed p99 less direct p50\n";
}

}  // namespace crankspur::load
