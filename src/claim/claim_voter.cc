#include "claim/claim_voter.h"

#include <algorithm>

namespace crankspur {

namespace {

constexpr Duration kMaxCoverage = std::chrono::hours(24 * 29);

}  // namespace

ClaimReply ClaimVoter::onPrepare(const ClaimPrepare& prepare, TimePoint now) {
  ClaimReply reply;
  reply.epoch = epoch();
  reply.key = prepare.key;
  reply.token = prepare.token;
  reply.voter = self_.address;
  reply.voter_incarnation = self_.incarnation;
  if (now < refuse_until_) reply.epoch = 0;
  const bool votes_in_epoch = prepare.epoch != 0 && prepare.epoch == reply.epoch;
  if (!votes_in_epoch || prepare.token.empty()) return reply;
  const auto found = votes_.find(prepare.key);
  if (found == votes_.end() && !hasCapacityFor(prepare)) {
    // The reply is neither a vote nor a statement about another holder.
    reply.epoch = 0;
    return reply;
  }
  reply.covered = covered(now);
  const bool taken_over =
      found != votes_.end() && found->second.vote.released && found->second.vote.token != prepare.token;
  if (found == votes_.end() || taken_over) {
    storeVote(ClaimVote{prepare.key, prepare.token, false, false, prepare.body_hash}, now);
  }
  const ClaimVote& vote = votes_.at(prepare.key).vote;
  reply.granted = vote.token == prepare.token && !vote.released;
  if (reply.granted) return reply;
  reply.holder = vote.token;
  reply.holder_body_hash = vote.body_hash;
  reply.holder_has_result = vote.has_result;
  reply.holder_result = vote.result;
  return reply;
}

void ClaimVoter::onRelease(const ClaimRelease& release) {
  const auto found = votes_.find(release.key);
  if (release.token.empty() || found == votes_.end() || found->second.vote.token != release.token) return;
  found->second.vote.released = true;
}

void ClaimVoter::onRecord(const ClaimRecord& record) {
  const auto found = votes_.find(record.key);
  if (record.token.empty() || found == votes_.end() || found->second.vote.token != record.token) return;
  ClaimVote& vote = found->second.vote;
  if (vote.released) return;
  vote.done = vote.done || record.done;
  vote.in_table = vote.in_table || record.in_table;
  const bool fits = bytes_ + record.result.size() <= kMaxClaimVoteBytes;
  if (!record.has_result || vote.has_result || !fits) return;
  vote.has_result = true;
  vote.result = record.result;
  bytes_ += record.result.size();
}

ClaimSealed ClaimVoter::onSeal(const ClaimSeal& seal, TimePoint now) {
  ClaimSealed sealed;
  sealed.epoch = seal.epoch;
  sealed.voter = self_;
  sealed.installed = seal.epoch != 0 && seal.epoch == epoch_;
  sealed_ = std::max(sealed_, seal.epoch);
  if (!sealed.installed) return sealed;
  sealed.covered = covered(now);
  sealed.votes = votes();
  return sealed;
}

bool ClaimVoter::onInstall(const ClaimInstall& install, TimePoint now) {
  const ClaimGroupRow& row = install.row;
  const bool member = std::find(row.members.begin(), row.members.end(), self_) != row.members.end();
  if (!member || row.epoch <= sealed_ || row.epoch <= epoch_) return false;
  epoch_ = row.epoch;
  installed_at_ = now;
  refuse_until_ = now + install.quarantine;
  covered_at_install_ = install.covered;
  votes_.clear();
  bytes_ = 0;
  for (const ClaimVote& vote : install.carried) storeVote(vote, now);
  return true;
}

void ClaimVoter::expire(TimePoint now) {
  for (auto entry = votes_.begin(); entry != votes_.end();) {
    const bool expired = now - entry->second.first_seen > 2 * key_lifetime_;
    if (expired) bytes_ -= bytesOf(entry->second.vote);
    entry = expired ? votes_.erase(entry) : std::next(entry);
  }
}

std::vector<ClaimVote> ClaimVoter::votes() const {
  std::vector<ClaimVote> votes;
  for (const auto& [key, entry] : votes_) votes.push_back(entry.vote);
  return votes;
}

Duration ClaimVoter::covered(TimePoint now) const {
  // Votes are not retained for longer, and the protocol cannot represent a longer time.
  return std::min({covered_at_install_ + (now - installed_at_), 2 * key_lifetime_, kMaxCoverage});
}

void ClaimVoter::setKeyLifetime(Duration key_lifetime, TimePoint now) {
  if (key_lifetime == key_lifetime_) return;
  covered_at_install_ = covered(now);
  installed_at_ = now;
  key_lifetime_ = key_lifetime;
}

std::uint32_t ClaimVoter::unwritten(Duration age, TimePoint now) const {
  std::uint32_t count = 0;
  for (const auto& [key, entry] : votes_) {
    const bool resolved = entry.vote.released || entry.vote.in_table || entry.vote.carried;
    if (!resolved && now - entry.first_seen > age) ++count;
  }
  return count;
}

bool ClaimVoter::hasCapacityFor(const ClaimPrepare& prepare) const {
  const ClaimVote vote{prepare.key, prepare.token, false, false, prepare.body_hash};
  return votes_.size() < kMaxClaimVotes && bytes_ + bytesOf(vote) <= kMaxClaimVoteBytes;
}

std::size_t ClaimVoter::bytesOf(const ClaimVote& vote) {
  return vote.key.size() + vote.token.size() + vote.body_hash.size() + vote.result.size();
}

void ClaimVoter::storeVote(const ClaimVote& vote, TimePoint now) {
  const auto [slot, added] = votes_.try_emplace(vote.key);
  if (!added) bytes_ -= bytesOf(slot->second.vote);
  slot->second = Entry{vote, now};
  bytes_ += bytesOf(vote);
}

}  // namespace crankspur
