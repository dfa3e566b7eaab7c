#include "tools/load/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>

namespace crankspur::load {

namespace {

/// Collects the outcomes of one row of the report.
struct RowBuilder {
  LoadSummary summary;
  std::vector<double> first_token;
  std::vector<double> total;

  void add(const CallOutcome& outcome) {
    ++summary.requests;
    switch (outcome.verdict) {
      case Verdict::Whole:
        addWhole(outcome);
        return;
      case Verdict::Wrong:
        ++summary.wrong;
        return;
      case Verdict::Cut:
        ++summary.cut;
        return;
      case Verdict::Refused:
        ++summary.refused;
        return;
      case Verdict::Failed:
        ++summary.failed;
        return;
      case Verdict::NoAnswer:
        ++summary.no_answer;
        return;
    }
  }

  void addWhole(const CallOutcome& outcome) {
    ++summary.whole;
    summary.prompt_tokens += outcome.prompt_tokens;
    summary.cached_tokens += outcome.cached_tokens;
    first_token.push_back(toMilliseconds(outcome.first_token));
    total.push_back(toMilliseconds(outcome.total));
  }

  LoadSummary finish(Duration duration) {
    summary.first_token = computePercentiles(std::move(first_token));
    summary.total = computePercentiles(std::move(total));
    summary.requests_per_second = static_cast<double>(summary.whole) / toSeconds(duration);
    return summary;
  }
};

}  // namespace

Percentiles computePercentiles(std::vector<double> milliseconds) {
  if (milliseconds.empty()) return {};
  std::sort(milliseconds.begin(), milliseconds.end());
  const auto rank = [&milliseconds](double fraction) {
    const double position = std::ceil(fraction * static_cast<double>(milliseconds.size()));
    return milliseconds[static_cast<std::size_t>(std::max(position, 1.0)) - 1];
  };
  return {rank(0.50), rank(0.95), rank(0.99), milliseconds.back()};
}

double LoadSummary::hitRate() const {
  return prompt_tokens == 0 ? 0 : static_cast<double>(cached_tokens) / static_cast<double>(prompt_tokens);
}

std::vector<LoadSummary> summarize(const LoadRunResult& result) {
  RowBuilder all;
  all.summary.name = "all";
  std::map<std::string, RowBuilder> tenants;
  for (const CallOutcome& outcome : result.outcomes) {
    all.add(outcome);
    RowBuilder& row = tenants[outcome.tenant];
    row.summary.name = outcome.tenant;
    row.add(outcome);
  }
  std::vector<LoadSummary> summaries = {all.finish(result.duration)};
  for (auto& [name, row] : tenants) summaries.push_back(row.finish(result.duration));
  return summaries;
}

std::string formatTextReport(const LoadRunResult& result, const std::vector<LoadSummary>& summaries) {
  std::string text =
      fmt::format("{:24} {:>8} {:>8} {:>6} {:>5} {:>8} {:>7} {:>9} {:>8} {:>9} {:>9} {:>9} {:>9}\n", "tenant",
                  "requests", "whole", "wrong", "cut", "refused", "failed", "no_answer", "hit_rate",
                  "ttft_p50", "ttft_p95", "ttft_p99", "total_p99");
  for (const LoadSummary& row : summaries) {
    text += fmt::format("{:24} {:8} {:8} {:6} {:5} {:8} {:7} {:9} {:8.3f} {:9.2f} {:9.2f} {:9.2f} {:9.2f}\n",
                        row.name, row.requests, row.whole, row.wrong, row.cut, row.refused, row.failed,
                        row.no_answer, row.hitRate(), row.first_token.p50, row.first_token.p95,
                        row.first_token.p99, row.total.p99);
  }
  std::map<std::string, std::uint64_t> codes;
  std::map<std::string, std::uint64_t> engines;
  for (const CallOutcome& outcome : result.outcomes) {
    if (!outcome.error_code.empty()) ++codes[outcome.error_code];
    if (outcome.verdict == Verdict::Whole && !outcome.engine.empty()) ++engines[outcome.engine];
  }
  for (const auto& [code, count] : codes) text += fmt::format("error {}: {}\n", code, count);
  for (const auto& [engine, count] : engines)
    text += fmt::format("engine {}: {} whole answers\n", engine, count);
  text += fmt::format("whole answers a second: {:.1f}; planned but not sent: {}; times in ms\n",
                      summaries.front().requests_per_second, result.not_sent);
  return text;
}

std::string formatCsvReport(const std::vector<LoadSummary>& summaries) {
  std::string text =
      "tenant,requests,whole,wrong,cut,refused,failed,no_answer,prompt_tokens,cached_tokens,hit_rate,"
      "whole_per_second,ttft_p50_ms,ttft_p95_ms,ttft_p99_ms,ttft_max_ms,total_p50_ms,total_p95_ms,total_p99_"
      "ms\n";
  for (const LoadSummary& row : summaries) {
    text += fmt::format(
        "{},{},{},{},{},{},{},{},{},{},{:.4f},{:.2f},{:.3f},{:.3f},{:.3f},{:.3f},{:.3f},{:.3f},{:.3f}\n",
        row.name, row.requests, row.whole, row.wrong, row.cut, row.refused, row.failed, row.no_answer,
        row.prompt_tokens, row.cached_tokens, row.hitRate(), row.requests_per_second, row.first_token.p50,
        row.first_token.p95, row.first_token.p99, row.first_token.maximum, row.total.p50, row.total.p95,
        row.total.p99);
  }
  return text;
}

}  // namespace crankspur::load
