#pragma once
/// @file Table, CSV and SVG plot of an experiment.

#include <ostream>
#include <string>
#include <vector>

#include "sim/experiment/measures.h"

namespace crankspur::experiment {

/// One run's figures beside what was run.
struct ResultRow {
  std::string site;
  std::string faults;
  std::string policy;
  std::uint64_t seed = 0;
  double load = 1;
  Measures measures;
  std::vector<std::vector<double>>
      quiet_first_token_ms;  ///< By tenant, without the noisy one; empty: not run.
};

/// A policy's figures over all seeds, beside those of the clairvoyant policy.
struct PolicySummary {
  std::string policy;
  double hit_rate = 0;
  double reuse_rate = 0;
  double wasted = 0;
  double recomputed = 0;
  double p50_ms = 0;
  double p95_ms = 0;
  double p99_ms = 0;
  double refused = 0;
  double missed = 0;
  /// Highest p95 of a tenant over its p95 without the noisy one, all seeds pooled, the noisy one left out.
  double worst_tenant_ratio = 0;
  double recovery_seconds = 0;  ///< Mean; a run that does not recover counts as its remaining length.
  double worst_recovery_seconds = 0;
  std::uint32_t seeds = 0;
  std::uint32_t hit_wins = 0;     ///< Seeds on which `cost` has the higher reuse rate than this policy.
  std::uint32_t wasted_wins = 0;  ///< Seeds on which `cost` wastes less per request.
  std::uint32_t p95_wins = 0;     ///< Seeds on which `cost` has the lower p95.
};

/// @return means over seeds by policy, in the order of first appearance.
std::vector<PolicySummary> summarize(const std::vector<ResultRow>& rows);

void writeTable(std::ostream& out, const std::vector<PolicySummary>& summaries);
void writeCsv(std::ostream& out, const std::vector<ResultRow>& rows);
/// Bars by policy of reuse rate, wasted tokens and p95 time to first token.
void writeSvg(std::ostream& out, const std::string& title, const std::vector<PolicySummary>& summaries);

}  // namespace crankspur::experiment
