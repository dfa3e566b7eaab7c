#include "gateway/stream_time.h"

namespace crankspur::gateway {
namespace {

/// Weight of one response in the moving average.
constexpr double kSmoothing = 0.05;
/// Before the first observation, seconds per expected token: a step of a large model.
constexpr double kInitialSeconds = 0.006;

}  // namespace

void StreamTimes::observe(const std::string& pool, std::uint32_t tokens, Duration taken) {
  if (tokens == 0) return;
  double& known = seconds_per_token_.try_emplace(pool, kInitialSeconds).first->second;
  known += kSmoothing * (toSeconds(taken) / tokens - known);
}

double StreamTimes::seconds(const std::string& pool, std::uint32_t tokens) const {
  const auto found = seconds_per_token_.find(pool);
  return tokens * (found == seconds_per_token_.end() ? kInitialSeconds : found->second);
}

}  // namespace crankspur::gateway
