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
/// Time for which a gateway alone may try a request with a part whose quarantine is over.
constexpr Duration kTrialTurn = std::chrono::seconds(2);

/// @return the ids of all parts but the last, which belongs to one request or session.
std::string shareablePartIds(const std::vector<PromptPart>& prompt) {
  std::string ids;
  for (std::size_t index = 0; index + 1 < prompt.size(); ++index) {
    ids += (index > 0 ? "," : "") + crankspur::toHex(prompt[index].id);
  }
  return ids;
}

}  // namespace

/// A request that crashed back ends one after the other is not run, nor is one with a prompt part that did. A
/// request that may have crashed some is run where the fewest other requests are at risk, and never by two
/// attempts at once: both could crash a back end before either crash is known.
/// @return whether the request may be sent to a back end now; otherwise it is queued or was refused.
bool Gateway::checkQuarantine(Entry& entry, TimePoint now) {
  entry.suspected.clear();
  entry.quarantined_until = TimePoint{};
  bool is_probing = false;
  bool awaits_evidence = false;
  const auto check = [&](const RequestFingerprint& suspect, bool is_part) {
    const CrashVerdict verdict = suspects_.judge(suspect, now);
    if (verdict.suspicion == Suspicion::none) return;
    entry.suspected.push_back(suspect);
    awaits_evidence = awaits_evidence || verdict.awaits_evidence;
    const TimePoint release = is_part ? releaseOf(suspect, verdict) : verdict.quarantined_until;
    if (now >= release) return;
    entry.quarantined_until = std::max(entry.quarantined_until, release);
    is_probing = is_probing || isProbing(suspect, now);
  };
  check(entry.fingerprint, false);
  for (const RequestFingerprint& part : entry.parts) check(part, true);
  if (now < entry.quarantined_until) {
    entry.cause = RequestCause::quarantined;
    if (is_probing) {
      wait(entry, now);
    } else {
      giveUp(entry, now);
    }
    return false;
  }
  if (awaits_evidence) {
    entry.cause = RequestCause::suspicion_undecided;
    wait(entry, now);
    return false;
  }
  if (entry.suspected.empty() || !hasConcurrentAttempt(entry)) return true;
  entry.cause = RequestCause::runs_already;
  wait(entry, now);
  return false;
}

/// After the quarantine of a part, all gateways together try one request with it. The gateways take turns,
/// each of which is long enough for the others to learn the outcome.
TimePoint Gateway::releaseOf(const RequestFingerprint& part, const CrashVerdict& verdict) const {
  const auto rank_of = [&part](std::string_view gateway) {
    return combineHashes(combineHashes(part.high, part.low), hashBytes(gateway));
  };
  const std::uint64_t own_rank = rank_of(snapshot_->own_name);
  const auto earlier = std::count_if(snapshot_->peers.begin(), snapshot_->peers.end(),
                                     [&](const PeerGateway& peer) { return rank_of(peer.name) < own_rank; });
  return verdict.quarantined_until + kTrialTurn * earlier;
}

/// @return whether another client request that is suspected for the same reason is at a back end.
bool Gateway::hasConcurrentAttempt(const Entry& entry) {
  const auto is_same = [&entry](const Entry& other) {
    return std::any_of(entry.suspected.begin(), entry.suspected.end(), [&other](const auto& suspect) {
      const auto& parts = other.parts;
      return suspect == other.fingerprint || std::find(parts.begin(), parts.end(), suspect) != parts.end();
    });
  };
  return std::any_of(exchanges_.begin(), exchanges_.end(), [&](const auto& exchange) {
    const Entry* other = findClient(exchange.second);
    return other != nullptr && other != &entry && is_same(*other);
  });
}

/// @return back ends that run an isolated request. Two of these at one back end would both be suspected of a
/// crash that one of them caused.
std::vector<EngineSlot> Gateway::slotsOfIsolatedRequests() {
  std::vector<EngineSlot> slots;
  for (const auto& [exchange, client] : exchanges_) {
    const Entry* entry = findClient(client);
    if (entry != nullptr && !entry->suspected.empty() && !entry->active.relayed)
      slots.push_back(entry->active.slot);
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
  if (brittle_.explainsCrash(entry.pool->name, active.slot, active.incarnation, now)) return;
  std::vector<CrashEvidence> accused = accusedBy(entry, active);
  std::erase_if(accused, [&](CrashEvidence& evidence) {
    evidence.crashed_at = now;
    return !suspects_.onCrash(evidence, now);
  });
  if (accused.empty()) return;
  reportSuspected(entry, active, accused.front(), now);
  reportConfirmedEnds(now);
  Probe* probe = sendProbe(entry, active, now);
  if (probe == nullptr) return;
  for (const CrashEvidence& evidence : accused) probe->suspects.push_back(evidence.request);
}

/// A back end that has sent a part of the body is past the point at which a prompt part crashes it.
/// @return what a crash under the exchange is evidence against, without the time of the crash.
std::vector<CrashEvidence> Gateway::accusedBy(const Entry& entry, const ActiveExchange& active) const {
  std::vector<CrashEvidence> accused;
  accused.push_back({entry.fingerprint, active.incarnation, active.sent_at, {}});
  if (active.body_began) return accused;
  std::uint32_t position = 0;
  for (const RequestFingerprint& part : entry.parts) {
    accused.push_back({part, active.incarnation, active.sent_at, {}, false, ++position});
  }
  return accused;
}

void Gateway::reportSuspected(const Entry& entry, const ActiveExchange& active, const CrashEvidence& evidence,
                              TimePoint now) {
  RequestSuspected record;
  record.request_id = entry.client.request_id;
  record.backend = entry.last_backend;
  record.parts = shareablePartIds(entry.client.prompt);
  record.body_began = active.body_began;
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
  bool is_suspect = false;
  for (const CrashEvidence& accused : accusedBy(entry, active)) {
    UnobservedEnd end;
    end.request = accused.request;
    end.backend = active.incarnation;
    end.sent_at = active.sent_at;
    end.ended_at = now;
    end.by_backend = cause == RequestCause::end_unproven || cause == RequestCause::answer_broke_off;
    end.request_id = entry.client.request_id;
    end.backend_name = entry.last_backend;
    end.part_position = accused.part_position;
    suspects_.onUnobservedEnd(end, now);
    is_suspect = is_suspect || suspects_.judge(accused.request, now).crashes > 0;
  }
  reportConfirmedEnds(now);
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
    const CrashEvidence evidence{end.request,  end.backend, end.sent_at,
                                 end.ended_at, false,       end.part_position};
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
    return pending && std::find(sent_probe.suspects.begin(), sent_probe.suspects.end(), request) !=
                          sent_probe.suspects.end();
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
        sent_probe.suspects.empty() ? RequestFingerprint{} : sent_probe.suspects.front();
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
  if (suspects_.onCompleteResponse(entry.fingerprint, now)) reportCleared(entry, entry.fingerprint);
  recordPartsAnswered(entry, now);
}

void Gateway::recordBodyBegin(Entry& entry, TimePoint now) {
  if (entry.active.relayed || std::exchange(entry.active.body_began, true)) return;
  recordPartsAnswered(entry, now);
}

void Gateway::recordPartsAnswered(const Entry& entry, TimePoint now) {
  for (const RequestFingerprint& part : entry.parts) {
    if (suspects_.onPartAnswered(part, now)) reportCleared(entry, part);
  }
}

void Gateway::reportCleared(const Entry& entry, const RequestFingerprint& suspect) {
  observer_.onSuspicionWithdrawn(
      {entry.client.request_id, suspect, entry.last_backend, false, entry.active.status});
}

}  // namespace crankspur::gateway
