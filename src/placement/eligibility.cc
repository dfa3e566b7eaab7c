#include "placement/eligibility.h"

#include <algorithm>

namespace crankspur {
namespace {

bool contains(const std::vector<std::string>& values, std::string_view wanted) {
  return std::find(values.begin(), values.end(), wanted) != values.end();
}

const LoadedModel* findLoaded(const EngineView& engine, std::string_view model) {
  for (const LoadedModel& loaded : engine.models) {
    if (loaded.model == model) return &loaded;
  }
  return nullptr;
}

}  // namespace

Eligibility::Eligibility(const PlacementRequest& request, const RoutingSnapshot& snapshot)
    : request_(request) {
  if (snapshot.bundle == nullptr) return;
  const TenantPolicy* tenant = snapshot.bundle->findTenant(request.tenant);
  if (tenant == nullptr || !contains(tenant->models, request.model)) return;
  const ModelPolicy* model = snapshot.bundle->findModel(request.model);
  if (model == nullptr) return;
  pools_ = &model->pools;
  weights_ = request.weights_version.empty() ? model->weights_version : request.weights_version;
}

Eligibility::Eligibility(const PlacementRequest& request, const std::vector<std::string>& pools)
    : request_(request), pools_(&pools) {
  if (!request.weights_version.empty()) weights_ = request.weights_version;
}

bool Eligibility::isLoaded(const EngineView& engine) const {
  const LoadedModel* loaded = findLoaded(engine, request_.model);
  if (loaded == nullptr || (weights_ && loaded->weights_version != *weights_)) return false;
  return request_.adapter.empty() || contains(loaded->adapters, request_.adapter);
}

bool Eligibility::isEligible(const EngineView& engine) const {
  if (pools_ == nullptr) return false;
  if (engine.state != EngineState::Live || engine.role == EngineRole::Decode) return false;
  if (engine.incarnation == 0 || !contains(*pools_, engine.pool)) return false;
  if (!request_.model.empty() && !isLoaded(engine)) return false;
  const auto& excluded = request_.excluded;
  return std::find(excluded.begin(), excluded.end(), engine.slot) == excluded.end();
}

std::vector<const EngineView*> findEligible(const PlacementRequest& request,
                                            const RoutingSnapshot& snapshot) {
  std::vector<const EngineView*> eligible;
  const Eligibility eligibility(request, snapshot);
  if (!eligibility.allowed()) return eligible;
  for (const EngineView& engine : snapshot.engines) {
    if (eligibility.isEligible(engine)) eligible.push_back(&engine);
  }
  return eligible;
}

std::vector<EngineSlot> eligibleEngines(const PlacementRequest& request, const RoutingSnapshot& snapshot) {
  std::vector<EngineSlot> slots;
  for (const EngineView* engine : findEligible(request, snapshot)) slots.push_back(engine->slot);
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
