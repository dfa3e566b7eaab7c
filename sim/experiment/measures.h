#pragma once
/// @file What an experiment reports of a run.

#include <optional>
#include <vector>

#include "sim/experiment/run.h"

namespace crankspur::experiment {

/// Figures of one run, after the warm-up.
struct Measures {
  std::uint64_t requests = 0;
  double hit_rate = 0;            ///< Prompt tokens found in the engine's own cache, of all prompt tokens.
  double reuse_rate = 0;          ///< The same with imported tokens counted in.
  double wasted_per_request = 0;  ///< Tokens recomputed although a live engine held them.
  double recomputed_per_request = 0;
  double p50_ms =
      0;  ///< Time to first token at the client; a request without one counts as twice its deadline.
  double p95_ms = 0;
  double p99_ms = 0;
  double refused_share = 0;  ///< Requests refused or without an answer.
  double missed_share = 0;   ///< Requests refused or with a first token after the deadline.
  std::vector<std::vector<double>> tenant_first_token_ms;  ///< By tenant.
  std::vector<double> tenant_refused;                      ///< By tenant: share refused.
  std::optional<double> recovery_seconds;                  ///< After a shift; empty: not within the run.
};

/// @return the figures of a run; `recovery_seconds` only when it had a hot-prefix shift.
Measures measure(const RunOptions& options, const std::vector<RequestOutcome>& outcomes);

/// @return the value that the share `quantile` of the sorted or unsorted values does not exceed; 0 when
/// empty.
double quantileOf(std::vector<double> values, double quantile);

}  // namespace crankspur::experiment
