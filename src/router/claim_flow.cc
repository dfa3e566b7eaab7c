/// @file Claims of operations that must not be repeated: acquisition before the dispatch, and the record or
/// release after it.

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "router/request_router_impl.h"

namespace crankspur {

namespace {

/// Time limit of the table's decision. An early refusal that is certain to be correct serves a caller better.
constexpr Duration kClaimTimeout = std::chrono::seconds(2);
/// Maximum number of claims whose record or release may wait for the table. Further ones are held only by the
/// members of the claim group.
constexpr std::size_t kMaxClaims = 20'000;
/// Retry delay returned to callers while the table is unavailable.
constexpr Duration kTableRetryAfter = std::chrono::seconds(2);
/// Retry delay returned to callers whose idempotency key is held by another attempt.
constexpr Duration kHolderRetryAfter = std::chrono::seconds(1);

/// @return a hash that distinguishes requests with the same idempotency key.
std::string contentHash(const SubmitRequest& request) {
  return sha256Hex(request.operation + '\n' + request.prompt);
}

}  // namespace

std::uint64_t RequestRouterImpl::addClaim(RequestEntry& entry) {
  const std::uint64_t id = next_claim_++;
  ClaimWork work;
  work.entry = entry.serial;
  work.key = claimKey(entry.request.tenant, entry.request.idempotency_key);
  work.body_hash = contentHash(entry.request);
  claims_.emplace(id, std::move(work));
  entry.claim = id;
  entry.phase = RequestEntry::Phase::Claiming;
  schedule(entry);
  return id;
}

std::string RequestRouterImpl::newClaimToken(const RequestEntry& entry) {
  const std::uint64_t high = random_.bits();
  const std::uint64_t low = random_.bits();
  return fmt::format("{}:{}:{:016x}{:016x}", options_.router_name, entry.request.request_id, high, low);
}

void RequestRouterImpl::startClaim(RequestEntry& entry, TimePoint now) {
  if (snapshot_->claims_by_group) return requestGroupClaim(addClaim(entry), entry, now);
  if (!table_health_.allow(now)) {
    return refuse(entry, ErrorCode::ClaimUnavailable, kTableRetryAfter, "the table service does not answer",
                  now);
  }
  const std::uint64_t id = addClaim(entry);
  claims_.at(id).token = newClaimToken(entry);
  startTableClaim(id, entry, now);
}

void RequestRouterImpl::startTableClaim(std::uint64_t id, RequestEntry& entry, TimePoint now) {
  ClaimWork& work = claims_.at(id);
  work.claim = makeClaim(work.key, work.token, std::min(entry.deadline, now + kClaimTimeout), random_.bits(),
                         work.body_hash);
  advanceClaim(id, now);
}

void RequestRouterImpl::advanceClaim(std::uint64_t id, TimePoint now) {
  const auto found = claims_.find(id);
  if (found == claims_.end() || !found->second.claim) return;
  ClaimWork& work = found->second;
  if (deferUntilTableResponds(id, work, now)) return;
  while (const auto action = work.claim->poll(now)) {
    const bool fenced = work.group == GroupClaimState::None &&
                        action->kind == ClaimAction::Kind::CompareAndSet &&
                        action->write.phase == ClaimRow::Phase::Claimed;
    actions_.emplace_back(ClaimTableCall{id, *action, fenced});
  }
  RequestEntry* entry = findEntry(work.entry);
  const auto outcome = work.claim->outcome();
  if (entry != nullptr && entry->phase == RequestEntry::Phase::Claiming && outcome) {
    onClaimDecided(*entry, *outcome, now);
    return advanceClaim(id, now);
  }
  if (work.entry == 0 && work.claim->isFinished()) {
    claim_timers_.erase({work.timer, id});
    claims_.erase(found);
    return;
  }
  scheduleClaim(id, work);
}

void RequestRouterImpl::scheduleClaim(std::uint64_t id, ClaimWork& work) {
  claim_timers_.erase({work.timer, id});
  work.timer = work.claim->nextTimer();
  if (work.timer != TimePoint::max()) claim_timers_.emplace(work.timer, id);
}

void RequestRouterImpl::onClaimGranted(RequestEntry& entry, TimePoint now) {
  // The process may have been suspended; nothing is dispatched after the deadline.
  if (now >= entry.deadline) return onDeadline(entry, now);
  entry.claim_granted = true;
  dispatchOperation(entry, now);
}

void RequestRouterImpl::onClaimDecided(RequestEntry& entry, const ClaimOutcome& outcome, TimePoint now) {
  ClaimWork& work = claims_.at(*entry.claim);
  entry.phase = RequestEntry::Phase::Running;
  // A lookup that follows the group's denial: if the table does not respond, the denial stands.
  const bool denied =
      work.group == GroupClaimState::Denied && outcome.kind == ClaimOutcome::Kind::Unavailable;
  switch (denied ? ClaimOutcome::Kind::HeldByOther : outcome.kind) {
    case ClaimOutcome::Kind::Granted:
      work.in_table = true;
      return onClaimGranted(entry, now);
    case ClaimOutcome::Kind::AlreadyDone:
      work.in_table = true;
      recordAtGroup(work, true, outcome.result);
      entry.run_state = RunState::Ran;
      return sendOperationResult(entry, outcome.result, {}, now);
    case ClaimOutcome::Kind::HeldByOther:
      releaseAtGroup(work);
      entry.run_state = RunState::Unknown;
      return refuse(entry, ErrorCode::DuplicateRequest, kHolderRetryAfter,
                    "another attempt holds the idempotency key", now);
    case ClaimOutcome::Kind::KeyReused:
      return refuse(entry, ErrorCode::InvalidRequest, Duration{0},
                    "the idempotency key belongs to a request with other content", now);
    case ClaimOutcome::Kind::Unavailable:
      if (now >= entry.deadline) return onDeadline(entry, now);
      if (proceedWithoutTable(entry, now)) return onClaimGranted(entry, now);
      return refuse(entry, ErrorCode::ClaimUnavailable, kTableRetryAfter, "the table service does not answer",
                    now);
  }
}

void RequestRouterImpl::onClaimRead(std::uint64_t claim, const ClaimRow& row, TimePoint now) {
  table_health_.onSuccess();
  const auto found = claims_.find(claim);
  if (found == claims_.end()) return;
  found->second.claim->onRead(row, now);
  advanceClaim(claim, now);
}

void RequestRouterImpl::onClaimWritten(std::uint64_t claim, bool committed, TimePoint now,
                                       std::uint64_t row_version) {
  table_health_.onSuccess();
  const auto found = claims_.find(claim);
  if (found == claims_.end()) return;
  ClaimWork& work = found->second;
  work.claim->onWritten(committed, now, row_version);
  // The table now has the record of a claim that was granted without it.
  if (committed && work.group == GroupClaimState::Granted && work.recorded &&
      !std::exchange(work.in_table, true)) {
    recordAtGroup(work, true, {});
  }
  advanceClaim(claim, now);
}

void RequestRouterImpl::onClaimFailed(std::uint64_t claim, TimePoint now) {
  table_health_.onFailure();
  const auto found = claims_.find(claim);
  if (found == claims_.end()) return;
  found->second.claim->onFailed(now);
  advanceClaim(claim, now);
}

void RequestRouterImpl::onClaimFenced(std::uint64_t claim, TimePoint now) {
  table_health_.onSuccess();
  const auto found = claims_.find(claim);
  if (found == claims_.end()) return;
  // Retried until its time limit; by then the router has received the state of the claim group.
  found->second.claim->onFailed(now);
  advanceClaim(claim, now);
}

void RequestRouterImpl::releaseClaim(RequestEntry& entry, TimePoint now) {
  ClaimWork& work = claims_.at(*entry.claim);
  releaseAtGroup(work);
  if (work.claim) work.claim->release(now);
}

void RequestRouterImpl::completeClaim(RequestEntry& entry, const std::string& result, TimePoint now) {
  ClaimWork& work = claims_.at(*entry.claim);
  recordAtGroup(work, true, result);
  work.claim->complete(result, now);
}

void RequestRouterImpl::detachClaim(RequestEntry& entry, TimePoint now) {
  const std::uint64_t id = *entry.claim;
  ClaimWork& work = claims_.at(id);
  entry.claim.reset();
  work.entry = 0;
  if (work.in_table && !work.recorded) recordAtGroup(work, false, {});
  // The group's decision is pending; if it grants the claim, the claim is released.
  if (!work.claim && work.group == GroupClaimState::Pending) return;
  if (!work.claim || claims_.size() > kMaxClaims) {
    claim_timers_.erase({work.timer, id});
    claims_.erase(id);
    return;
  }
  advanceClaim(id, now);
}

}  // namespace crankspur
