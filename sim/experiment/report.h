#pragma once
/// @file Table, CSV and SVG plot of an experiment.

#include <ostream>
#include <string>
#include <vector>

#include "sim/experiment/measures.h"

namespace crankspur::experiment {

/// Parameters and measures of one run.
struct ResultRow {
  std::string site;
  std::string faults;
  std::string policy;
  std::uint64_t seed = 0;
  double load = 1;
  Measures measures;
  std::vector<std::vector<double>>
      baseline_first_token_ms;  ///< By tenant, from the run without the noisy tenant; empty: not run.
};

/// Mean measures of a policy over all seeds, and comparisons with the policy `cost`.
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
  /// Maximum over the other tenants of the ratio of a tenant's p95 with the noisy tenant to its p95 without,
  /// all seeds pooled.
  double worst_tenant_ratio = 0;
  double recovery_seconds = 0;  ///< Mean; a run that does not recover counts as 99 s.
  double worst_recovery_seconds = 0;
  std::uint32_t seeds = 0;
  std::uint32_t reuse_wins = 0;   ///< Seeds for which `cost` has the higher reuse rate than this policy.
  std::uint32_t wasted_wins = 0;  ///< Seeds for which `cost` wastes less per request.
  std::uint32_t p95_wins = 0;     ///< Seeds for which `cost` has the lower p95.
};

/// @return mean measures by policy, in the order of first appearance.
std::vector<PolicySummary> summarize(const std::vector<ResultRow>& rows);

void writeTable(std::ostream& out, const std::vector<PolicySummary>& summaries);
void writeCsv(std::ostream& out, const std::vector<ResultRow>& rows);
/// Draws bar charts by policy of reuse rate, wasted tokens, p95 time to first token and missed deadlines.
void writeSvg(std::ostream& out, const std::string& title, const std::vector<PolicySummary>& summaries);

}  // namespace crankspur::experiment
