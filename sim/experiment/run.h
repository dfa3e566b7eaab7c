#pragma once
/// @file One run: a site, a workload, a policy and faults, from one seed.

#include <string>
#include <vector>

#include "sim/experiment/experiment_router.h"
#include "sim/experiment/site.h"
#include "sim/experiment/workload.h"

namespace crankspur::experiment {

/// Faults of a run.
struct FaultPlan {
  bool crash = false;  ///< An engine crashes empty every few seconds.
  bool shift = false;  ///< The largest tenant's texts change at half time.
  bool gaps = false;   ///< Cache events are lost and late.
};

/// How sidecars choose a router.
enum class RouterChoice {
  ZoneHead,     ///< By the prompt's head over the routers of the own zone.
  RegionHead,   ///< By the prompt's head over all routers.
  RegionModel,  ///< By the model over all routers: one router places a model's requests up to a bound.
};

/// What to run.
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

/// @return when the hot-prefix shift of a run happens.
inline Duration shiftTime(const RunOptions& options) {
  return options.warm_up + (options.length - options.warm_up) / 2;
}

/// @return the outcome of each request, in order of arrival, warm-up included.
std::vector<RequestOutcome> run(const RunOptions& options);

}  // namespace crankspur::experiment
