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
  /// By tenant: times to first token of the run without the noisy tenant; empty if there was no such run.
  std::vector<std::vector<double>> baseline_first_token_ms;
};

/// Mean measures of a placement policy over all seeds, and comparisons by seed with `cost`, the placement
/// policy of the router.
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
  /// p95 of a tenant in runs with the noisy tenant, divided by its p95 in runs without it; requests of
  /// all seeds pooled. The maximum over all tenants but the noisy one.
  double worst_tenant_ratio = 0;
  double recovery_seconds = 0;  ///< Mean; a run that does not recover counts as 99 s.
  double worst_recovery_seconds = 0;
  std::uint32_t seeds = 0;
  std::uint32_t reuse_wins = 0;   ///< Seeds for which `cost` has a higher reuse rate than this policy.
  std::uint32_t wasted_wins = 0;  ///< Seeds for which `cost` wastes fewer tokens per request.
  std::uint32_t p95_wins = 0;     ///< Seeds for which `cost` has a lower p95.
};

/// @return mean measures by policy, in the order of first appearance.
std::vector<PolicySummary> summarize(const std::vector<ResultRow>& rows);

void writeTable(std::ostream& out, const std::vector<PolicySummary>& summaries);
void writeCsv(std::ostream& out, const std::vector<ResultRow>& rows);
/// Draws one bar chart each, with a bar for each policy, of reuse rate, wasted tokens, p95 time to first
/// token and missed deadlines.
void writeSvg(std::ostream& out, const std::string& title, const std::vector<PolicySummary>& summaries);

}  // namespace crankspur::experiment
