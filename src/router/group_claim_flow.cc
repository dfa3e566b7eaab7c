/// @file Claims that a group of routers decides: asked before the table, which may then be down.

#include <algorithm>

#include "router/request_router_impl.h"

namespace crankspur {

namespace {

/// Longest wait for the group's decision.
constexpr Duration kGroupWait = std::chrono::seconds(2);
/// Advice to callers while no majority of the group answers.
constexpr Duration kGroupRetryAfter = std::chrono::seconds(2);
constexpr Duration kHolderRetryAfter = std::chrono::seconds(1);
/// Longest wait for the recorded answer of a claim that the group gave to another.
constexpr Duration kLookupWait = std::chrono::seconds(1);
/// Longer answers are recorded in the table only, so that the members' memory holds many.
constexpr std::size_t kLongestGroupResult = 4096;
/// Pause before a record that waits for the table is tried again, in seconds, drawn by chance.
constexpr std::uint64_t kShortestRecordPause = 1;
constexpr std::uint64_t kLongestRecordPause = 10;

}  // namespace

void RequestRouterImpl::askGroup(std::uint64_t id, RequestEntry& entry, TimePoint now) {
  ClaimWork& work = claims_.at(id);
  work.group = GroupWord::Asked;
  GroupClaimRequest request;
  request.claim = id;
  request.key = work.key;
  request.token = newClaimToken(entry);
  request.body_hash = work.body_hash;
  request.deadline = std::min(entry.deadline, now + kGroupWait);
  actions_.emplace_back(GroupClaimCall{std::move(request)});
}

void RequestRouterImpl::onGroupClaim(std::uint64_t claim, const GroupClaimDecision& decision, TimePoint now) {
  using Kind = GroupClaimDecision::Kind;
  const auto found = claims_.find(claim);
  if (found == claims_.end() || found->second.group != GroupWord::Asked) return;
  ClaimWork& work = found->second;
  work.token = decision.token;
  work.group = GroupWord::Denies;
  if (decision.kind == Kind::Granted) work.group = GroupWord::Grants;
  if (decision.kind == Kind::GrantedForTable) work.group = GroupWord::NeedsTable;
  RequestEntry* entry = findEntry(work.entry);
  if (entry == nullptr) {
    releaseAtGroup(work);
    claims_.erase(found);
    return;
  }
  if (work.heldByGroup()) return groupGranted(claim, *entry, now);
  if (decision.kind == Kind::HeldByOther) return groupDenied(claim, *entry, now);
  entry->phase = RequestEntry::Phase::Running;
  if (decision.kind == Kind::AlreadyDone) {
    entry->run_state = RunState::Ran;
    return answerOperation(*entry, decision.result, {}, now);
  }
  if (decision.kind == Kind::KeyReused) {
    return refuse(*entry, ErrorCode::InvalidRequest, Duration{0},
                  "the idempotency key belongs to a request with other content", now);
  }
  refuse(*entry, ErrorCode::ClaimUnavailable, kGroupRetryAfter, "no majority of the claim group answers",
         now);
}

void RequestRouterImpl::groupGranted(std::uint64_t id, RequestEntry& entry, TimePoint now) {
  if (table_health_.allow(now)) return startTableClaim(id, entry, now);
  ClaimWork& work = claims_.at(id);
  work.claim = makeClaim(work.key, work.token, now, random_.bits(), work.body_hash);
  claimDecided(entry, ClaimOutcome{ClaimOutcome::Kind::Unavailable, {}}, now);
}

void RequestRouterImpl::groupDenied(std::uint64_t id, RequestEntry& entry, TimePoint now) {
  ClaimWork& work = claims_.at(id);
  if (table_health_.allow(now)) {
    work.claim = makeClaimLookup(work.key, std::min(entry.deadline, now + kLookupWait), random_.bits(),
                                 work.body_hash);
    return pumpClaim(id, now);
  }
  entry.phase = RequestEntry::Phase::Running;
  entry.run_state = RunState::Unknown;
  refuse(entry, ErrorCode::DuplicateRequest, kHolderRetryAfter, "another attempt holds the idempotency key",
         now);
}

bool RequestRouterImpl::goOnWithoutTable(RequestEntry& entry, TimePoint now) {
  ClaimWork& work = claims_.at(*entry.claim);
  if (work.group != GroupWord::Grants) return false;
  work.claim->grantWithoutTable(now);
  log(EventId::ClaimGrantedByGroup, entry,
      {{"operation", entry.request.operation}, {"idempotency_key", entry.request.idempotency_key}});
  return true;
}

void RequestRouterImpl::releaseAtGroup(ClaimWork& work) {
  if (!work.heldByGroup()) return;
  work.group = GroupWord::Denies;
  actions_.emplace_back(GroupClaimNotice{ClaimRelease{0, work.key, work.token}});
}

void RequestRouterImpl::recordAtGroup(ClaimWork& work, bool done, const std::string& result) {
  if (!work.heldByGroup()) return;
  ClaimRecord record;
  record.key = work.key;
  record.token = work.token;
  record.done = done;
  record.has_result = done && !work.recorded && result.size() <= kLongestGroupResult;
  if (record.has_result) record.result = result;
  record.in_table = work.in_table;
  work.recorded = true;
  actions_.emplace_back(GroupClaimNotice{std::move(record)});
}

bool RequestRouterImpl::waitsForTable(std::uint64_t id, ClaimWork& work, TimePoint now) {
  const bool only_record = work.entry == 0 && work.group == GroupWord::Grants && !work.in_table;
  if (!only_record || work.claim->isFinished() || !table_health_.down() || table_health_.allow(now))
    return false;
  const std::uint64_t pause = random_.uniform(kShortestRecordPause, kLongestRecordPause);
  claim_timers_.erase({work.timer, id});
  work.timer = now + std::chrono::seconds(static_cast<std::int64_t>(pause));
  claim_timers_.emplace(work.timer, id);
  return true;
}

}  // namespace crankspur
