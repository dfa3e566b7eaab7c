#include "gateway/backend_reach.h"

namespace crankspur::gateway {
namespace {

/// A back end from which nothing was received for longer may be out of reach meanwhile.
constexpr Duration kFreshness = std::chrono::seconds(1);
/// The calls that follow a cache detect within this time that its engine is out of reach. After it, a
/// response to them outweighs an earlier failure of a request.
constexpr Duration kCallDetectionTime = std::chrono::milliseconds(1'100);
/// Failures of fewer back ends are no evidence of a partition while other back ends were not tried.
constexpr std::uint32_t kMinOutOfReach = 2;

}  // namespace

void BackendReach::onSnapshot(const GatewaySnapshot& snapshot) {
  for (const Backend& backend : snapshot.backends) {
    State& state = states_[backend.view.slot];
    if (state.incarnation != backend.view.incarnation) state = State{backend.view.incarnation};
    state.unanswered_since = backend.unresponsive_since;
    state.answers_calls = backend.answers_calls;
  }
}

const BackendReach::State* BackendReach::find(EngineSlot slot) const {
  const auto found = states_.find(slot);
  return found == states_.end() ? nullptr : &found->second;
}

void BackendReach::onReceived(EngineSlot slot, TimePoint now) {
  State& state = states_[slot];
  state.received_at = now;
  state.failed_at = TimePoint{};
}

void BackendReach::onFailed(EngineSlot slot, std::uint64_t incarnation, TimePoint now) {
  State& state = states_[slot];
  if (state.incarnation == incarnation) state.failed_at = now;
}

Reach BackendReach::of(EngineSlot slot, TimePoint now) const {
  const State* state = find(slot);
  if (state == nullptr) return Reach::unknown;
  if (state->unanswered_since > state->received_at) return Reach::out_of_reach;
  const bool refuted_by_calls = state->answers_calls && now >= state->failed_at + kCallDetectionTime;
  const bool failed = state->failed_at != TimePoint{};
  if (failed && !refuted_by_calls) return Reach::out_of_reach;
  const bool received_lately = state->received_at != TimePoint{} && now - state->received_at <= kFreshness;
  return state->answers_calls || received_lately ? Reach::in_reach : Reach::unknown;
}

TimePoint BackendReach::lastReceivedAt(EngineSlot slot) const {
  const State* state = find(slot);
  return state == nullptr ? TimePoint{} : state->received_at;
}

bool BackendReach::isUnresponsive(const Backend& backend) const {
  const TimePoint since = std::max(backend.unresponsive_since, backend.reported_unresponsive_since);
  return since != TimePoint{} && lastReceivedAt(backend.view.slot) <= since;
}

PoolReach BackendReach::ofPool(const std::vector<const Backend*>& listed, TimePoint now) const {
  PoolReach pool;
  for (const Backend* backend : listed) {
    ++pool.listed;
    const Reach reach = of(backend->view.slot, now);
    if (reach == Reach::out_of_reach) ++pool.out_of_reach;
    if (reach == Reach::in_reach) ++pool.in_reach;
    if (isUnresponsive(*backend)) ++pool.unanswered;
  }
  return pool;
}

bool isPartition(const PoolReach& reach) {
  const bool most = reach.listed > 0 && reach.out_of_reach * 2 >= reach.listed;
  return most || (reach.out_of_reach >= kMinOutOfReach && reach.out_of_reach > reach.in_reach);
}

bool maybePartition(const PoolReach& reach) {
  return reach.out_of_reach >= kMinOutOfReach || (reach.listed > 0 && reach.out_of_reach == reach.listed);
}

}  // namespace crankspur::gateway
