#pragma once
/// @file How long a new request waits at an engine, from lagging reports and own outstanding work.

#include "placement/placement.h"

namespace crankspur {

/// Prefill rate assumed when a report states none, tokens per second.
inline constexpr double kAssumedPrefillRate = 8000;

/// @return prompt tokens per second that the engine computes.
double prefillRate(const EngineView& engine);

/// @return time to prefill `tokens` prompt tokens, the fixed cost of each chunk included.
Duration prefillTime(double tokens, double tokens_per_second);

/// Estimates queues. Reports count all prompt tokens that wait, cached or not, so the estimator learns from
/// answers which share of them engines really compute.
class QueueEstimator {
public:
  /// @return time until the engine begins with a new request: the later of two estimates, one by the report,
  /// drained since it was measured, plus own work that it cannot show, the other by own work alone.
  Duration wait(const EngineView& engine, const OutstandingWork& work, TimePoint now) const {
    return wait(engine, prefillRate(engine), work, now);
  }
  /// The same for a caller that knows the engine's rate better than its report, in tokens per second.
  Duration wait(const EngineView& engine, double rate, const OutstandingWork& work, TimePoint now) const;
  void observe(const PlacementFeedback& feedback);
  /// @return mean share of prompt tokens that engines compute, 0 to 1.
  double uncachedShare() const { return uncached_share_; }

private:
  double uncached_share_ = 1.0;
};

}  // namespace crankspur
