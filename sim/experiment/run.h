#pragma once
/// @file One experiment run: a site, a workload, a policy and faults, all derived from one seed.

#include <string>
#include <vector>

#include "sim/experiment/experiment_router.h"
#include "sim/experiment/site.h"
#include "sim/experiment/workload.h"

namespace crankspur::experiment {

/// Faults injected into a run.
struct FaultPlan {
  bool crash = false;  ///< Every few seconds an engine crashes and loses its cache.
  bool shift = false;  ///< The largest tenant's prompts change halfway between warm-up and end.
  bool gaps = false;   ///< Some cache events are lost, the others delayed.
};

/// How sidecars select a router.
enum class RouterChoice {
  ZoneHead,     ///< By the head of the prompt, among the routers of the sidecar's zone.
  RegionHead,   ///< By the head of the prompt, among all routers.
  RegionModel,  ///< By the model, among all routers: one router places a model's requests up to the load
                ///< bound.
};

/// Parameters of a run.
struct RunOptions {
  Site site;
  std::string policy;
  FaultPlan faults;
  std::uint64_t seed = 1;
  RouterChoice router_choice = RouterChoice::RegionModel;
  double load = 1.0;
  double noisy_factor = 1.0;
  Duration length = std::chrono::seconds(40);
  Duration warm_up = std::chrono::seconds(12);
  std::vector<Arrival> workload;  ///< Empty: generated from the seed.
};

/// @return the time of the hot-prefix shift since the start of the run.
inline Duration shiftTime(const RunOptions& options) {
  return options.warm_up + (options.length - options.warm_up) / 2;
}

/// @return the outcome of each request, in order of arrival, warm-up included.
std::vector<RequestOutcome> run(const RunOptions& options);

}  // namespace crankspur::experiment
