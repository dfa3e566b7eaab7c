#include "placement/eligibility.h"

#include <algorithm>

namespace crankspur {
namespace {

bool contains(const std::vector<std::string>& values, std::string_view wanted) {
  return std::find(values.begin(), values.end(), wanted) != values.end();
}

template <typename Policy>
const Policy* findByName(const std::vector<Policy>& policies, std::string_view name) {
  const auto place = std::find_if(policies.begin(), policies.end(),
                                  [&](const Policy& policy) { return policy.name == name; });
  return place == policies.end() ? nullptr : &*place;
}

const LoadedModel* findLoaded(const EngineView& engine, std::string_view model) {
  for (const LoadedModel& loaded : engine.models) {
    if (loaded.model == model) return &loaded;
  }
  return nullptr;
}

bool isExcluded(const PlacementRequest& request, EngineSlot slot) {
  return std::find(request.excluded.begin(), request.excluded.end(), slot) != request.excluded.end();
}

}  // namespace

std::string requiredWeights(const PlacementRequest& request, const RoutingSnapshot& snapshot) {
  if (!request.weights_version.empty()) return request.weights_version;
  if (snapshot.bundle == nullptr) return {};
  const ModelPolicy* model = findByName(snapshot.bundle->models, request.model);
  return model == nullptr ? std::string() : model->weights_version;
}

std::vector<EligibleEngine> findEligible(const PlacementRequest& request, const RoutingSnapshot& snapshot) {
  std::vector<EligibleEngine> eligible;
  if (snapshot.bundle == nullptr) return eligible;
  const TenantPolicy* tenant = findByName(snapshot.bundle->tenants, request.tenant);
  const ModelPolicy* model = findByName(snapshot.bundle->models, request.model);
  if (tenant == nullptr || model == nullptr || !contains(tenant->models, request.model)) return eligible;
  const std::string weights = requiredWeights(request, snapshot);
  for (const EngineView& engine : snapshot.engines) {
    if (engine.state != EngineState::Live || engine.role == EngineRole::Decode) continue;
    if (engine.incarnation == 0 || !contains(model->pools, engine.pool)) continue;
    const LoadedModel* loaded = findLoaded(engine, request.model);
    if (loaded == nullptr || loaded->weights_version != weights) continue;
    if (isExcluded(request, engine.slot)) continue;
    const bool adapter_loaded = request.adapter.empty() || contains(loaded->adapters, request.adapter);
    if (!adapter_loaded) continue;
    eligible.push_back({&engine, adapter_loaded});
  }
  return eligible;
}

std::vector<EngineSlot> eligibleEngines(const PlacementRequest& request, const RoutingSnapshot& snapshot) {
  std::vector<EngineSlot> slots;
  for (const EligibleEngine& engine : findEligible(request, snapshot)) slots.push_back(engine.view->slot);
  return slots;
}

PlacementDecision decideFor(const EngineView& engine, const PlacementRequest& request,
                            const PrefixIndex& index, TimePoint now) {
  PlacementDecision decision;
  decision.found = true;
  decision.engine = engine.slot;
  decision.incarnation = engine.incarnation;
  decision.weights_version = engine.weightsOf(request.model);
  for (const PrefixMatch& match : index.match(request.blocks, now)) {
    if (match.engine == engine.slot) decision.cached_blocks = match.blocks;
  }
  return decision;
}

}  // namespace crankspur
