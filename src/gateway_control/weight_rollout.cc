#include "gateway_control/weight_rollout.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "gateway_control/fleet_view.h"

namespace crankspur::gateway {

namespace {

/// Time between two requests for a report of one back end.
constexpr Duration kReportInterval = std::chrono::milliseconds(250);
/// Reports lag: one that arrives this soon after an order may predate it.
constexpr Duration kReportLag = std::chrono::milliseconds(700);
/// An order that has no effect within this time is sent again.
constexpr Duration kOrderTimeout = std::chrono::seconds(8);
/// A back end that failed gets no calls for this long.
constexpr Duration kFailureBackoff = std::chrono::milliseconds(400);
/// Share of the limit that loads are planned for; the backoff is left for the last back ends.
constexpr double kUsableShare = 0.75;
/// When time is short, at most this many times the usual number load concurrently.
constexpr std::uint32_t kMaxParallelFactor = 3;

/// @return the model of the back end whose weights are older than the named version, with its version; or
/// nullptr.
template <typename NamedMap>
const LoadedModel* outdated(const NamedMap& named, const Backend& backend) {
  for (const LoadedModel& loaded : backend.view.models) {
    const auto found = named.find(loaded.model);
    if (found == named.end()) continue;
    if (weightsVersionNumber(loaded.weights_version) < found->second.version) return &loaded;
  }
  return nullptr;
}

template <typename NamedMap>
void raiseToNamed(EngineView& engine, const NamedMap& named) {
  for (LoadedModel& loaded : engine.models) {
    const auto found = named.find(loaded.model);
    if (found != named.end()) loaded.weights_version = std::to_string(found->second.version);
  }
}

bool takesRequests(const Backend& backend) {
  return backend.view.state == EngineState::Live || backend.view.state == EngineState::Ejected;
}

/// An unresponsive back end would not respond to an order either, and would take the slot of one that does.
bool takesOrders(const Backend& backend) {
  return takesRequests(backend) && !backend.isUnresponsiveToCalls();
}

}  // namespace

WeightRollout::WeightRollout(RolloutOptions options)
    : options_(options), orders_(FleetOrderOptions{kOrderTimeout}) {}

bool WeightRollout::onNamed(const NamedWeights& named, TimePoint now) {
  NamedVersion& target = named_[named.model];
  if (named.version <= target.version) return false;
  target = {named.version, named.named_at == TimePoint{} ? now : named.named_at};
  return true;
}

std::vector<NamedWeights> WeightRollout::named() const {
  std::vector<NamedWeights> all;
  for (const auto& [model, target] : named_) all.push_back({model, target.version, target.named_at});
  return all;
}

bool WeightRollout::pending(const std::vector<Backend>& backends) const {
  return pendingSince(backends).has_value();
}

std::optional<TimePoint> WeightRollout::pendingSince(const std::vector<Backend>& backends) const {
  std::optional<TimePoint> since;
  for (const Backend& backend : backends) {
    if (!takesRequests(backend)) continue;
    const LoadedModel* loaded = outdated(named_, backend);
    if (loaded == nullptr) continue;
    const TimePoint named_at = named_.find(loaded->model)->second.named_at;
    since = since ? std::min(*since, named_at) : named_at;
  }
  return since;
}

std::uint32_t WeightRollout::parallelNow(std::size_t remaining, std::size_t serving, TimePoint now) const {
  TimePoint oldest = now;
  for (const auto& [model, target] : named_) oldest = std::min(oldest, target.named_at);
  const double total = toSeconds(options_.limit) * kUsableShare;
  const double left = std::max(total / 4, total - toSeconds(now - oldest));
  const double wanted = std::ceil(static_cast<double>(remaining) * load_seconds_ / left);
  const double share = std::floor(options_.parallel_share * static_cast<double>(serving));
  const double usual = std::max(static_cast<double>(options_.parallel), share);
  const double highest = std::max(static_cast<double>(options_.parallel) * kMaxParallelFactor, usual);
  return static_cast<std::uint32_t>(std::clamp(wanted, usual, highest));
}

Bundle WeightRollout::policy(const std::vector<Backend>& backends, std::uint32_t parallel) const {
  Bundle bundle;
  bundle.knobs.parallel_weight_loads = parallel;
  for (const auto& [model, target] : named_) {
    ModelPolicy entry;
    entry.name = model;
    entry.weights_version = std::to_string(target.version);
    std::set<std::string> pools;
    for (const Backend& backend : backends) {
      if (!backend.view.weightsOf(model).empty()) pools.insert(backend.view.pool);
    }
    entry.pools.assign(pools.begin(), pools.end());
    bundle.models.push_back(std::move(entry));
  }
  return bundle;
}

void WeightRollout::startOrders(const std::vector<Backend>& backends, TimePoint now) {
  std::vector<EngineView> engines;
  std::size_t remaining = 0;
  std::size_t serving = 0;
  for (const Backend& backend : backends) {
    if (!takesOrders(backend)) continue;
    ++serving;
    const auto backoff = backoff_until_.find(backend.view.name);
    if (backoff != backoff_until_.end() && now < backoff->second) continue;
    const bool old = outdated(named_, backend) != nullptr;
    remaining += old ? 1 : 0;
    engines.push_back(backend.view);
    engines.back().state = EngineState::Live;
    // Weights newer than those this node knows of are never replaced by older ones.
    if (!old) raiseToNamed(engines.back(), named_);
  }
  // Those furthest behind come first; otherwise a new version every few seconds would starve the last ones.
  const auto version = [](const EngineView& engine) {
    return engine.models.empty() ? 0 : weightsVersionNumber(engine.models.front().weights_version);
  };
  std::stable_sort(engines.begin(), engines.end(), [&](const EngineView& left, const EngineView& right) {
    return version(left) < version(right);
  });
  const Bundle bundle = policy(backends, parallelNow(remaining, serving, now));
  for (const FleetOrder& order : orders_.due(bundle, engines, now)) {
    ActiveOrder active;
    active.order = order;
    active.began_at = now;
    active.next_report_at = now;
    active_orders_[order.engine] = active;
  }
}

std::vector<RolloutAction> WeightRollout::due(const std::vector<Backend>& backends, TimePoint now) {
  std::erase_if(active_orders_, [&](const auto& item) {
    const bool listed = std::any_of(backends.begin(), backends.end(), [&](const Backend& backend) {
      return backend.view.name == item.first && takesRequests(backend);
    });
    const bool late = now - item.second.began_at >= kOrderTimeout;
    if (!listed || late) orders_.onFailed(item.second.order);
    return !listed || late;
  });
  startOrders(backends, now);
  std::vector<RolloutAction> actions;
  for (auto& [id, active] : active_orders_) {
    if (active.call_running) continue;
    RolloutAction action;
    action.backend = id;
    action.address = active.order.address;
    if (active.step == Step::ReadyToSend) {
      action.kind = RolloutAction::Kind::Order;
      action.model = active.order.model;
      action.version = weightsVersionNumber(active.order.weights_version);
      action.expected_orders_taken = active.orders_taken;
      active.step = Step::Sending;
      active.sent_at = now;
    } else if (now < active.next_report_at) {
      continue;
    }
    active.call_running = true;
    actions.push_back(std::move(action));
  }
  return actions;
}

void WeightRollout::onReport(const std::string& backend, const std::optional<WeightsReport>& report,
                             TimePoint now) {
  const auto found = active_orders_.find(backend);
  if (found == active_orders_.end()) return;
  ActiveOrder& active = found->second;
  active.call_running = false;
  active.next_report_at = now + kReportInterval;
  if (!report) {
    if (active.step == Step::AwaitingReport) fail(backend, now);
    return;
  }
  for (const LoadedModel& loaded : report->models) {
    const bool reached =
        weightsVersionNumber(loaded.weights_version) >= weightsVersionNumber(active.order.weights_version);
    if (loaded.model != active.order.model || !reached) continue;
    if (active.step == Step::AwaitingEffect) {
      load_seconds_ += 0.3 * (toSeconds(now - active.began_at) - load_seconds_);
    }
    orders_.onFailed(active.order);
    active_orders_.erase(found);
    return;
  }
  if (report->order_running) return;
  const bool may_predate_order = active.step == Step::AwaitingEffect && now - active.sent_at < kReportLag;
  if (may_predate_order) return;
  active.orders_taken = report->orders_taken;
  active.step = Step::ReadyToSend;
}

void WeightRollout::onOrderResponse(const std::string& backend, OrderResponse response, TimePoint now) {
  const auto found = active_orders_.find(backend);
  if (found == active_orders_.end()) return;
  ActiveOrder& active = found->second;
  active.call_running = false;
  active.step = Step::AwaitingEffect;
  active.next_report_at = now + kReportInterval;
  switch (response) {
    case OrderResponse::Begun:
    case OrderResponse::Unknown:
      return;
    case OrderResponse::InEffect:
      orders_.onFailed(active.order);
      active_orders_.erase(found);
      return;
    case OrderResponse::Conflict:
      active.step = Step::AwaitingReport;
      return;
    case OrderResponse::Fenced:
    case OrderResponse::Refused:
      fail(backend, now);
      return;
  }
}

void WeightRollout::fail(const std::string& backend, TimePoint now) {
  const auto found = active_orders_.find(backend);
  if (found == active_orders_.end()) return;
  orders_.onFailed(found->second.order);
  active_orders_.erase(found);
  backoff_until_[backend] = now + kFailureBackoff;
}

bool WeightRollout::isLoading(const std::string& backend) const {
  const auto found = active_orders_.find(backend);
  if (found == active_orders_.end()) return false;
  return found->second.step == Step::Sending || found->second.step == Step::AwaitingEffect;
}

void WeightRollout::reset() {
  active_orders_.clear();
  backoff_until_.clear();
  orders_.reset();
}

}  // namespace crankspur::gateway
