#include "claim/claim_group_keeper.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace crankspur {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Pause between two looks at the group.
constexpr Duration kRound = seconds(1);
/// Pause between two sendings of the same message.
constexpr Duration kResend = milliseconds(500);
/// What was heard or read counts for so long.
constexpr Duration kFresh = milliseconds(3500);
/// A need must last so long before an epoch change begins; the second router waits longer.
constexpr Duration kNeedLasts = seconds(3);
constexpr Duration kSecondWaits = seconds(7);
/// An epoch change that makes no progress for so long is given up and begun anew.
constexpr Duration kChangeLimit = seconds(10);
/// Claim rows written at once.
constexpr std::size_t kPutsAtOnce = 16;
/// Candidates asked beyond the wanted number of members.
constexpr std::size_t kSpareCandidates = 3;

}  // namespace

void ClaimGroupKeeper::setRouters(std::vector<ClaimGroupCandidate> routers,
                                  std::optional<std::uint32_t> rank) {
  routers_ = std::move(routers);
  rank_ = rank;
  // The same order at every router, spread over the group's candidates by chance.
  std::sort(routers_.begin(), routers_.end(),
            [](const ClaimGroupCandidate& left, const ClaimGroupCandidate& right) {
              return std::pair(hashBytes(left.address), left.address) <
                     std::pair(hashBytes(right.address), right.address);
            });
}

void ClaimGroupKeeper::onInfo(const ClaimGroupInfo& info, TimePoint now) {
  heard_[info.sender.address] = Heard{info, now};
}

void ClaimGroupKeeper::onSealed(const ClaimSealed& sealed) {
  if (!change_ || change_->step() != EpochStep::Seal) return;
  for (const ClaimGroupMember& member : change_->row().members) {
    if (member.address != sealed.voter.address) continue;
    sealed_.insert(member.address);
    // Another process at the address proves that the member's has ended.
    if (member != sealed.voter) return change_->onMemberGone(member);
  }
  change_->onSealed(sealed);
}

void ClaimGroupKeeper::onRowRead(const std::optional<ClaimGroupRow>& row, TimePoint now) {
  reading_ = false;
  if (!row) return;
  row_read_at_ = now;
  if (row->row_version >= row_.row_version) row_ = *row;
  if (!change_ || change_->step() != EpochStep::SwapRow || !std::exchange(swap_unknown_, false)) return;
  change_->onRow(*row);
}

void ClaimGroupKeeper::onRowSwapped(std::optional<bool> committed) {
  swapping_ = false;
  if (!change_ || change_->step() != EpochStep::SwapRow) return;
  // Even a conflict may be the own write of an earlier call whose answer was lost.
  swap_unknown_ = !committed || !*committed;
  if (!swap_unknown_) change_->rowSwapped(true);
}

void ClaimGroupKeeper::onClaimPut(const std::string& key, const std::optional<ClaimRow>& present) {
  const auto found = puts_.find(key);
  if (found == puts_.end()) return;
  Put& put = found->second;
  put.outstanding = false;
  if (!present) return;
  // A released row is of an earlier attempt, over which this claim was made without the table.
  const bool earlier = present->phase == ClaimRow::Phase::Released && present->token != put.vote.token;
  if (present->row_version == 0 || earlier) {
    put.expected_version = present->row_version;
    return;
  }
  puts_.erase(found);
}

void ClaimGroupKeeper::tick(TimePoint now) {
  if (change_) advance(now);
  if (!rank_ || now < next_round_) return;
  next_round_ = now + kRound;
  probe();
  if (!reading_ || now - read_sent_at_ > kFresh) {
    reading_ = true;
    read_sent_at_ = now;
    actions_.emplace_back(ReadGroupRow{});
  }
  if (!change_) beginIfNeeded(now);
}

void ClaimGroupKeeper::probe() {
  std::set<std::string> asked;
  for (const ClaimGroupMember& member : row_.members) asked.insert(member.address);
  const std::size_t wanted = std::max<std::size_t>(settings_.size, row_.members.size());
  if (wanted == 0) return;
  for (const ClaimGroupCandidate& router : routers_) {
    if (asked.size() >= wanted + kSpareCandidates) break;
    asked.insert(router.address);
  }
  std::erase_if(heard_, [&](const auto& item) { return !asked.contains(item.first); });
  for (const std::string& address : asked) send(address, ClaimGroupRequest{row_.epoch});
}

void ClaimGroupKeeper::beginIfNeeded(TimePoint now) {
  const bool table_up = row_read_at_ && now - *row_read_at_ < kFresh;
  const std::vector<ClaimGroupMember> wanted = chooseMembers(now);
  if (!table_up || wanted.empty() || !changeNeeded(wanted, now)) {
    needed_since_.reset();
    return;
  }
  if (!needed_since_) needed_since_ = now;
  if (now - *needed_since_ < (*rank_ == 0 ? kNeedLasts : kSecondWaits)) return;
  needed_since_.reset();
  const std::string installer = installer_ + ":" + std::to_string(++epochs_begun_);
  change_.emplace(row_, wanted, installer, settings_.key_lifetime);
  progress_at_ = now;
  next_send_ = now;
  sealed_.clear();
  puts_.clear();
  puts_prepared_ = false;
  swapping_ = false;
  swap_unknown_ = false;
  told_routers_ = false;
  advance(now);
}

const ClaimGroupKeeper::Heard* ClaimGroupKeeper::fresh(const std::string& address, TimePoint now) const {
  const auto found = heard_.find(address);
  if (found == heard_.end() || now - found->second.at > kFresh) return nullptr;
  return &found->second;
}

bool ClaimGroupKeeper::isGood(const ClaimGroupMember& member, TimePoint now) const {
  const Heard* heard = fresh(member.address, now);
  const bool live = std::any_of(routers_.begin(), routers_.end(), [&](const ClaimGroupCandidate& router) {
    return router.address == member.address;
  });
  return live && heard != nullptr && heard->info.sender == member;
}

std::size_t ClaimGroupKeeper::countGood(const std::vector<ClaimGroupMember>& members, TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(), [&](const ClaimGroupMember& member) { return isGood(member, now); }));
}

bool ClaimGroupKeeper::changeNeeded(const std::vector<ClaimGroupMember>& wanted, TimePoint now) const {
  if (row_.epoch == 0) return true;
  if (countGood(wanted, now) > countGood(row_.members, now)) return true;
  for (const ClaimGroupMember& member : row_.members) {
    if (!isGood(member, now)) continue;
    const ClaimGroupInfo& info = fresh(member.address, now)->info;
    if (info.voting_epoch != row_.epoch || info.unwritten > 0) return true;
  }
  return false;
}

std::vector<ClaimGroupMember> ClaimGroupKeeper::chooseMembers(TimePoint now) const {
  const std::size_t wished = settings_.size == 0 ? row_.members.size() : settings_.size;
  const std::size_t size = std::min(wished, std::max(routers_.size(), row_.members.size()));
  std::vector<ClaimGroupMember> chosen;
  std::set<std::string> addresses;
  std::set<std::string> zones;
  const auto zoneOf = [this](const std::string& address) {
    const auto found = std::find_if(routers_.begin(), routers_.end(), [&](const ClaimGroupCandidate& router) {
      return router.address == address;
    });
    return found == routers_.end() ? std::string() : found->zone;
  };
  const auto add = [&](const ClaimGroupMember& member) {
    if (chosen.size() >= size || !addresses.insert(member.address).second) return;
    chosen.push_back(member);
    zones.insert(zoneOf(member.address));
  };
  for (const ClaimGroupMember& member : row_.members) {
    if (isGood(member, now)) add(member);
  }
  for (const bool other_zone : {true, false}) {
    for (const ClaimGroupCandidate& router : routers_) {
      const Heard* heard = fresh(router.address, now);
      if (heard != nullptr && !(other_zone && zones.contains(router.zone))) add(heard->info.sender);
    }
  }
  // Rather a member that may come back than a smaller group.
  for (const ClaimGroupMember& member : row_.members) add(member);
  if (row_.epoch == 0 && chosen.size() < size) return {};
  return chosen;
}

void ClaimGroupKeeper::advance(TimePoint now) {
  const std::pair progress(change_->step(), sealed_.size() + puts_.size());
  if (progress != std::exchange(progress_, progress)) progress_at_ = now;
  if (now - progress_at_ > kChangeLimit || change_->step() == EpochStep::Lost) {
    change_.reset();
    return;
  }
  if (change_->step() == EpochStep::WriteClaims && !std::exchange(puts_prepared_, true)) preparePuts();
  if (change_->step() == EpochStep::WriteClaims && puts_.empty()) change_->claimsWritten();
  if (change_->step() == EpochStep::SwapRow && !swapping_ && !swap_unknown_) {
    swapping_ = true;
    actions_.emplace_back(SwapGroupRow{change_->newRow(), change_->row().row_version});
  }
  if (change_->step() == EpochStep::WriteClaims) sendPuts();
  if (now < next_send_) return;
  next_send_ = now + kResend;
  if (change_->step() == EpochStep::Seal) sendSeals();
  if (swap_unknown_ && !reading_) {
    reading_ = true;
    read_sent_at_ = now;
    actions_.emplace_back(ReadGroupRow{});
  }
  if (change_->step() == EpochStep::Install) sendInstalls(now);
}

void ClaimGroupKeeper::sendSeals() {
  for (const ClaimGroupMember& member : change_->row().members) {
    if (!sealed_.contains(member.address)) send(member.address, change_->seal());
  }
}

void ClaimGroupKeeper::preparePuts() {
  for (const ClaimVote& vote : change_->carried()) {
    if (!vote.in_table) puts_[vote.key] = Put{vote, 0, false};
  }
}

void ClaimGroupKeeper::sendPuts() {
  std::size_t outstanding = 0;
  for (auto& [key, put] : puts_) {
    if (++outstanding > kPutsAtOnce) return;
    if (std::exchange(put.outstanding, true)) continue;
    ClaimRow row;
    row.phase = put.vote.has_result ? ClaimRow::Phase::Done : ClaimRow::Phase::Claimed;
    row.token = put.vote.token;
    row.body_hash = put.vote.body_hash;
    row.result = put.vote.result;
    actions_.emplace_back(PutClaimRow{key, std::move(row), put.expected_version});
  }
}

void ClaimGroupKeeper::sendInstalls(TimePoint now) {
  if (everyGoodMemberVotes(now)) {
    change_.reset();
    return;
  }
  for (const ClaimGroupMember& member : change_->newRow().members) send(member.address, change_->install());
  if (std::exchange(told_routers_, true)) return;
  ClaimGroupInfo info;
  info.row = change_->newRow();
  for (const ClaimGroupCandidate& router : routers_) send(router.address, info);
}

bool ClaimGroupKeeper::everyGoodMemberVotes(TimePoint now) const {
  const ClaimGroupRow& row = change_->newRow();
  return std::all_of(row.members.begin(), row.members.end(), [&](const ClaimGroupMember& member) {
    return !isGood(member, now) || fresh(member.address, now)->info.voting_epoch >= row.epoch;
  });
}

std::vector<ClaimKeeperAction> ClaimGroupKeeper::takeActions() {
  return std::exchange(actions_, {});
}

}  // namespace crankspur
