#include "placement/queue_estimator.h"

#include <algorithm>
#include <cmath>

namespace crankspur {
namespace {

/// Prompt tokens that engines commonly prefill in one chunk, and the fixed cost of a chunk in seconds.
constexpr double kChunkTokens = 512;
constexpr double kChunkFixedCost = 0.005;
/// Weight of one response in the moving average of the uncached share.
constexpr double kUncachedShareSmoothing = 0.02;
/// Wait for a full batch, in seconds per request above the batch limit.
constexpr double kWaitPerRequestAboveLimit = 0.1;

double batchWait(const EngineView& engine, const OutstandingWork& work) {
  if (engine.load.batch_limit == 0) return 0;
  const std::uint32_t held =
      std::max(engine.load.running_requests + engine.load.queued_requests, work.inFlight(engine.slot));
  const double above = static_cast<double>(held) + 1 - engine.load.batch_limit;
  return std::max(0.0, above) * kWaitPerRequestAboveLimit;
}

}  // namespace

double prefillRate(const EngineView& engine) {
  const double rate = engine.load.prefill_tokens_per_second;
  return rate > 0 ? rate : kAssumedPrefillRate;
}

Duration prefillTime(double tokens, double tokens_per_second) {
  const double seconds = tokens / tokens_per_second + std::ceil(tokens / kChunkTokens) * kChunkFixedCost;
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

Duration QueueEstimator::wait(const EngineView& engine, double rate, const OutstandingWork& work,
                              TimePoint now) const {
  const double age = std::max(0.0, toSeconds(now - engine.load.measured_at));
  const double reported = std::max(0.0, engine.load.queued_tokens * uncached_share_ / rate - age);
  const double own = work.pendingTokens(engine.slot) / rate;
  const double backlog = toSeconds(work.backlog(engine.slot, rate, now));
  const double seconds = std::max(reported + own, backlog) + batchWait(engine, work);
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

void QueueEstimator::observe(const PlacementFeedback& feedback) {
  if (feedback.prompt_tokens == 0) return;
  const std::uint32_t cached = std::min(feedback.cached_tokens, feedback.prompt_tokens);
  const double uncached = static_cast<double>(feedback.prompt_tokens - cached) / feedback.prompt_tokens;
  uncached_share_ += kUncachedShareSmoothing * (uncached - uncached_share_);
}

}  // namespace crankspur
