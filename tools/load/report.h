#pragma once
/// @file Reports of load runs as text and as comma-separated values.

#include <string>
#include <vector>

#include "tools/load/load_run.h"

namespace crankspur::load {

/// Percentiles of a latency, in milliseconds.
struct Percentiles {
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double maximum = 0;
};

/// @return nearest-rank percentiles of the values; zeros when there are no values.
Percentiles computePercentiles(std::vector<double> milliseconds);

/// Totals of a run or of one tenant's requests.
struct LoadSummary {
  std::string name;
  std::uint64_t requests = 0;
  std::uint64_t whole = 0;
  std::uint64_t wrong = 0;
  std::uint64_t cut = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t no_answer = 0;
  std::uint64_t prompt_tokens = 0;  ///< Of complete responses.
  std::uint64_t cached_tokens = 0;
  double requests_per_second = 0;  ///< Complete responses per second of the run.
  Percentiles first_token;         ///< Of complete responses.
  Percentiles total;

  /// @return the ratio of cached to prompt tokens.
  double hitRate() const;
};

/// @return the totals of all requests, followed by those of each tenant in order of name.
std::vector<LoadSummary> summarize(const LoadRunResult& result);

std::string formatTextReport(const LoadRunResult& result, const std::vector<LoadSummary>& summaries);
std::string formatCsvReport(const std::vector<LoadSummary>& summaries);

}  // namespace crankspur::load
