#pragma once
/// @file Reports of runs, as text and as comma-separated values.

#include <string>
#include <vector>

#include "tools/load/load_run.h"

namespace crankspur::load {

/// Percentiles of one duration, in milliseconds.
struct Percentiles {
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double highest = 0;
};

/// @return the percentiles of the values (nearest rank); zeros when there is none.
Percentiles percentilesOf(std::vector<double> milliseconds);

/// Sums of a run, or of one tenant's part of it.
struct LoadSummary {
  std::string name;
  std::uint64_t requests = 0;
  std::uint64_t whole = 0;
  std::uint64_t wrong = 0;
  std::uint64_t cut = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t no_answer = 0;
  std::uint64_t prompt_tokens = 0;  ///< Of whole answers.
  std::uint64_t cached_tokens = 0;
  double requests_per_second = 0;  ///< Whole answers over the run's duration.
  Percentiles first_token;         ///< Of whole answers.
  Percentiles total;

  /// @return cached over prompt tokens.
  double hitRate() const;
};

/// @return the sums of all requests first, then those of each tenant by name.
std::vector<LoadSummary> summarize(const LoadRunResult& result);

std::string textReport(const LoadRunResult& result, const std::vector<LoadSummary>& summaries);
std::string csvReport(const std::vector<LoadSummary>& summaries);

}  // namespace crankspur::load
