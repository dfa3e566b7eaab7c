/// @file Claims of operations that may not be repeated: before dispatch, and their record or release after.

#include <algorithm>

#include "base/hash.h"
#include "router/request_router_impl.h"

namespace crankspur {

namespace {

/// Longest wait for the table's decision; a caller is better served by an early, true refusal.
constexpr Duration kClaimWait = std::chrono::seconds(2);
/// Advice to callers while the table does not answer.
constexpr Duration kTableRetryAfter = std::chrono::seconds(2);
/// Advice to callers whose key another attempt holds.
constexpr Duration kHolderRetryAfter = std::chrono::seconds(1);

/// @return the hash that tells two requests under one key apart.
std::string contentHash(const SubmitRequest& request) {
  return sha256Hex(request.operation + '\n' + request.prompt);
}

}  // namespace

void RequestRouterImpl::startClaim(RequestEntry& entry, TimePoint now) {
  if (!table_health_.allow(now)) {
    return refuse(entry, ErrorCode::ClaimUnavailable, kTableRetryAfter, "the table service does not answer",
                  now);
  }
  const SubmitRequest& request = entry.request;
  const std::string token = fmt::format("{}:{}:{:016x}{:016x}", options_.router_name, request.request_id,
                                        random_.bits(), random_.bits());
  const std::uint64_t id = next_claim_++;
  ClaimWork work;
  work.claim = makeClaim(claimKey(request.tenant, request.idempotency_key), token,
                         std::min(entry.deadline, now + kClaimWait), random_.bits(), contentHash(request));
  work.entry = entry.serial;
  claims_.emplace(id, std::move(work));
  entry.claim = id;
  entry.phase = RequestEntry::Phase::Claiming;
  schedule(entry);
  pumpClaim(id, now);
}

void RequestRouterImpl::pumpClaim(std::uint64_t id, TimePoint now) {
  const auto found = claims_.find(id);
  if (found == claims_.end()) return;
  ClaimWork& work = found->second;
  while (const auto action = work.claim->poll(now)) actions_.emplace_back(ClaimTableCall{id, *action});
  RequestEntry* entry = findEntry(work.entry);
  const auto outcome = work.claim->outcome();
  if (entry != nullptr && entry->phase == RequestEntry::Phase::Claiming && outcome) {
    claimDecided(*entry, *outcome, now);
    return pumpClaim(id, now);
  }
  if (work.entry == 0 && work.claim->settled()) {
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

void RequestRouterImpl::claimDecided(RequestEntry& entry, const ClaimOutcome& outcome, TimePoint now) {
  entry.phase = RequestEntry::Phase::Running;
  switch (outcome.kind) {
    case ClaimOutcome::Kind::Granted:
      // A router that was paused wakes here: past the deadline nothing is dispatched any more.
      if (now >= entry.deadline) return deadlinePassed(entry, now);
      entry.claim_granted = true;
      return dispatchOperation(entry, now);
    case ClaimOutcome::Kind::AlreadyDone:
      entry.run_state = RunState::Ran;
      return answerOperation(entry, outcome.result, {}, now);
    case ClaimOutcome::Kind::HeldByOther:
      entry.run_state = RunState::Unknown;
      return refuse(entry, ErrorCode::DuplicateRequest, kHolderRetryAfter,
                    "another attempt holds the idempotency key", now);
    case ClaimOutcome::Kind::KeyReused:
      return refuse(entry, ErrorCode::InvalidRequest, Duration{0},
                    "the idempotency key belongs to a request with other content", now);
    case ClaimOutcome::Kind::Unavailable:
      if (now >= entry.deadline) return deadlinePassed(entry, now);
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
  found->second.claim->onWritten(committed, now, row_version);
  pumpClaim(claim, now);
}

void RequestRouterImpl::onClaimFailed(std::uint64_t claim, TimePoint now) {
  table_health_.failed();
  const auto found = claims_.find(claim);
  if (found == claims_.end()) return;
  found->second.claim->onFailed(now);
  pumpClaim(claim, now);
}

void RequestRouterImpl::releaseClaim(RequestEntry& entry, TimePoint now) {
  claims_.at(*entry.claim).claim->release(now);
}

void RequestRouterImpl::completeClaim(RequestEntry& entry, const std::string& result, TimePoint now) {
  claims_.at(*entry.claim).claim->complete(result, now);
}

void RequestRouterImpl::detachClaim(RequestEntry& entry, TimePoint now) {
  const std::uint64_t id = *entry.claim;
  entry.claim.reset();
  claims_.at(id).entry = 0;
  pumpClaim(id, now);
}

}  // namespace crankspur
