#pragma once
/// @file Estimates how long a new request waits at an engine, from lagging load reports and from the work
/// that this router has outstanding there.

#include "placement/placement.h"

namespace crankspur {

/// Prefill rate assumed when a load report states none, in tokens per second.
inline constexpr double kAssumedPrefillRate = 8000;

/// @return the engine's prefill rate in prompt tokens per second.
double prefillRate(const EngineView& engine);

/// @return time to prefill `tokens` prompt tokens, including the fixed cost of each chunk.
Duration prefillTime(double tokens, double tokens_per_second);

/// Estimates queueing times. Load reports count all prompt tokens that wait, cached or not, so the estimator
/// derives from responses the share of them that the engines actually compute.
class QueueEstimator {
public:
  /// @return time until the engine starts a new request: the longer of two estimates, plus the wait for a
  /// full batch. One is the reported queue, less what was drained since the measurement, plus the work sent
  /// after it; the other is the backlog of this router's own work.
  Duration wait(const EngineView& engine, const OutstandingWork& work, TimePoint now) const {
    return wait(engine, prefillRate(engine), work, now);
  }
  /// The same for callers with a better estimate of the engine's prefill rate than its load report.
  /// @param rate prefill rate in tokens per second.
  Duration wait(const EngineView& engine, double rate, const OutstandingWork& work, TimePoint now) const;
  /// Updates the uncached share from the outcome of one request.
  void observe(const PlacementFeedback& feedback);
  /// @return moving average of the share of prompt tokens that engines compute, 0 to 1.
  double uncachedShare() const { return uncached_share_; }

private:
  double uncached_share_ = 1.0;
};

}  // namespace crankspur
