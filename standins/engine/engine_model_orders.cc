// Orders of EngineModel: loading of weights and adapters, role, drain.

#include <algorithm>

#include "standins/engine/engine_model.h"

namespace crankspur::standin {

EngineModel::ModelState* EngineModel::findModel(const std::string& model) {
  const auto found = std::find_if(models_.begin(), models_.end(),
                                  [&model](const ModelState& state) { return state.served.model == model; });
  return found == models_.end() ? nullptr : &*found;
}

const EngineModel::ModelState* EngineModel::findModel(const std::string& model) const {
  return const_cast<EngineModel*>(this)->findModel(model);
}

bool EngineModel::modelInUse(const std::string& model) const {
  return std::any_of(runs_.begin(), runs_.end(),
                     [&model](const auto& entry) { return entry.second.request.model == model; });
}

ErrorCode EngineModel::order(const EngineOrder& order, TimePoint now) {
  if (order.expect_incarnation != 0 && order.expect_incarnation != incarnation_) {
    return ErrorCode::IncarnationMismatch;
  }
  if (order.token < order_token_) return ErrorCode::Stale;
  order_token_ = order.token;
  ErrorCode code = ErrorCode::Ok;
  switch (order.kind) {
    case OrderKind::LoadWeights:
      code = applyWeightsOrder(order);
      break;
    case OrderKind::LoadAdapter:
      code = applyAdapterOrder(order, now);
      break;
    case OrderKind::SetRole:
      role_ = order.role;
      break;
    case OrderKind::Drain:
      leaving_ = true;
      break;
  }
  if (code == ErrorCode::Ok) orders_.push_back({order, incarnation_, now});
  advance(now);
  return code;
}

ErrorCode EngineModel::applyWeightsOrder(const EngineOrder& order) {
  if (order.model.empty() || order.weights_version.empty()) return ErrorCode::InvalidRequest;
  ModelState* state = findModel(order.model);
  if (state == nullptr) {
    models_.push_back({{order.model, "", {}}, false, "", false, {}, {}});
    state = &models_.back();
  }
  const std::string& target = state->ready ? state->served.weights_version : state->target_weights;
  if (target == order.weights_version) return ErrorCode::Ok;
  state->ready = false;
  state->target_weights = order.weights_version;
  state->load_requested = false;
  state->loaded_at.reset();
  state->retry_at.reset();
  return ErrorCode::Ok;
}

ErrorCode EngineModel::applyAdapterOrder(const EngineOrder& order, TimePoint now) {
  if (order.adapter.empty()) return ErrorCode::InvalidRequest;
  if (findModel(order.model) == nullptr) return ErrorCode::UnknownModel;
  adapter_loads_.push_back({order.model, order.adapter, now + timings_.adapter_load});
  return ErrorCode::Ok;
}

void EngineModel::onWeightsResponse(const std::string& model, const std::string& weights_version,
                                    std::optional<Duration> load_time, TimePoint now) {
  ModelState* const state = findModel(model);
  const bool expected = state != nullptr && !state->ready && state->load_requested && !state->loaded_at &&
                        state->target_weights == weights_version;
  if (!expected) return;
  if (load_time) {
    state->loaded_at = now + *load_time;
  } else {
    state->load_requested = false;
    state->retry_at = now + timings_.weights_retry;
  }
  advance(now);
}

void EngineModel::advanceLoads(TimePoint now) {
  for (ModelState& state : models_) {
    if (!state.ready) advanceLoad(state, now);
  }
  advanceAdapters(now);
}

/// Requests accepted with the old weights finish first; then the load time is queried and the weights are
/// loaded.
void EngineModel::advanceLoad(ModelState& state, TimePoint now) {
  if (state.loaded_at && *state.loaded_at <= now) {
    state.served.weights_version = state.target_weights;
    state.ready = true;
    state.load_requested = false;
    state.loaded_at.reset();
    return;
  }
  const bool backing_off = state.retry_at && *state.retry_at > now;
  if (state.load_requested || backing_off || modelInUse(state.served.model)) return;
  cache_->dropModel(state.served.model);
  state.load_requested = true;
  state.retry_at.reset();
  outputs_.emplace_back(WeightsQuery{state.served.model, state.target_weights});
}

void EngineModel::advanceAdapters(TimePoint now) {
  for (const AdapterLoad& load : adapter_loads_) {
    ModelState* const state = findModel(load.model);
    if (load.loaded_at > now || state == nullptr) continue;
    std::vector<std::string>& adapters = state->served.adapters;
    if (std::find(adapters.begin(), adapters.end(), load.adapter) == adapters.end()) {
      adapters.push_back(load.adapter);
    }
  }
  std::erase_if(adapter_loads_, [now](const AdapterLoad& load) { return load.loaded_at <= now; });
}

std::optional<TimePoint> EngineModel::nextLoadTimer() const {
  std::optional<TimePoint> earliest;
  const auto consider = [&earliest](const std::optional<TimePoint>& candidate) {
    if (candidate && (!earliest || *candidate < *earliest)) earliest = candidate;
  };
  for (const ModelState& state : models_) {
    consider(state.loaded_at);
    consider(state.retry_at);
  }
  for (const AdapterLoad& load : adapter_loads_) consider(load.loaded_at);
  return earliest;
}

}  // namespace crankspur::standin
