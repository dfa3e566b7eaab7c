#include "gateway/prefill_rate.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

/// Shorter prompts are ignored: the fixed latency of a response dominates their time to the first byte.
constexpr std::uint32_t kMinTokens = 1000;
/// Weight of an observation above the estimate, and of one below it.
constexpr double kRiseGain = 0.3;
constexpr double kFallGain = 0.03;
constexpr double kMinSeconds = 0.001;
/// Estimate before the first observation, tokens per second: the order of magnitude of an engine with several
/// accelerators. Too low a rate makes every queue look long, so that requests with a short deadline are
/// refused without need.
constexpr double kInitialRate = 30'000;

}  // namespace

void PrefillRates::observe(const std::string& pool, std::uint32_t tokens, Duration taken) {
  if (tokens < kMinTokens) return;
  const double observed = tokens / std::max(toSeconds(taken), kMinSeconds);
  double& rate = rates_.try_emplace(pool, kInitialRate).first->second;
  rate += (observed > rate ? kRiseGain : kFallGain) * (observed - rate);
}

double PrefillRates::rate(const std::string& pool) const {
  const auto found = rates_.find(pool);
  return found == rates_.end() ? kInitialRate : found->second;
}

}  // namespace crankspur::gateway
