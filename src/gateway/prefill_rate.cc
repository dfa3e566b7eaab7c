#include "gateway/prefill_rate.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

/// Smaller prompts say more of the fixed time of an answer than of the rate.
constexpr std::uint32_t kLeastTokens = 1000;
/// Weight of an observation above the estimate, and of one below it.
constexpr double kRiseGain = 0.3;
constexpr double kFallGain = 0.03;
constexpr double kLeastSeconds = 0.001;
/// Taken until something is observed, tokens per second: the order of what an engine with several
/// accelerators reads. Too low a rate makes every queue look long, and requests with little time are refused
/// for nothing.
constexpr double kFirstRate = 30'000;

}  // namespace

void PrefillRates::observe(const std::string& pool, std::uint32_t tokens, Duration taken) {
  if (tokens < kLeastTokens) return;
  const double observed = tokens / std::max(toSeconds(taken), kLeastSeconds);
  double& rate = rates_.try_emplace(pool, kFirstRate).first->second;
  rate += (observed > rate ? kRiseGain : kFallGain) * (observed - rate);
}

double PrefillRates::rate(const std::string& pool) const {
  const auto found = rates_.find(pool);
  return found == rates_.end() ? kFirstRate : found->second;
}

}  // namespace crankspur::gateway
