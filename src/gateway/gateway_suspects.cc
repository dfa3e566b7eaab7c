/// @file Member functions of Gateway that handle requests which may crash the back ends that run them.

#include <algorithm>

#include "base/hash.h"
#include "gateway/gateway.h"

namespace crankspur::gateway {
namespace {

/// A live back end responds to a probe within milliseconds. A later response may come from a back end that
/// crashed and has restarted, so the probe is abandoned.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(300);
/// A back end that leaves as planned serves on for some seconds. The list may lag behind by one of them.
constexpr Duration kMinDrainTime = std::chrono::seconds(1);

/// @return the ids of all parts but the last, which belongs to one request or session.
std::string shareablePartIds(const std::vector<PromptPart>& prompt) {
  std::string ids;
  for (std::size_t index = 0; index + 1 < prompt.size(); ++index) {
    ids += (index > 0 ? "," : "") + crankspur::toHex(prompt[index].id);
  }
  return ids;
}

}  // namespace

/// A request that crashed back ends one after the other is not run. One that may have crashed some is run
/// where the fewest other requests are at risk, and never by two attempts at once: both could crash a back
/// end before either crash is known.
/// @return whether the request may be sent to a back end now; otherwise it is queued or was refused.
bool Gateway::checkQuarantine(Entry& entry, TimePoint now) {
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
  if (!entry.isolated || !hasConcurrentAttempt(entry)) return true;
  entry.cause = RequestCause::runs_already;
  wait(entry, now);
  return false;
}

/// @return whether another client request with the same fingerprint is at a back end.
bool Gateway::hasConcurrentAttempt(const Entry& entry) {
  return std::any_of(exchanges_.begin(), exchanges_.end(), [&](const auto& exchange) {
    const Entry* other = findClient(exchange.second);
    return other != nullptr && other != &entry && other->fingerprint == entry.fingerprint;
  });
}

/// @return back ends that run an isolated request. Two of these at one back end would both be suspected of a
/// crash that one of them caused.
std::vector<EngineSlot> Gateway::slotsOfIsolatedRequests() {
  std::vector<EngineSlot> slots;
  for (const auto& [exchange, client] : exchanges_) {
    const Entry* entry = findClient(client);
    if (entry != nullptr && entry->isolated && !entry->active.relayed) slots.push_back(entry->active.slot);
  }
  return slots;
}

/// The connection to a back end broke, which may mean that it crashed. A back end that leaves as planned also
/// breaks the connections of its last responses; these are not counted as crashes, unless it has just begun
/// to leave and does not respond any more.
void Gateway::recordCrash(const Entry& entry, const ActiveExchange& active, TimePoint now) {
  const Backend* backend = snapshot_->backend(active.slot);
  const bool same_incarnation = backend != nullptr && backend->view.incarnation == active.incarnation;
  if (same_incarnation && backend->view.state == EngineState::Leaving) {
    recordUnobservedEnd(entry, active, entry.cause, now);
    if (table_.leavingFor(active.slot, now) < kMinDrainTime) probeUnobservedEnds(entry, active, now);
    return;
  }
  const CrashEvidence evidence{entry.fingerprint, active.incarnation, active.sent_at, now};
  if (!suspects_.onCrash(evidence, now)) return;
  reportSuspected(entry, active, evidence, now);
  reportConfirmedEnds(now);
  if (Probe* probe = sendProbe(entry, active, now)) probe->requests.push_back(entry.fingerprint);
}

void Gateway::reportSuspected(const Entry& entry, const ActiveExchange& active, const CrashEvidence& evidence,
                              TimePoint now) {
  RequestSuspected record;
  record.request_id = entry.client.request_id;
  record.backend = entry.last_backend;
  record.parts = shareablePartIds(entry.client.prompt);
  record.body_began = active.first_byte;
  reportSuspected(std::move(record), evidence, now);
}

void Gateway::reportSuspected(RequestSuspected record, const CrashEvidence& evidence, TimePoint now) {
  const CrashVerdict verdict = suspects_.judge(evidence.request, now);
  record.fingerprint = evidence.request;
  record.after = evidence.crashed_at - evidence.sent_at;
  record.crashes = verdict.crashes;
  record.crashes_in_all = verdict.crashes_in_all;
  record.suspicion = verdict.suspicion;
  if (verdict.suspicion == Suspicion::quarantined) record.quarantine = verdict.quarantined_until - now;
  observer_.onSuspected(record);
}

/// To be called when an exchange ends in a way that may hide a crash of the back end.
void Gateway::recordUnobservedEnd(const Entry& entry, const ActiveExchange& active, RequestCause cause,
                                  TimePoint now) {
  if (active.exchange == 0 || active.relayed) return;
  observer_.onEndUnobserved({entry.client.request_id, entry.fingerprint, entry.last_backend, cause});
  UnobservedEnd end;
  end.request = entry.fingerprint;
  end.backend = active.incarnation;
  end.sent_at = active.sent_at;
  end.ended_at = now;
  end.by_backend = cause == RequestCause::end_unproven || cause == RequestCause::answer_broke_off;
  end.request_id = entry.client.request_id;
  end.backend_name = entry.last_backend;
  suspects_.onUnobservedEnd(end, now);
  reportConfirmedEnds(now);
  const bool is_suspect = suspects_.judge(entry.fingerprint, now).crashes > 0;
  if (is_suspect) probeUnobservedEnds(entry, active, now);
}

void Gateway::reportConfirmedEnds(TimePoint now) {
  for (const UnobservedEnd& end : suspects_.takeConfirmed()) {
    RequestSuspected record;
    record.request_id = end.request_id;
    record.backend = end.backend_name;
    reportSuspected(std::move(record), {end.request, end.backend, end.sent_at, end.ended_at}, now);
  }
}

void Gateway::onCrashUpdate(const CrashUpdate& update, TimePoint now) {
  suspects_.merge(update, now);
  reportConfirmedEnds(now);
}

/// Probes a back end that closed connections without showing whether it crashed: a refused connection, or a
/// request that is suspected already, makes a crash likely. Bytes that it sent later show that it did not.
void Gateway::probeUnobservedEnds(const Entry& entry, const ActiveExchange& active, TimePoint now) {
  std::vector<UnobservedEnd> ends = suspects_.possibleCrashes(active.incarnation, now);
  const TimePoint received_at = table_.reach().lastReceivedAt(active.slot);
  std::erase_if(ends, [received_at](const UnobservedEnd& end) { return received_at > end.ended_at; });
  if (ends.empty()) return;
  if (Probe* probe = sendProbe(entry, active, now)) probe->unobserved = std::move(ends);
}

/// A connection may also break although the back end is live, so its health is probed. All requests that it
/// ran share one probe.
/// @return null: the back end is not listed, or its pool has no health path.
Gateway::Probe* Gateway::sendProbe(const Entry& entry, const ActiveExchange& active, TimePoint now) {
  for (auto& [id, sent_probe] : probes_) {
    if (sent_probe.incarnation == active.incarnation && now < sent_probe.sent_at + kProbeTimeout)
      return &sent_probe;
  }
  const Backend* backend = snapshot_->backend(active.slot);
  if (backend == nullptr || entry.pool->health_path.empty()) return nullptr;
  const std::uint64_t id = next_probe_++;
  Probe& probe = probes_[id];
  probe.request_id = entry.client.request_id;
  probe.backend = entry.last_backend;
  probe.pool = entry.pool->name;
  probe.incarnation = active.incarnation;
  probe.sent_at = now;
  actions_.emplace_back(ProbeBackend{id, backend->view.address, entry.pool->health_path});
  return &probe;
}

/// The back end refused the connection of its probe: its process is gone. One that only does not respond may
/// be busy. While many back ends are out of reach, this gateway is more likely to be partitioned from them.
void Gateway::confirmByProbe(const Probe& probe, TimePoint now) {
  if (snapshot_->configuration == nullptr) return;
  const Pool* pool = snapshot_->configuration->findPool(probe.pool);
  if (pool == nullptr || isPartitioned(*pool, now)) return;
  for (const UnobservedEnd& end : probe.unobserved) {
    const CrashEvidence evidence{end.request, end.backend, end.sent_at, end.ended_at};
    if (!suspects_.onCrash(evidence, now)) continue;
    RequestSuspected record;
    record.request_id = end.request_id;
    record.backend = end.backend_name;
    reportSuspected(std::move(record), evidence, now);
  }
  reportConfirmedEnds(now);
}

bool Gateway::isProbing(const RequestFingerprint& request, TimePoint now) const {
  return std::any_of(probes_.begin(), probes_.end(), [&](const auto& item) {
    const Probe& sent_probe = item.second;
    const bool pending = now < sent_probe.sent_at + kProbeTimeout;
    return pending && std::find(sent_probe.requests.begin(), sent_probe.requests.end(), request) !=
                          sent_probe.requests.end();
  });
}

void Gateway::onProbeResult(std::uint64_t probe, ProbeOutcome outcome, TimePoint now) {
  const bool responded = outcome == ProbeOutcome::responded;
  if (onReachProbeResult(probe, responded, now)) return;
  const auto found = probes_.find(probe);
  if (found == probes_.end()) return;
  const Probe sent_probe = std::move(found->second);
  probes_.erase(found);
  if (outcome == ProbeOutcome::refused) confirmByProbe(sent_probe, now);
  if (responded && suspects_.onSignOfLife(sent_probe.incarnation, sent_probe.sent_at, now)) {
    const RequestFingerprint request =
        sent_probe.requests.empty() ? RequestFingerprint{} : sent_probe.requests.front();
    observer_.onSuspicionWithdrawn({sent_probe.request_id, request, sent_probe.backend, true});
  }
  serveQueue(now);
}

void Gateway::recordSignOfLife(const Entry& entry, TimePoint now) {
  const ActiveExchange& active = entry.active;
  if (!suspects_.onSignOfLife(active.incarnation, active.sent_at, now)) return;
  observer_.onSuspicionWithdrawn({entry.client.request_id, entry.fingerprint, entry.last_backend, true});
}

void Gateway::recordCompleteResponse(const Entry& entry, TimePoint now) {
  if (!suspects_.onCompleteResponse(entry.fingerprint, now)) return;
  observer_.onSuspicionWithdrawn(
      {entry.client.request_id, entry.fingerprint, entry.last_backend, false, entry.active.status});
}

}  // namespace crankspur::gateway
