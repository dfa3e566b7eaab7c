/// @file Part of GatewayControl: detects unresponsive engines. The gateway that follows an engine's cache
/// always has a call pending there, so that it notices within a second when the engine stops responding,
/// regardless of traffic. Where gateways share the work of following caches, it notifies the others.

#include <algorithm>

#include "gateway_control/gateway_control.h"

namespace crankspur::gateway {
namespace {

std::uint32_t wholeMilliseconds(Duration time) {
  const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(1, count));
}

}  // namespace

/// A gateway that gets no response from most caches is itself cut off, or was suspended. It then reports no
/// engine to the others; its own traffic has to know which engines do not respond to it all the same.
void GatewayControl::onCacheUnresponsive(const UnresponsiveCache& cache) {
  const Backend* backend = findBackend(cache.slot, cache.incarnation);
  if (backend == nullptr) return;
  if (backend->is_kv_store) return onStoreUnresponsive(*backend);
  const bool known = backend->unresponsive_since != TimePoint{};
  const Duration time = now() - cache.since;
  if (!known) logUnresponsive(backend->view.name, true, time);
  fleet_.onUnresponsive(backend->view.name, cache.since, now());
  schedulePublish();
  if (!cache.others_responded || fleet_.isMostlyUnresponsive(now())) return;
  BackendNote note;
  note.name = backend->view.name;
  note.silent_milliseconds = wholeMilliseconds(time);
  sendToSharingGateways(note);
}

void GatewayControl::onCacheResponse(EngineSlot slot, std::uint64_t incarnation) {
  const Backend* backend = findBackend(slot, incarnation);
  if (backend != nullptr && fleet_.onResponse(backend->view.name, now())) schedulePublish();
}

void GatewayControl::onCacheResponsive(EngineSlot slot, std::uint64_t incarnation) {
  const Backend* backend = findBackend(slot, incarnation);
  if (backend == nullptr || !fleet_.onResponsive(backend->view.name, now())) return;
  logUnresponsive(backend->view.name, false, now() - backend->unresponsive_since);
  BackendNote note;
  note.name = backend->view.name;
  note.heard = true;
  sendToSharingGateways(note);
  schedulePublish();
}

void GatewayControl::onUnresponsiveNote(const BackendNote& note) {
  if (findBackend(note.name) == nullptr) return;
  if (note.heard) {
    if (fleet_.onResponsiveReport(note.name, now())) schedulePublish();
    return;
  }
  fleet_.onUnresponsiveReport(note.name, now() - std::chrono::milliseconds(note.silent_milliseconds), now());
  schedulePublish();
}

void GatewayControl::sendToSharingGateways(const BackendNote& note) {
  for (const std::string& member : sharing_) {
    if (member != gossip_.ownName()) gossip_.sendTo(member, BackendNotes{{note}});
  }
}

void GatewayControl::logUnresponsive(const std::string& backend, bool unresponsive, Duration time) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  log_.write(EventId::BackendSilent, {{"backend", backend}, {"silent", unresponsive}, {"for_ms", ms}});
}

}  // namespace crankspur::gateway
