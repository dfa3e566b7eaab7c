#pragma once
/// @file Measures that an experiment reports for a run.

#include <optional>
#include <vector>

#include "sim/experiment/run.h"

namespace crankspur::experiment {

/// Measures of one run, after the warm-up.
struct Measures {
  std::uint64_t requests = 0;
  double hit_rate = 0;            ///< Share of prompt tokens found in the engine's own cache.
  double reuse_rate = 0;          ///< The same, including imported tokens.
  double wasted_per_request = 0;  ///< Tokens recomputed although a live engine held them in its cache.
  double recomputed_per_request = 0;
  double p50_ms =
      0;  ///< Time to first token at the client; a request without one counts as twice its deadline.
  double p95_ms = 0;
  double p99_ms = 0;
  double refused_share = 0;  ///< Share of requests refused or not finished.
  double missed_share = 0;   ///< Share of requests refused or without a first token by the deadline.
  std::vector<std::vector<double>> tenant_first_token_ms;  ///< By tenant.
  std::vector<double> tenant_refused;                      ///< By tenant: share refused.
  std::optional<double> recovery_seconds;  ///< After a shift; empty: did not recover within the run.
};

/// @return the measures of a run; `recovery_seconds` is set only for runs with a hot-prefix shift.
Measures measure(const RunOptions& options, const std::vector<RequestOutcome>& outcomes);

/// @return the quantile by the nearest-rank method; 0 when empty.
/// @param values in any order.
double quantileOf(std::vector<double> values, double quantile);

}  // namespace crankspur::experiment
