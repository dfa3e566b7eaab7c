#include "gateway/prefill_rate.h"

#include <algorithm>

#include "placement/queue_estimator.h"

namespace crankspur::gateway {
namespace {

/// Smaller prompts say more of the fixed time of an answer than of the rate.
constexpr std::uint32_t kLeastTokens = 1000;
/// Weight of an observation above the estimate, and of one below it.
constexpr double kRiseGain = 0.3;
constexpr double kFallGain = 0.03;
constexpr double kLeastSeconds = 0.001;

}  // namespace

void PrefillRates::observe(const std::string& pool, std::uint32_t tokens, Duration taken) {
  if (tokens < kLeastTokens) return;
  const double observed = tokens / std::max(toSeconds(taken), kLeastSeconds);
  double& rate = rates_.try_emplace(pool, kAssumedPrefillRate).first->second;
  rate += (observed > rate ? kRiseGain : kFallGain) * (observed - rate);
}

double PrefillRates::rate(const std::string& pool) const {
  const auto found = rates_.find(pool);
  return found == rates_.end() ? kAssumedPrefillRate : found->second;
}

}  // namespace crankspur::gateway
