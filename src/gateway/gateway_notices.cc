/// @file Member functions of Gateway for what back ends state of themselves in their responses.

#include "gateway/gateway.h"

namespace crankspur::gateway {

/// To be called for each response of a back end, whatever its status.
void Gateway::recordStatements(const Entry& entry, const BackendResponse& response, TimePoint now) {
  recordLimit(entry, response, now);
  recordPause(entry, response, now);
  recordDeparture(entry, response, now);
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
}

/// A later incarnation that refuses a request as misdirected does not speak for the one that it was sent to.
void Gateway::recordDeparture(const Entry& entry, const BackendResponse& response, TimePoint now) {
  const bool is_other_incarnation = response.wrong_backend && !response.weights_version;
  if (!response.leaving || is_other_incarnation) return;
  if (!notices_.onDeparture(entry.active.incarnation, now)) return;
  const Backend* backend = snapshot_->backend(entry.active.slot);
  const bool same_incarnation = backend != nullptr && backend->view.incarnation == entry.active.incarnation;
  const bool listed_as_leaving = same_incarnation && backend->view.state == EngineState::Leaving;
  observer_.onBackendLeaving(
      {entry.client.request_id, entry.last_backend, entry.active.status, listed_as_leaving});
}

}  // namespace crankspur::gateway
