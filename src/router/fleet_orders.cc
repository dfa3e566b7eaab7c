#include "router/fleet_orders.h"

#include <algorithm>
#include <optional>

namespace crankspur {

namespace {

/// An adapter order without effect by then is repeated.
constexpr Duration kAdapterTimeout = std::chrono::seconds(30);
/// Maximum share of the engines serving a model that may load weights at the same time.
constexpr double kMaxLoadingShare = 0.5;

const LoadedModel* findLoaded(const EngineView& engine, const std::string& model) {
  for (const LoadedModel& loaded : engine.models) {
    if (loaded.model == model) return &loaded;
  }
  return nullptr;
}

bool serves(const ModelPolicy& model, const EngineView& engine) {
  const auto& pools = model.pools;
  return std::find(pools.begin(), pools.end(), engine.pool) != pools.end();
}

/// @return whether the engine should load the model's weights. An engine that has only other models loaded is
/// left unchanged, because the operator of the pool chose them. An engine without any model has restarted and
/// loads what its pool serves.
bool wantsWeights(const ModelPolicy& model, const EngineView& engine) {
  if (!serves(model, engine)) return false;
  const LoadedModel* loaded = findLoaded(engine, model.name);
  if (loaded == nullptr) return engine.models.empty();
  return loaded->weights_version != model.weights_version;
}

/// @return the first adapter that the engine lacks, or empty. Adapters are loaded only onto current weights.
std::optional<std::string> missingAdapter(const ModelPolicy& model, const EngineView& engine) {
  if (!serves(model, engine)) return std::nullopt;
  const LoadedModel* loaded = findLoaded(engine, model.name);
  if (loaded == nullptr || loaded->weights_version != model.weights_version) return std::nullopt;
  for (const std::string& adapter : model.adapters) {
    const bool held =
        std::find(loaded->adapters.begin(), loaded->adapters.end(), adapter) != loaded->adapters.end();
    if (!held) return adapter;
  }
  return std::nullopt;
}

}  // namespace

std::size_t FleetOrders::loadingCount() const {
  return static_cast<std::size_t>(std::count_if(running_.begin(), running_.end(), [](const auto& item) {
    return item.second.kind == FleetOrderKind::LoadWeights;
  }));
}

void FleetOrders::dropFinished(const std::vector<EngineView>& engines, TimePoint now) {
  std::erase_if(running_, [&](const auto& item) {
    const Running& running = item.second;
    if (now >= running.ends_at) return true;
    const auto found = std::find_if(engines.begin(), engines.end(),
                                    [&item](const EngineView& engine) { return engine.name == item.first; });
    if (found == engines.end() || found->incarnation != running.incarnation) return true;
    const LoadedModel* loaded = findLoaded(*found, running.model);
    if (loaded == nullptr) return false;
    if (running.kind == FleetOrderKind::LoadWeights) return loaded->weights_version == running.target;
    return std::find(loaded->adapters.begin(), loaded->adapters.end(), running.target) !=
           loaded->adapters.end();
  });
}

bool FleetOrders::mayLoad(const ModelPolicy& model, const EngineView& engine,
                          const std::vector<EngineView>& engines) const {
  if (findLoaded(engine, model.name) == nullptr) return true;
  std::size_t serving = 0;
  std::size_t loading = 0;
  for (const EngineView& other : engines) {
    const bool same_region_pool = other.region == engine.region && serves(model, other);
    if (!same_region_pool || other.state != EngineState::Live) continue;
    const auto found = running_.find(other.name);
    const bool is_loading = found != running_.end() && found->second.kind == FleetOrderKind::LoadWeights;
    loading += is_loading ? 1 : 0;
    serving += is_loading || findLoaded(other, model.name) != nullptr ? 1 : 0;
  }
  const double limit = std::max(1.0, kMaxLoadingShare * static_cast<double>(serving));
  return static_cast<double>(loading + 1) <= limit;
}

std::vector<FleetOrder> FleetOrders::due(const Bundle& bundle, const std::vector<EngineView>& engines,
                                         TimePoint now) {
  dropFinished(engines, now);
  std::vector<FleetOrder> orders;
  for (const EngineView& engine : engines) {
    if (engine.state != EngineState::Live || engine.incarnation == 0) continue;
    for (const ModelPolicy& model : bundle.models) {
      if (running_.contains(engine.name)) break;
      FleetOrder order{
          FleetOrderKind::LoadWeights, engine.name, engine.address, engine.incarnation, model.name,
          model.weights_version,       {}};
      Running running{engine.incarnation, model.name, model.weights_version, FleetOrderKind::LoadWeights,
                      now + options_.weights_timeout};
      if (wantsWeights(model, engine)) {
        const bool wave_full = loadingCount() >= bundle.knobs.parallel_weight_loads;
        if (wave_full || !mayLoad(model, engine, engines)) continue;
      } else if (const auto adapter = missingAdapter(model, engine)) {
        order.kind = FleetOrderKind::LoadAdapter;
        order.adapter = *adapter;
        running.kind = FleetOrderKind::LoadAdapter;
        running.target = *adapter;
        running.ends_at = now + kAdapterTimeout;
      } else {
        continue;
      }
      running_[engine.name] = running;
      orders.push_back(std::move(order));
    }
  }
  return orders;
}

void FleetOrders::onFailed(const FleetOrder& order) {
  const auto found = running_.find(order.engine);
  if (found != running_.end() && found->second.incarnation == order.incarnation) running_.erase(found);
}

}  // namespace crankspur
