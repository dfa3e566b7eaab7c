/// @file What a gateway does about requests that may crash the back ends which run them.

#include <algorithm>

#include "gateway/gateway.h"

namespace crankspur::gateway {
namespace {

/// A probe that is not answered in this time is given up: a back end that lives answers in some milliseconds,
/// and one that crashed may be back later.
constexpr Duration kProbeTime = std::chrono::milliseconds(300);

}  // namespace

/// A request that has crashed back ends one after the other is not run; one that may have is run where the
/// least is lost, and not by two attempts at once: both would crash a back end before either crash is known.
/// @return whether the request may be sent to a back end now; otherwise it waits or has been given up.
bool Gateway::passesQuarantine(Entry& entry, TimePoint now) {
  const CrashVerdict verdict = suspects_.judge(entry.fingerprint, now);
  entry.isolated = verdict.suspicion != Suspicion::none;
  if (verdict.suspicion == Suspicion::quarantined) {
    entry.quarantined_until = verdict.quarantined_until;
    if (isProbing(entry.fingerprint, now)) {
      entry.cause = RequestCause::quarantined;
      wait(entry, now);
      return false;
    }
    giveUpFor(entry, RequestCause::quarantined, now);
    return false;
  }
  if (!entry.isolated || !runsElsewhere(entry)) return true;
  entry.cause = RequestCause::runs_already;
  wait(entry, now);
  return false;
}

/// @return whether another attempt of the same request is at a back end.
bool Gateway::runsElsewhere(const Entry& entry) {
  return std::any_of(exchanges_.begin(), exchanges_.end(), [&](const auto& exchange) {
    const Entry* other = findClient(exchange.second);
    return other != nullptr && other != &entry && other->fingerprint == entry.fingerprint;
  });
}

/// @return back ends that run an isolated request: two of them at one place would be blamed for each other.
std::vector<EngineSlot> Gateway::slotsOfIsolated() {
  std::vector<EngineSlot> slots;
  for (const auto& [exchange, client] : exchanges_) {
    const Entry* entry = findClient(client);
    if (entry != nullptr && entry->isolated) slots.push_back(entry->running.slot);
  }
  return slots;
}

/// A back end broke off. One that leaves as planned ends its last answers so.
void Gateway::noteCrash(const Entry& entry, const Running& running, TimePoint now) {
  const Backend* backend = snapshot_->backend(running.slot);
  const bool present = backend != nullptr && backend->view.incarnation == running.incarnation;
  if (present && backend->view.state == EngineState::Leaving) return;
  const CrashEvidence evidence{entry.fingerprint, running.incarnation, running.sent_at, now};
  if (!suspects_.onCrash(evidence, now)) return;
  const CrashVerdict verdict = suspects_.judge(entry.fingerprint, now);
  RequestSuspected record;
  record.request_id = entry.client.request_id;
  record.fingerprint = entry.fingerprint;
  record.backend = entry.last_backend;
  record.after = now - running.sent_at;
  record.crashes = verdict.crashes;
  record.suspicion = verdict.suspicion;
  if (verdict.suspicion == Suspicion::quarantined) record.quarantine = verdict.quarantined_until - now;
  observer_.onSuspected(record);
  probe(entry, running, now);
}

/// A connection also breaks where the back end goes on. One question is asked for all requests that it had.
void Gateway::probe(const Entry& entry, const Running& running, TimePoint now) {
  for (auto& [id, asked] : probes_) {
    if (asked.incarnation != running.incarnation || now >= asked.sent_at + kProbeTime) continue;
    asked.requests.push_back(entry.fingerprint);
    return;
  }
  const Backend* backend = snapshot_->backend(running.slot);
  if (backend == nullptr || entry.pool->health_path.empty()) return;
  const std::uint64_t id = next_probe_++;
  probes_[id] = {{entry.fingerprint}, entry.client.request_id, entry.last_backend, running.incarnation, now};
  actions_.emplace_back(ProbeBackend{id, backend->view.address, entry.pool->health_path});
}

bool Gateway::isProbing(const RequestFingerprint& request, TimePoint now) const {
  return std::any_of(probes_.begin(), probes_.end(), [&](const auto& item) {
    const Probe& asked = item.second;
    const bool pending = now < asked.sent_at + kProbeTime;
    return pending &&
           std::find(asked.requests.begin(), asked.requests.end(), request) != asked.requests.end();
  });
}

void Gateway::onProbeResult(std::uint64_t probe, bool answered, TimePoint now) {
  const auto found = probes_.find(probe);
  if (found == probes_.end()) return;
  const Probe asked = std::move(found->second);
  probes_.erase(found);
  if (answered && suspects_.onSignOfLife(asked.incarnation, asked.sent_at, now)) {
    observer_.onSuspicionWithdrawn({asked.request_id, asked.requests.front(), asked.backend, true});
  }
  serveQueue(now);
}

void Gateway::noteSignOfLife(const Entry& entry, TimePoint now) {
  const Running& running = entry.running;
  if (!suspects_.onSignOfLife(running.incarnation, running.sent_at, now)) return;
  observer_.onSuspicionWithdrawn({entry.client.request_id, entry.fingerprint, entry.last_backend, true});
}

void Gateway::noteWholeAnswer(const Entry& entry, TimePoint now) {
  if (!suspects_.onWholeAnswer(entry.fingerprint, now)) return;
  observer_.onSuspicionWithdrawn({entry.client.request_id, entry.fingerprint, entry.last_backend, false});
}

}  // namespace crankspur::gateway
