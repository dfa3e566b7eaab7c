#include "claim/claim_epoch_change.h"

#include <algorithm>
#include <optional>
#include <set>

#include "claim/claim_voter.h"

namespace crankspur {

ClaimEpochChange::ClaimEpochChange(ClaimGroupRow row, std::vector<ClaimGroupMember> members,
                                   std::string installer, Duration key_lifetime)
    : row_(std::move(row)), key_lifetime_(key_lifetime) {
  new_row_.epoch = row_.epoch + 1;
  new_row_.members = std::move(members);
  new_row_.installer = std::move(installer);
  // A group without an epoch has no votes to seal: all claims so far are in the table.
  if (row_.epoch == 0) step_ = EpochStep::WriteClaims;
  install_.row = new_row_;
}

void ClaimEpochChange::onSealed(const ClaimSealed& sealed) {
  const auto& members = row_.members;
  const bool is_member = std::find(members.begin(), members.end(), sealed.voter) != members.end();
  if (step_ != EpochStep::Seal || sealed.epoch != row_.epoch || !is_member) return;
  sealed_[sealed.voter.address] = sealed;
  collectIfReady();
}

void ClaimEpochChange::onMemberStopped(const ClaimGroupMember& member) {
  const auto& members = row_.members;
  const bool known = std::find(members.begin(), members.end(), member) != members.end();
  if (step_ != EpochStep::Seal || !known) return;
  stopped_[member.address] = member;
  collectIfReady();
}

void ClaimEpochChange::collectIfReady() {
  const bool sealed_majority = sealed_.size() >= row_.majority();
  // When no majority can be sealed any more, claims may be lost; the quarantine outlasts the lifetime of
  // their keys.
  const bool majority_lost = row_.members.size() - stopped_.size() < row_.majority();
  if (!sealed_majority && !majority_lost) return;
  collected_ = collect();
  fillInstall(sealed_majority);
  step_ = EpochStep::WriteClaims;
}

void ClaimEpochChange::fillInstall(bool sealed_majority) {
  install_.row = new_row_;
  if (!sealed_majority) install_.quarantine = key_lifetime_;
  std::optional<Duration> covered;
  for (const auto& [address, sealed] : sealed_) {
    if (sealed.installed) covered = std::min(covered.value_or(sealed.covered), sealed.covered);
  }
  // If there are more claims than the new voters can store, or no sealed voter had the epoch installed, only
  // the table knows the grants of older epochs.
  const bool fits = collected_.size() <= kMaxClaimVotes;
  install_.covered = sealed_majority && fits ? covered.value_or(Duration{0}) : Duration{0};
  if (!fits) return;
  std::size_t bytes = 0;
  for (const ClaimVote& vote : collected_)
    bytes += vote.key.size() + vote.token.size() + vote.body_hash.size();
  for (const ClaimVote& vote : collected_) {
    install_.carried.push_back(vote);
    bytes += vote.result.size();
    if (bytes <= kMaxClaimVoteBytes) continue;
    bytes -= vote.result.size();
    install_.carried.back().has_result = false;
    install_.carried.back().result.clear();
  }
}

std::vector<ClaimVote> ClaimEpochChange::collect() const {
  std::set<std::string> keys;
  for (const auto& [address, sealed] : sealed_) {
    for (const ClaimVote& vote : sealed.votes) keys.insert(vote.key);
  }
  std::vector<ClaimVote> carried;
  for (const std::string& key : keys) {
    const std::vector<std::string> winners = possibleWinners(key);
    if (winners.empty()) continue;
    // With several possible winners no single claimant may release the key.
    const std::string token = winners.size() == 1 ? winners.front() : std::string();
    carried.push_back(carriedVote(key, token));
  }
  return carried;
}

ClaimVote ClaimEpochChange::carriedVote(const std::string& key, const std::string& token) const {
  ClaimVote carried{key, token, false, true};
  for (const auto& [address, sealed] : sealed_) {
    for (const ClaimVote& vote : sealed.votes) {
      if (vote.key != key || vote.token != token || token.empty()) continue;
      carried.body_hash = vote.body_hash;
      carried.done = carried.done || vote.done;
      carried.in_table = carried.in_table || vote.in_table;
      if (!vote.has_result) continue;
      carried.has_result = true;
      carried.result = vote.result;
    }
  }
  return carried;
}

std::vector<std::string> ClaimEpochChange::possibleWinners(const std::string& key) const {
  struct Count {
    std::size_t votes = 0;
    bool carried = false;
    bool released = false;
  };
  std::map<std::string, Count> counts;
  for (const auto& [address, sealed] : sealed_) {
    for (const ClaimVote& vote : sealed.votes) {
      if (vote.key != key) continue;
      Count& count = counts[vote.token];
      ++count.votes;
      count.carried = count.carried || vote.carried;
      count.released = count.released || vote.released;
    }
  }
  const std::size_t unsealed = row_.members.size() - sealed_.size();
  std::vector<std::string> winners;
  for (const auto& [token, count] : counts) {
    const bool may_have_won = count.carried || count.votes + unsealed >= row_.majority();
    if (may_have_won && !count.released) winners.push_back(token);
  }
  return winners;
}

void ClaimEpochChange::claimsWritten() {
  if (step_ == EpochStep::WriteClaims) step_ = EpochStep::SwapRow;
}

void ClaimEpochChange::rowSwapped(bool committed) {
  if (step_ != EpochStep::SwapRow) return;
  step_ = committed ? EpochStep::Install : EpochStep::Lost;
}

void ClaimEpochChange::onRow(const ClaimGroupRow& row) {
  if (step_ != EpochStep::SwapRow || row.row_version == row_.row_version) return;
  const bool own = row.epoch == new_row_.epoch && row.installer == new_row_.installer;
  step_ = own ? EpochStep::Install : EpochStep::Lost;
}

}  // namespace crankspur
