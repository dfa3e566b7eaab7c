#include "claim/group_claim.h"

#include <algorithm>

namespace crankspur {

GroupClaim::GroupClaim(std::string key, std::string token, ClaimGroupRow row, Duration key_lifetime,
                       TimePoint deadline, std::string body_hash)
    : key_(std::move(key)),
      token_(std::move(token)),
      row_(std::move(row)),
      key_lifetime_(key_lifetime),
      deadline_(deadline),
      body_hash_(std::move(body_hash)) {
  if (row_.epoch == 0 || row_.members.empty()) outcome_ = GroupClaimOutcome::Unavailable;
}

ClaimPrepare GroupClaim::prepare() const {
  return ClaimPrepare{row_.epoch, key_, token_, body_hash_};
}

std::vector<ClaimGroupMember> GroupClaim::unanswered() const {
  std::vector<ClaimGroupMember> members;
  if (outcome_) return members;
  for (const ClaimGroupMember& member : row_.members) {
    if (!granted_.contains(member.address) && !denied_.contains(member.address)) members.push_back(member);
  }
  return members;
}

void GroupClaim::onReply(const ClaimReply& reply, TimePoint now) {
  if (outcome_ || reply.key != key_ || reply.token != token_) return;
  const ClaimGroupMember voter{reply.voter, reply.voter_incarnation};
  const auto position =
      std::find_if(row_.members.begin(), row_.members.end(),
                   [&](const ClaimGroupMember& member) { return member.address == voter.address; });
  if (position == row_.members.end()) return;
  // A restarted member has lost its votes, so it is no longer a voter of this epoch, whatever it replies.
  const bool is_current = *position == voter && reply.epoch == row_.epoch;
  if (is_current && reply.granted) {
    granted_.insert(voter.address);
    covered_ = covered_ && reply.covered >= key_lifetime_;
  } else {
    denied_.insert(voter.address);
    outdated_ = outdated_ || reply.epoch > row_.epoch;
    if (is_current) recordHolder(reply);
  }
  decideIfConclusive(now);
}

void GroupClaim::recordHolder(const ClaimReply& reply) {
  holder_seen_ = true;
  const std::string& hash = reply.holder_body_hash;
  key_reused_ = key_reused_ || (!hash.empty() && hash != body_hash_);
  if (reply.holder_has_result) recorded_result_ = reply.holder_result;
}

void GroupClaim::decideIfConclusive(TimePoint now) {
  if (now >= deadline_) return onTimer(now);
  if (granted_.size() >= row_.majority()) {
    outcome_ = covered_ ? GroupClaimOutcome::Granted : GroupClaimOutcome::GrantedForTable;
    return;
  }
  const std::size_t possible = row_.members.size() - denied_.size();
  if (possible < row_.majority()) abandon();
}

void GroupClaim::onTimer(TimePoint now) {
  if (now >= deadline_) abandon();
}

void GroupClaim::abandon() {
  if (outcome_) return;
  outcome_ = holder_seen_ ? GroupClaimOutcome::HeldByOther : GroupClaimOutcome::Unavailable;
}

ClaimRelease GroupClaim::release() const {
  return ClaimRelease{row_.epoch, key_, token_};
}

}  // namespace crankspur
