#include "router/model_capacity.h"

#include <algorithm>

namespace crankspur {

namespace {

/// Adds one engine to the count of the version.
void countWeights(std::vector<WeightsCapacity>& weights, const std::string& version) {
  const auto found = std::lower_bound(
      weights.begin(), weights.end(), version,
      [](const WeightsCapacity& entry, const std::string& wanted) { return entry.version < wanted; });
  if (found != weights.end() && found->version == version) {
    ++found->engines;
    return;
  }
  weights.insert(found, WeightsCapacity{version, 1});
}

}  // namespace

double ModelCapacity::utilization() const {
  if (request_limit == 0) return 0;
  return static_cast<double>(busy_requests) / static_cast<double>(request_limit);
}

std::vector<std::string> ModelCapacity::orderedWeights(const std::string& wanted,
                                                       std::uint64_t request_hash) const {
  if (weights.empty()) return {wanted};
  std::uint64_t engines = 0;
  for (const WeightsCapacity& entry : weights) engines += entry.engines;
  std::uint64_t position = request_hash % engines;
  std::size_t first = 0;
  while (position >= weights[first].engines) position -= weights[first++].engines;
  std::vector<std::string> versions;
  for (std::size_t i = 0; i < weights.size(); ++i)
    versions.push_back(weights[(first + i) % weights.size()].version);
  return versions;
}

ModelCapacity measureCapacity(const RoutingSnapshot& snapshot, const ModelPolicy& model) {
  ModelCapacity capacity;
  for (const EngineView& engine : snapshot.engines) {
    const bool in_pool = std::find(model.pools.begin(), model.pools.end(), engine.pool) != model.pools.end();
    if (!in_pool || engine.state != EngineState::Live || engine.incarnation == 0) continue;
    if (engine.role == EngineRole::Decode) continue;
    const std::string version = engine.weightsOf(model.name);
    if (version.empty()) continue;
    countWeights(capacity.weights, version);
    capacity.busy_requests += engine.load.running_requests + engine.load.queued_requests;
    capacity.request_limit += engine.load.batch_limit;
  }
  return capacity;
}

}  // namespace crankspur
