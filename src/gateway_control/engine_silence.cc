/// @file Engines that answer nobody. The gateway that follows an engine's cache always has a call waiting
/// there, so that it notices within a second when the engine no longer answers, whatever traffic there is.
/// Where gateways share the following it tells the others.

#include <algorithm>

#include "gateway_control/gateway_control.h"

namespace crankspur::gateway {
namespace {

std::uint32_t wholeMilliseconds(Duration time) {
  const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(1, count));
}

}  // namespace

/// A gateway that nobody answers is itself cut off, or was frozen: it says nothing of engines then.
void GatewayControl::onCacheSilent(const CacheSilence& silence) {
  const Backend* backend = findBackend(silence.slot, silence.incarnation);
  if (backend == nullptr) return;
  if (backend->is_kv_store) return onStoreSilent(*backend);
  if (!silence.others_answer) return;
  const bool known = backend->silent_since != TimePoint{};
  const Duration time = now() - silence.since;
  if (!known) logSilence(backend->view.name, true, time);
  fleet_.onUnresponsive(backend->view.name, silence.since, now());
  BackendNote note;
  note.name = backend->view.name;
  note.silent_milliseconds = wholeMilliseconds(time);
  tellSharing(note);
  schedulePublish();
}

void GatewayControl::onCacheHeard(EngineSlot slot, std::uint64_t incarnation) {
  const Backend* backend = findBackend(slot, incarnation);
  if (backend == nullptr || !fleet_.onResponsive(backend->view.name, now())) return;
  logSilence(backend->view.name, false, now() - backend->silent_since);
  BackendNote note;
  note.name = backend->view.name;
  note.heard = true;
  tellSharing(note);
  schedulePublish();
}

void GatewayControl::onSilenceNote(const BackendNote& note) {
  if (findBackend(note.name) == nullptr) return;
  if (note.heard) {
    if (fleet_.onResponsive(note.name, now())) schedulePublish();
    return;
  }
  fleet_.onUnresponsive(note.name, now() - std::chrono::milliseconds(note.silent_milliseconds), now());
  schedulePublish();
}

void GatewayControl::tellSharing(const BackendNote& note) {
  for (const std::string& member : sharing_) {
    if (member != gossip_.ownName()) gossip_.tell(member, BackendNotes{{note}});
  }
}

void GatewayControl::logSilence(const std::string& backend, bool silent, Duration time) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  log_.write(EventId::BackendSilent, {{"backend", backend}, {"silent", silent}, {"for_ms", ms}});
}

}  // namespace crankspur::gateway
