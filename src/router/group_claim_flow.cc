/// @file Claims decided by a group of routers. The group is requested before the table, so that claims can be
/// granted while the table is unavailable.

#include <algorithm>

#include "router/request_router_impl.h"

namespace crankspur {

namespace {

/// Time limit of the group's decision.
constexpr Duration kGroupTimeout = std::chrono::seconds(2);
/// Retry delay returned to callers while no majority of the group responds.
constexpr Duration kGroupRetryAfter = std::chrono::seconds(2);
/// Retry delay returned to callers whose idempotency key is held by another attempt.
constexpr Duration kHolderRetryAfter = std::chrono::seconds(1);
/// Time limit of the lookup of a recorded result after the group granted the claim to another attempt.
constexpr Duration kLookupTimeout = std::chrono::seconds(1);
/// Longer results are recorded in the table only, to bound the memory of the group's members.
constexpr std::size_t kMaxGroupResultBytes = 4096;
/// Bounds of the random delay, in seconds, before the write of a deferred record is retried.
constexpr std::uint64_t kMinRecordRetryDelay = 1;
constexpr std::uint64_t kMaxRecordRetryDelay = 10;

}  // namespace

void RequestRouterImpl::requestGroupClaim(std::uint64_t id, RequestEntry& entry, TimePoint now) {
  ClaimWork& work = claims_.at(id);
  work.group = GroupClaimState::Pending;
  GroupClaimRequest request;
  request.claim = id;
  request.key = work.key;
  request.token = newClaimToken(entry);
  request.body_hash = work.body_hash;
  request.deadline = std::min(entry.deadline, now + kGroupTimeout);
  actions_.emplace_back(GroupClaimCall{std::move(request)});
}

void RequestRouterImpl::onGroupClaim(std::uint64_t claim, const GroupClaimDecision& decision, TimePoint now) {
  using Kind = GroupClaimDecision::Kind;
  const auto found = claims_.find(claim);
  if (found == claims_.end() || found->second.group != GroupClaimState::Pending) return;
  ClaimWork& work = found->second;
  work.token = decision.token;
  work.group = GroupClaimState::Denied;
  if (decision.kind == Kind::Granted) work.group = GroupClaimState::Granted;
  if (decision.kind == Kind::GrantedForTable) work.group = GroupClaimState::NeedsTable;
  RequestEntry* entry = findEntry(work.entry);
  if (entry == nullptr) {
    releaseAtGroup(work);
    claims_.erase(found);
    return;
  }
  if (work.heldByGroup()) return onGroupGranted(claim, *entry, now);
  if (decision.kind == Kind::HeldByOther) return onGroupDenied(claim, *entry, now);
  entry->phase = RequestEntry::Phase::Running;
  if (decision.kind == Kind::AlreadyDone) {
    entry->run_state = RunState::Ran;
    return sendOperationResult(*entry, decision.result, {}, now);
  }
  if (decision.kind == Kind::KeyReused) {
    return refuse(*entry, ErrorCode::InvalidRequest, Duration{0},
                  "the idempotency key belongs to a request with other content", now);
  }
  refuse(*entry, ErrorCode::ClaimUnavailable, kGroupRetryAfter, "no majority of the claim group answers",
         now);
}

void RequestRouterImpl::onGroupGranted(std::uint64_t id, RequestEntry& entry, TimePoint now) {
  if (table_health_.allow(now)) return startTableClaim(id, entry, now);
  ClaimWork& work = claims_.at(id);
  work.claim = makeClaim(work.key, work.token, now, random_.bits(), work.body_hash);
  onClaimDecided(entry, ClaimOutcome{ClaimOutcome::Kind::Unavailable, {}}, now);
}

void RequestRouterImpl::onGroupDenied(std::uint64_t id, RequestEntry& entry, TimePoint now) {
  ClaimWork& work = claims_.at(id);
  if (table_health_.allow(now)) {
    work.claim = makeClaimLookup(work.key, std::min(entry.deadline, now + kLookupTimeout), random_.bits(),
                                 work.body_hash);
    return advanceClaim(id, now);
  }
  entry.phase = RequestEntry::Phase::Running;
  entry.run_state = RunState::Unknown;
  refuse(entry, ErrorCode::DuplicateRequest, kHolderRetryAfter, "another attempt holds the idempotency key",
         now);
}

bool RequestRouterImpl::proceedWithoutTable(RequestEntry& entry, TimePoint now) {
  ClaimWork& work = claims_.at(*entry.claim);
  if (work.group != GroupClaimState::Granted) return false;
  work.claim->grantWithoutTable(now);
  log(EventId::ClaimGrantedByGroup, entry,
      {{"operation", entry.request.operation}, {"idempotency_key", entry.request.idempotency_key}});
  return true;
}

void RequestRouterImpl::releaseAtGroup(ClaimWork& work) {
  if (!work.heldByGroup()) return;
  work.group = GroupClaimState::Denied;
  actions_.emplace_back(GroupClaimNotice{ClaimRelease{0, work.key, work.token}});
}

void RequestRouterImpl::recordAtGroup(ClaimWork& work, bool done, const std::string& result) {
  if (!work.heldByGroup()) return;
  ClaimRecord record;
  record.key = work.key;
  record.token = work.token;
  record.done = done;
  record.has_result = done && !work.recorded && result.size() <= kMaxGroupResultBytes;
  if (record.has_result) record.result = result;
  record.in_table = work.in_table;
  work.recorded = true;
  actions_.emplace_back(GroupClaimNotice{std::move(record)});
}

bool RequestRouterImpl::deferUntilTableResponds(std::uint64_t id, ClaimWork& work, TimePoint now) {
  const bool only_record = work.entry == 0 && work.group == GroupClaimState::Granted && !work.in_table;
  if (!only_record || work.claim->isFinished() || !table_health_.isDown() || table_health_.allow(now))
    return false;
  const std::uint64_t delay = random_.uniform(kMinRecordRetryDelay, kMaxRecordRetryDelay);
  claim_timers_.erase({work.timer, id});
  work.timer = now + std::chrono::seconds(static_cast<std::int64_t>(delay));
  claim_timers_.emplace(work.timer, id);
  return true;
}

}  // namespace crankspur
