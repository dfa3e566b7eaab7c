#include "sim/experiment/measures.h"

#include <algorithm>
#include <cmath>

namespace crankspur::experiment {
namespace {

/// Sliding window over which the reuse rate after a hot-prefix shift is measured.
constexpr double kRecoveryWindowSeconds = 2.0;
/// A run has recovered when its reuse rate is below the rate before the shift by at most this share.
constexpr double kRecoveryTolerance = 0.05;

/// @return time to first token; twice the deadline if there was none.
double firstTokenMilliseconds(const RequestOutcome& outcome, Duration deadline) {
  const bool no_first_token = outcome.refused || outcome.first_token.count() == 0;
  return toMilliseconds(no_first_token ? 2 * deadline : outcome.first_token);
}

/// @return reuse rate of the requests that arrived in the seconds [from, to) of the run; -1 if there were
/// none.
double reuseBetween(const std::vector<RequestOutcome>& outcomes, double from, double to) {
  double reused_total = 0;
  double prompt_total = 0;
  for (const RequestOutcome& outcome : outcomes) {
    const double arrival = toSeconds(outcome.at);
    if (arrival < from || arrival >= to) continue;
    reused_total += outcome.cached_tokens + outcome.imported_tokens;
    prompt_total += outcome.prompt_tokens;
  }
  return prompt_total == 0 ? -1 : reused_total / prompt_total;
}

/// @return seconds from the shift to the first window with a recovered reuse rate; nullopt if there is none.
std::optional<double> recoveryTime(const RunOptions& options, const std::vector<RequestOutcome>& outcomes) {
  const double shift = toSeconds(shiftTime(options));
  const double steady_reuse = reuseBetween(outcomes, toSeconds(options.warm_up), shift);
  const double end = toSeconds(options.length);
  for (double from = shift; from + kRecoveryWindowSeconds <= end; from += 0.5) {
    const double reuse = reuseBetween(outcomes, from, from + kRecoveryWindowSeconds);
    if (reuse >= steady_reuse * (1 - kRecoveryTolerance)) return from - shift;
  }
  return std::nullopt;
}

void measureTenants(const RunOptions& options, const std::vector<const RequestOutcome*>& measured,
                    Measures& measures) {
  const std::uint32_t tenants = options.site.shape.tenants;
  std::vector<std::vector<double>> first_tokens(tenants);
  std::vector<double> refused(tenants);
  for (const RequestOutcome* outcome : measured) {
    if (outcome->tenant >= tenants) continue;
    first_tokens[outcome->tenant].push_back(firstTokenMilliseconds(*outcome, options.site.deadline));
    refused[outcome->tenant] += outcome->refused ? 1 : 0;
  }
  for (std::uint32_t tenant = 0; tenant < tenants; ++tenant) {
    const double requests = std::max<double>(1, static_cast<double>(first_tokens[tenant].size()));
    measures.tenant_refused.push_back(refused[tenant] / requests);
    measures.tenant_first_token_ms.push_back(std::move(first_tokens[tenant]));
  }
}

}  // namespace

double quantileOf(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  const auto rank = static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(values.size())));
  const std::size_t index = std::min(values.size() - 1, rank == 0 ? 0 : rank - 1);
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
  return values[index];
}

Measures measure(const RunOptions& options, const std::vector<RequestOutcome>& outcomes) {
  std::vector<const RequestOutcome*> measured;
  for (const RequestOutcome& outcome : outcomes) {
    if (outcome.at >= options.warm_up) measured.push_back(&outcome);
  }
  Measures measures;
  measures.requests = measured.size();
  if (measured.empty()) return measures;
  double prompt_total = 0;
  double cached_total = 0;
  double imported_total = 0;
  std::vector<double> first_tokens;
  for (const RequestOutcome* outcome : measured) {
    prompt_total += outcome->prompt_tokens;
    cached_total += outcome->cached_tokens;
    imported_total += outcome->imported_tokens;
    measures.wasted_per_request += outcome->wasted_tokens;
    measures.recomputed_per_request += outcome->recomputed_tokens;
    measures.refused_share += outcome->refused || !outcome->finished ? 1 : 0;
    const bool missed_deadline =
        outcome->first_token > options.site.deadline || outcome->first_token.count() == 0;
    measures.missed_share += outcome->refused || missed_deadline ? 1 : 0;
    first_tokens.push_back(firstTokenMilliseconds(*outcome, options.site.deadline));
  }
  const auto requests = static_cast<double>(measured.size());
  measures.hit_rate = prompt_total == 0 ? 0 : cached_total / prompt_total;
  measures.reuse_rate = prompt_total == 0 ? 0 : (cached_total + imported_total) / prompt_total;
  measures.wasted_per_request /= requests;
  measures.recomputed_per_request /= requests;
  measures.refused_share /= requests;
  measures.missed_share /= requests;
  measures.p50_ms = quantileOf(first_tokens, 0.50);
  measures.p95_ms = quantileOf(first_tokens, 0.95);
  measures.p99_ms = quantileOf(first_tokens, 0.99);
  measureTenants(options, measured, measures);
  if (options.faults.shift) measures.recovery_seconds = recoveryTime(options, outcomes);
  return measures;
}

}  // namespace crankspur::experiment
