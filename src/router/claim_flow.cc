/// @file Claims of operations that may not be repeated: before dispatch, and their record or release after.

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "router/request_router_impl.h"

namespace crankspur {

namespace {

/// Longest wait for the table's decision; a caller is better served by an early, true refusal.
constexpr Duration kClaimWait = std::chrono::seconds(2);
/// Claims whose record or release may wait for the table; the group's members hold those beyond.
constexpr std::size_t kMaximumClaims = 20'000;
/// Advice to callers while the table does not answer.
constexpr Duration kTableRetryAfter = std::chrono::seconds(2);
/// Advice to callers whose key another attempt holds.
constexpr Duration kHolderRetryAfter = std::chrono::seconds(1);

/// @return the hash that tells two requests under one key apart.
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
  return fmt::format("{}:{}:{:016x}{:016x}", options_.router_name, entry.request.request_id, random_.bits(),
                     random_.bits());
}

void RequestRouterImpl::startClaim(RequestEntry& entry, TimePoint now) {
  if (snapshot_->claims_by_group) return askGroup(addClaim(entry), entry, now);
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
  work.claim = makeClaim(work.key, work.token, std::min(entry.deadline, now + kClaimWait), random_.bits(),
                         work.body_hash);
  pumpClaim(id, now);
}

void RequestRouterImpl::pumpClaim(std::uint64_t id, TimePoint now) {
  const auto found = claims_.find(id);
  if (found == claims_.end() || !found->second.claim) return;
  ClaimWork& work = found->second;
  if (waitsForTable(id, work, now)) return;
  while (const auto action = work.claim->poll(now)) {
    const bool fenced = work.group == GroupWord::None && action->kind == ClaimAction::Kind::CompareAndSet &&
                        action->write.phase == ClaimRow::Phase::Claimed;
    actions_.emplace_back(ClaimTableCall{id, *action, fenced});
  }
  RequestEntry* entry = findEntry(work.entry);
  const auto outcome = work.claim->outcome();
  if (entry != nullptr && entry->phase == RequestEntry::Phase::Claiming && outcome) {
    claimDecided(*entry, *outcome, now);
    return pumpClaim(id, now);
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

void RequestRouterImpl::claimGranted(RequestEntry& entry, TimePoint now) {
  // A router that was paused wakes here: past the deadline nothing is dispatched any more.
  if (now >= entry.deadline) return deadlinePassed(entry, now);
  entry.claim_granted = true;
  dispatchOperation(entry, now);
}

void RequestRouterImpl::claimDecided(RequestEntry& entry, const ClaimOutcome& outcome, TimePoint now) {
  ClaimWork& work = claims_.at(*entry.claim);
  entry.phase = RequestEntry::Phase::Running;
  // A lookup after the group's denial: without an answer it stays a denial.
  const bool held = work.group == GroupWord::Denies && outcome.kind == ClaimOutcome::Kind::Unavailable;
  switch (held ? ClaimOutcome::Kind::HeldByOther : outcome.kind) {
    case ClaimOutcome::Kind::Granted:
      work.in_table = true;
      return claimGranted(entry, now);
    case ClaimOutcome::Kind::AlreadyDone:
      work.in_table = true;
      recordAtGroup(work, true, outcome.result);
      entry.run_state = RunState::Ran;
      return answerOperation(entry, outcome.result, {}, now);
    case ClaimOutcome::Kind::HeldByOther:
      releaseAtGroup(work);
      entry.run_state = RunState::Unknown;
      return refuse(entry, ErrorCode::DuplicateRequest, kHolderRetryAfter,
                    "another attempt holds the idempotency key", now);
    case ClaimOutcome::Kind::KeyReused:
      return refuse(entry, ErrorCode::InvalidRequest, Duration{0},
                    "the idempotency key belongs to a request with other content", now);
    case ClaimOutcome::Kind::Unavailable:
      if (now >= entry.deadline) return deadlinePassed(entry, now);
      if (goOnWithoutTable(entry, now)) return claimGranted(entry, now);
      return refuse(entry, ErrorCode::ClaimUnavailable, kTableRetryAfter, "the table service does not answer",
                    now);
  }
}

void RequestRouterImpl::onClaimRead(std::uint64_t claim, const ClaimRow& row, TimePoint now) {
  table_health_.succeeded();
  const auto found = claims_.find(claim);
  if (found == claims_.end()) return;
  found->second.claim->onRead(row, now);
  pumpClaim(claim, now);
}

void RequestRouterImpl::onClaimWritten(std::uint64_t claim, bool committed, TimePoint now,
                                       std::uint64_t row_version) {
  table_health_.succeeded();
  const auto found = claims_.find(claim);
  if (found == claims_.end()) return;
  ClaimWork& work = found->second;
  work.claim->onWritten(committed, now, row_version);
  // Of a claim that was granted without the table: it holds the record now.
  if (committed && work.group == GroupWord::Grants && work.recorded && !std::exchange(work.in_table, true)) {
    recordAtGroup(work, true, {});
  }
  pumpClaim(claim, now);
}

void RequestRouterImpl::onClaimFailed(std::uint64_t claim, TimePoint now) {
  table_health_.failed();
  const auto found = claims_.find(claim);
  if (found == claims_.end()) return;
  found->second.claim->onFailed(now);
  pumpClaim(claim, now);
}

void RequestRouterImpl::onClaimFenced(std::uint64_t claim, TimePoint now) {
  table_health_.succeeded();
  const auto found = claims_.find(claim);
  if (found == claims_.end()) return;
  // Tried again until its time is over; by then the router knows of the group.
  found->second.claim->onFailed(now);
  pumpClaim(claim, now);
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
  // The group still owes its decision: what it grants is then given back.
  if (!work.claim && work.group == GroupWord::Asked) return;
  if (!work.claim || claims_.size() > kMaximumClaims) {
    claim_timers_.erase({work.timer, id});
    claims_.erase(id);
    return;
  }
  pumpClaim(id, now);
}

}  // namespace crankspur
