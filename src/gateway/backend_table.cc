#include "gateway/backend_table.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

/// Weight of one outcome in the smoothed share of failures.
constexpr double kFailureSmoothing = 0.15;
/// Share of failures at which a back end is ejected.
constexpr double kFailedShareLimit = 0.45;
/// Outcomes that are needed before a back end may be ejected.
constexpr std::uint32_t kMinOutcomes = 4;
constexpr double kResponseTimeSmoothing = 0.2;
/// Backoff after a refusal of a back end that is at capacity. It doubles with each consecutive refusal, up to
/// about the time that it takes to load weights. Without it, a back end that refuses all requests would look
/// idle and attract more of them.
constexpr Duration kFullBackoff = std::chrono::milliseconds(60);
constexpr std::uint32_t kMaxBackoffDoublings = 4;
/// An observed limit rises by one in each of these periods.
constexpr Duration kLimitRecovery = std::chrono::milliseconds(100);
/// Connections of a back end that are reserved for the control side of all gateways: one for events, one for
/// reports.
constexpr std::uint32_t kControlConnections = 2;

}  // namespace

void BackendTable::onSnapshot(const GatewaySnapshot& snapshot, TimePoint now) {
  reach_.onSnapshot(snapshot);
  for (const Backend& backend : snapshot.backends) {
    State& state = states_[backend.view.slot];
    if (state.incarnation != backend.view.incarnation) resetState(state, backend.view.incarnation, now);
    const bool is_leaving = backend.view.state == EngineState::Leaving;
    if (!is_leaving) state.leaving_since = TimePoint{};
    if (is_leaving && state.leaving_since == TimePoint{}) state.leaving_since = now;
  }
}

void BackendTable::resetState(State& state, std::uint64_t incarnation, TimePoint now) {
  // Requests to the previous incarnation count until they end.
  const std::uint32_t in_flight = state.in_flight;
  state = State();
  state.in_flight = in_flight;
  state.incarnation = incarnation;
  state.health.onPollSucceeded(now);  // The platform lists it.
}

const BackendTable::State* BackendTable::find(EngineSlot slot) const {
  const auto found = states_.find(slot);
  return found == states_.end() ? nullptr : &found->second;
}

void BackendTable::onDispatch(EngineSlot slot) {
  ++states_[slot].in_flight;
}

void BackendTable::onOutcome(EngineSlot slot, std::uint64_t incarnation, DispatchOutcome outcome,
                             TimePoint now) {
  State& state = states_[slot];
  const std::uint32_t in_flight_before = state.in_flight;
  if (state.in_flight > 0) --state.in_flight;
  if (state.incarnation != incarnation) return;
  switch (outcome) {
    case DispatchOutcome::Completed:
      return recordOutcome(state, false, now);
    case DispatchOutcome::ErrorResponse:
      return recordOutcome(state, true, now);
    case DispatchOutcome::Failed:
      state.health.onOutcome(OutcomeKind::Lost, Duration(0), now);
      return recordOutcome(state, true, now);
    case DispatchOutcome::ConnectFailed:
      return state.health.onOutcome(OutcomeKind::ConnectFailed, Duration(0), now);
    case DispatchOutcome::Full:
      state.limit = std::max(in_flight_before, 2U) - 1;
      state.limited_at = now;
      state.full_until = now + kFullBackoff * (1U << std::min(state.refusals, kMaxBackoffDoublings));
      ++state.refusals;
      return;
    case DispatchOutcome::Ended:
      return;
  }
}

void BackendTable::onPaused(EngineSlot slot, std::uint64_t incarnation, TimePoint until) {
  State& state = states_[slot];
  if (state.incarnation != incarnation) return;
  state.limit = std::max(state.in_flight / 2, 1U);
  state.limited_at = until;
}

void BackendTable::recordOutcome(State& state, bool failed, TimePoint now) {
  state.failed_share += kFailureSmoothing * ((failed ? 1.0 : 0.0) - state.failed_share);
  ++state.outcomes;
  if (!failed || state.outcomes < kMinOutcomes || state.failed_share < kFailedShareLimit) return;
  state.health.eject(now);
  state.failed_share = 0;
  state.outcomes = 0;
}

void BackendTable::onFirstByte(EngineSlot slot, std::uint64_t incarnation, Duration taken, Duration expected,
                               TimePoint now) {
  State& state = states_[slot];
  if (state.incarnation != incarnation) return;
  state.refusals = 0;
  state.health.onOutcome(OutcomeKind::Answered, taken - expected, now);
  const double seconds = toSeconds(taken);
  const bool first = state.response_seconds == 0;
  state.response_seconds =
      first ? seconds : state.response_seconds + kResponseTimeSmoothing * (seconds - state.response_seconds);
}

bool BackendTable::hasCapacity(const Backend& backend, const Pool& pool, std::uint32_t share_divisor,
                               TimePoint now) const {
  const State* state = find(backend.view.slot);
  if (state == nullptr) return true;
  if (now < state->full_until) return false;
  if (state->limit > 0) {
    const Duration time = std::max(Duration(0), now - state->limited_at);
    const auto recovered = static_cast<std::uint32_t>(time / kLimitRecovery);
    if (state->in_flight >= state->limit + recovered) return false;
  }
  if (pool.max_connections > 0) {
    const std::uint32_t share = pool.max_connections / std::max(share_divisor, 1U);
    const std::uint32_t usable = share > kControlConnections ? share - kControlConnections : 1;
    if (state->in_flight >= usable) return false;
  }
  return backend.slots == 0 || state->in_flight < backend.slots;
}

bool BackendTable::isHealthy(EngineSlot slot, TimePoint now) const {
  const State* state = find(slot);
  return state == nullptr || state->health.state(now) == HealthState::Healthy;
}

Duration BackendTable::leavingFor(EngineSlot slot, TimePoint now) const {
  const State* state = find(slot);
  return state == nullptr || state->leaving_since == TimePoint{} ? Duration(0) : now - state->leaving_since;
}

Duration BackendTable::ejectedFor(EngineSlot slot, TimePoint now) const {
  const State* state = find(slot);
  return state == nullptr ? Duration(0) : std::max(Duration(0), state->health.ejectedUntil() - now);
}

std::uint32_t BackendTable::inFlight(EngineSlot slot) const {
  const State* state = find(slot);
  return state == nullptr ? 0 : state->in_flight;
}

double BackendTable::lateness(EngineSlot slot) const {
  const State* state = find(slot);
  return state != nullptr && state->health.latenessKnown() ? state->health.lateness() : 0;
}

double BackendTable::responseTime(EngineSlot slot) const {
  const State* state = find(slot);
  return state == nullptr ? 0 : state->response_seconds;
}

}  // namespace crankspur::gateway
