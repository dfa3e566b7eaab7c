#include "claim/claim_voter.h"

#include <algorithm>

namespace crankspur {

ClaimBallot ClaimVoter::onPrepare(const ClaimPrepare& prepare, TimePoint now) {
  ClaimBallot ballot;
  ballot.reply.epoch = epoch();
  ballot.reply.key = prepare.key;
  ballot.reply.token = prepare.token;
  ballot.reply.voter = self_.address;
  ballot.reply.voter_incarnation = self_.incarnation;
  const bool votes_here = prepare.epoch != 0 && prepare.epoch == epoch() && now >= refuse_until_;
  if (!votes_here || prepare.token.empty()) return ballot;
  ballot.covered = covered(now);
  const auto [entry, added] = votes_.try_emplace(prepare.key);
  ClaimVote& vote = entry->second.vote;
  const bool taken_over = vote.released && vote.token != prepare.token;
  if (added || taken_over) {
    vote = ClaimVote{prepare.key, prepare.token, false, false};
    entry->second.first_seen = now;
  }
  ballot.reply.granted = vote.token == prepare.token && !vote.released;
  if (!ballot.reply.granted) ballot.reply.holder = vote.token;
  return ballot;
}

void ClaimVoter::onRelease(const ClaimRelease& release) {
  const auto found = votes_.find(release.key);
  if (release.token.empty() || found == votes_.end() || found->second.vote.token != release.token) return;
  found->second.vote.released = true;
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
  for (const ClaimVote& vote : install.carried) votes_[vote.key] = Entry{vote, now};
  return true;
}

void ClaimVoter::expire(TimePoint now) {
  for (auto entry = votes_.begin(); entry != votes_.end();) {
    const bool old = now - entry->second.first_seen > 2 * key_lifetime_;
    entry = old ? votes_.erase(entry) : std::next(entry);
  }
}

std::vector<ClaimVote> ClaimVoter::votes() const {
  std::vector<ClaimVote> votes;
  for (const auto& [key, entry] : votes_) votes.push_back(entry.vote);
  return votes;
}

Duration ClaimVoter::covered(TimePoint now) const {
  return covered_at_install_ + (now - installed_at_);
}

}  // namespace crankspur
