#include "placement/utilization.h"

#include <algorithm>

namespace crankspur {
namespace {

double engineUtilization(const EngineView& engine, double target_seconds) {
  const LoadReport& load = engine.load;
  const double running =
      load.batch_limit == 0 ? 0.0 : static_cast<double>(load.running_requests) / load.batch_limit;
  const double rate = std::max(load.prefill_tokens_per_second, 1.0);
  const double queue = load.queued_tokens / rate / target_seconds;
  return std::max(running, queue);
}

}  // namespace

double estimateUtilization(const RoutingSnapshot& snapshot) {
  const Knobs knobs = snapshot.bundle == nullptr ? Knobs{} : snapshot.bundle->knobs;
  const double target = std::max(toSeconds(knobs.first_token_target), 1e-3);
  double sum = 0;
  std::size_t live = 0;
  for (const EngineView& engine : snapshot.engines) {
    if (engine.state != EngineState::Live) continue;
    sum += engineUtilization(engine, target);
    ++live;
  }
  return live == 0 ? 1.0 : sum / static_cast<double>(live);
}

}  // namespace crankspur
