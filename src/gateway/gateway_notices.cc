/// @file Member functions of Gateway for what back ends state of themselves in their responses.

#include <algorithm>

#include "gateway/gateway.h"

namespace crankspur::gateway {

/// To be called for each response of a back end, whatever its status.
void Gateway::recordStatements(const Entry& entry, const BackendResponse& response, TimePoint now) {
  recordLimit(entry, response, now);
  recordPause(entry, response, now);
  recordDeparture(entry, response, now);
  recordBrittleness(entry, response, now);
}

void Gateway::recordBrittleness(const Entry& entry, const BackendResponse& response, TimePoint now) {
  BrittleStatement statement;
  statement.brittle = response.tolerated_rejections.has_value();
  statement.tolerated_rejections = response.tolerated_rejections.value_or(0);
  statement.success = response.genuine && isSuccess(entry.active.status);
  statement.sent_at = entry.active.sent_at;
  if (!brittle_.onResponse(entry.pool->name, entry.active.incarnation, statement, now)) return;
  BackendBrittle record;
  record.request_id = entry.client.request_id;
  record.backend = entry.last_backend;
  record.status = entry.active.status;
  record.brittle = statement.brittle;
  record.tolerated_rejections = statement.tolerated_rejections;
  record.in_flight = table_.inFlight(entry.active.slot);
  observer_.onBackendBrittle(record);
}

/// The response needs no further marks: whatever process listens at the address wants to be left alone.
void Gateway::recordPause(const Entry& entry, const BackendResponse& response, TimePoint now) {
  const std::uint64_t incarnation = entry.active.incarnation;
  if (!response.invalid_pause.empty()) {
    const bool is_new = notices_.onInvalidPause(incarnation, response.invalid_pause);
    if (is_new) observer_.onBackendPauseInvalid({entry.last_backend, response.invalid_pause});
    return;
  }
  if (!response.pause || !notices_.onPause(incarnation, *response.pause, now)) return;
  BackendPaused record;
  record.request_id = entry.client.request_id;
  record.backend = entry.last_backend;
  record.status = entry.active.status;
  record.asked = *response.pause;
  record.paused_for = notices_.pausedFor(incarnation, now);
  record.in_flight = table_.inFlight(entry.active.slot);
  observer_.onBackendPaused(record);
  table_.onPaused(entry.active.slot, incarnation, now + record.paused_for);
  recallFromPausedBackend(incarnation);
}

/// The back end leaves from now on as if it was listed so, until it ends. A later incarnation that refuses a
/// request as misdirected does not speak for the one that it was sent to.
void Gateway::recordDeparture(const Entry& entry, const BackendResponse& response, TimePoint now) {
  const bool is_other_incarnation = response.wrong_backend && !response.weights_version;
  if (!response.leaving || is_other_incarnation) return;
  if (!notices_.onDeparture(entry.active.incarnation, now)) return;
  const Backend* backend = snapshot_->backend(entry.active.slot);
  const bool same_incarnation = backend != nullptr && backend->view.incarnation == entry.active.incarnation;
  const bool listed_as_leaving = same_incarnation && backend->view.state == EngineState::Leaving;
  observer_.onBackendLeaving(
      {entry.client.request_id, entry.last_backend, entry.active.status, listed_as_leaving});
  if (listed_as_leaving) return;
  snapshot_ = withStatedDepartures(snapshot_);
  table_.onSnapshot(*snapshot_, now);
  choice_.onSnapshot(*snapshot_);
  recallFromLeavingBackends();
}

/// The list of back ends may be late, and some back ends leave without a notice there.
std::shared_ptr<const GatewaySnapshot> Gateway::withStatedDepartures(
    std::shared_ptr<const GatewaySnapshot> listed) const {
  const auto leaves_unlisted = [this](const Backend& backend) {
    return !isGone(backend.view.state) && notices_.isLeaving(backend.view.incarnation);
  };
  const auto& backends = listed->backends;
  if (!notices_.anyDeparture() || std::none_of(backends.begin(), backends.end(), leaves_unlisted))
    return listed;
  auto snapshot = std::make_shared<GatewaySnapshot>(*listed);
  for (Backend& backend : snapshot->backends) {
    if (leaves_unlisted(backend)) backend.view.state = EngineState::Leaving;
  }
  return snapshot;
}

/// Chooses among the back ends that accept requests. The request counts towards the limit of the chosen one.
Choice Gateway::chooseAccepting(Entry& entry, const Pool& pool, TimePoint now) {
  ChoiceRequest request = choiceRequest(entry, pool, now);
  if (!limits_.any() && !notices_.anyPause() && !brittle_.any())
    return choice_.choose(request, *snapshot_, table_, now);
  bool is_room_used_up = false;
  for (const Backend& backend : snapshot_->backends) {
    if (backend.view.pool != pool.name) continue;
    const EngineSlot slot = backend.view.slot;
    if (!acceptsRequests(backend, now)) {
      request.excluded.push_back(slot);
      passOver(entry, backend, now);
    } else if (!brittle_.hasRoom(backend, table_.inFlight(slot), *snapshot_, now)) {
      request.excluded.push_back(slot);
      is_room_used_up = true;
    }
  }
  Choice choice = choice_.choose(request, *snapshot_, table_, now);
  while (choice.backend != nullptr && !limits_.admit(choice.backend->view.incarnation, now)) {
    request.excluded.push_back(choice.backend->view.slot);
    passOver(entry, *choice.backend, now);
    choice = choice_.choose(request, *snapshot_, table_, now);
  }
  choice.at_capacity = choice.at_capacity || (choice.backend == nullptr && is_room_used_up);
  return choice;
}

/// A pause has no exception: unlike a back end that fails, one that wants no requests gets none although
/// there is no other.
bool Gateway::acceptsRequests(const Backend& backend, TimePoint now) {
  const std::uint64_t incarnation = backend.view.incarnation;
  return notices_.pausedFor(incarnation, now) == Duration(0) && limits_.hasRoom(incarnation, now);
}

void Gateway::passOver(Entry& entry, const Backend& backend, TimePoint now) {
  if (backend.view.state != EngineState::Live) return;
  const Duration pause = notices_.pausedFor(backend.view.incarnation, now);
  const Duration time_left = std::max(pause, limits_.timeToRoom(backend.view.incarnation, now));
  PassedOver& passed_over = entry.passed_over;
  passed_over.time_left = passed_over.backends == 0 ? time_left : std::min(passed_over.time_left, time_left);
  ++passed_over.backends;
  if (pause > Duration(0)) ++passed_over.paused;
}

/// @return time until the first back end of the request's route takes requests again, if all are paused.
Duration Gateway::pauseOfRoute(const Entry& entry, TimePoint now) const {
  if (!notices_.anyPause()) return Duration(0);
  std::optional<Duration> shortest;
  for (const Backend& backend : snapshot_->backends) {
    const bool serves_route = std::any_of(
        entry.route->pools.begin(), entry.route->pools.end(),
        [&backend](const PoolShare& share) { return share.weight > 0 && share.pool == backend.view.pool; });
    if (!serves_route || backend.view.state != EngineState::Live) continue;
    const Duration pause = notices_.pausedFor(backend.view.incarnation, now);
    shortest = std::min(shortest.value_or(pause), pause);
  }
  return shortest.value_or(Duration(0));
}

/// A connection may take half a second to open. A request that waits for it is not sent to a back end that
/// pauses meanwhile.
void Gateway::recallFromPausedBackend(std::uint64_t incarnation) {
  for (const auto& [exchange, client] : exchanges_) {
    Entry* entry = findClient(client);
    if (entry == nullptr || entry->active.exchange != exchange) continue;
    if (entry->active.incarnation == incarnation) recall(entry->active);
  }
}

}  // namespace crankspur::gateway
