#include "claim/claim_group_manager.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace crankspur {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Interval between two checks of the group.
constexpr Duration kRoundInterval = seconds(1);
/// Interval between two transmissions of the same message.
constexpr Duration kResendInterval = milliseconds(500);
/// How long received member information and a read row are valid.
constexpr Duration kInfoLifetime = milliseconds(3500);
/// How long a change must be needed before an epoch change begins; the second router waits longer.
constexpr Duration kMinNeedDuration = seconds(3);
constexpr Duration kSecondRouterDelay = seconds(7);
/// An epoch change that makes no progress for this long is abandoned and may be restarted.
constexpr Duration kChangeTimeout = seconds(10);
/// Claim rows written concurrently.
constexpr std::size_t kMaxConcurrentPuts = 16;
/// Candidates queried in addition to the wanted number of members.
constexpr std::size_t kSpareCandidates = 3;

}  // namespace

void ClaimGroupManager::setRouters(std::vector<ClaimGroupCandidate> routers,
                                   std::optional<std::uint32_t> rank) {
  routers_ = std::move(routers);
  rank_ = rank;
  // Hash order is the same at every router and distributes members evenly over the candidates.
  std::sort(routers_.begin(), routers_.end(),
            [](const ClaimGroupCandidate& left, const ClaimGroupCandidate& right) {
              return std::pair(hashBytes(left.address), left.address) <
                     std::pair(hashBytes(right.address), right.address);
            });
}

void ClaimGroupManager::onInfo(const ClaimGroupInfo& info, TimePoint now) {
  received_[info.sender.address] = ReceivedInfo{info, now};
}

void ClaimGroupManager::onSealed(const ClaimSealed& sealed) {
  if (!change_ || change_->step() != EpochStep::Seal) return;
  for (const ClaimGroupMember& member : change_->row().members) {
    if (member.address != sealed.voter.address) continue;
    sealed_.insert(member.address);
    // Another process at the address proves that the member's process has ended.
    if (member != sealed.voter) return change_->onMemberStopped(member);
  }
  change_->onSealed(sealed);
}

void ClaimGroupManager::onRowRead(const std::optional<ClaimGroupRow>& row, TimePoint now) {
  reading_ = false;
  if (!row) return;
  row_read_at_ = now;
  if (row->row_version >= row_.row_version) row_ = *row;
  if (!change_ || change_->step() != EpochStep::SwapRow || !std::exchange(swap_unknown_, false)) return;
  change_->onRow(*row);
}

void ClaimGroupManager::onRowSwapped(std::optional<bool> committed) {
  swapping_ = false;
  if (!change_ || change_->step() != EpochStep::SwapRow) return;
  // Even a conflict may be caused by this process's own earlier write whose response was lost.
  swap_unknown_ = !committed || !*committed;
  if (!swap_unknown_) change_->rowSwapped(true);
}

void ClaimGroupManager::onClaimPut(const std::string& key, const std::optional<ClaimRow>& present) {
  const auto found = puts_.find(key);
  if (found == puts_.end()) return;
  Put& put = found->second;
  put.outstanding = false;
  if (!present) return;
  // A released row of an earlier attempt: this claim was granted without the table and replaces it.
  const bool earlier = present->phase == ClaimRow::Phase::Released && present->token != put.vote.token;
  if (present->row_version == 0 || earlier) {
    put.expected_version = present->row_version;
    return;
  }
  puts_.erase(found);
}

void ClaimGroupManager::tick(TimePoint now) {
  if (change_) advance(now);
  if (!rank_ || now < next_round_) return;
  next_round_ = now + kRoundInterval;
  probe();
  if (!reading_ || now - read_sent_at_ > kInfoLifetime) {
    reading_ = true;
    read_sent_at_ = now;
    actions_.emplace_back(ReadGroupRow{});
  }
  if (!change_) beginIfNeeded(now);
}

void ClaimGroupManager::probe() {
  std::set<std::string> queried;
  for (const ClaimGroupMember& member : row_.members) queried.insert(member.address);
  const std::size_t wanted = std::max<std::size_t>(settings_.size, row_.members.size());
  if (wanted == 0) return;
  for (const ClaimGroupCandidate& router : routers_) {
    if (queried.size() >= wanted + kSpareCandidates) break;
    queried.insert(router.address);
  }
  std::erase_if(received_, [&](const auto& item) { return !queried.contains(item.first); });
  for (const std::string& address : queried) send(address, ClaimGroupRequest{row_.epoch});
}

void ClaimGroupManager::beginIfNeeded(TimePoint now) {
  const bool table_up = row_read_at_ && now - *row_read_at_ < kInfoLifetime;
  const std::vector<ClaimGroupMember> wanted = chooseMembers(now);
  if (!table_up || wanted.empty() || !changeNeeded(wanted, now)) {
    needed_since_.reset();
    return;
  }
  if (!needed_since_) needed_since_ = now;
  if (now - *needed_since_ < (*rank_ == 0 ? kMinNeedDuration : kSecondRouterDelay)) return;
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
  routers_notified_ = false;
  advance(now);
}

const ClaimGroupManager::ReceivedInfo* ClaimGroupManager::freshInfo(const std::string& address,
                                                                    TimePoint now) const {
  const auto found = received_.find(address);
  if (found == received_.end() || now - found->second.received_at > kInfoLifetime) return nullptr;
  return &found->second;
}

bool ClaimGroupManager::isHealthy(const ClaimGroupMember& member, TimePoint now) const {
  const ReceivedInfo* received = freshInfo(member.address, now);
  const bool live = std::any_of(routers_.begin(), routers_.end(), [&](const ClaimGroupCandidate& router) {
    return router.address == member.address;
  });
  return live && received != nullptr && received->info.sender == member;
}

std::size_t ClaimGroupManager::countHealthy(const std::vector<ClaimGroupMember>& members,
                                            TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [&](const ClaimGroupMember& member) { return isHealthy(member, now); }));
}

bool ClaimGroupManager::changeNeeded(const std::vector<ClaimGroupMember>& wanted, TimePoint now) const {
  if (row_.epoch == 0) return true;
  if (countHealthy(wanted, now) > countHealthy(row_.members, now)) return true;
  for (const ClaimGroupMember& member : row_.members) {
    if (!isHealthy(member, now)) continue;
    const ClaimGroupInfo& info = freshInfo(member.address, now)->info;
    if (info.voting_epoch != row_.epoch || info.unwritten > 0) return true;
  }
  return false;
}

std::vector<ClaimGroupMember> ClaimGroupManager::chooseMembers(TimePoint now) const {
  const std::size_t configured_size = settings_.size == 0 ? row_.members.size() : settings_.size;
  const std::size_t size = std::min(configured_size, std::max(routers_.size(), row_.members.size()));
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
    if (isHealthy(member, now)) add(member);
  }
  for (const bool other_zone : {true, false}) {
    for (const ClaimGroupCandidate& router : routers_) {
      const ReceivedInfo* received = freshInfo(router.address, now);
      if (received != nullptr && !(other_zone && zones.contains(router.zone))) add(received->info.sender);
    }
  }
  // A member that may recover is preferred to a smaller group.
  for (const ClaimGroupMember& member : row_.members) add(member);
  if (row_.epoch == 0 && chosen.size() < size) return {};
  return chosen;
}

void ClaimGroupManager::advance(TimePoint now) {
  const std::pair progress(change_->step(), sealed_.size() + puts_.size());
  if (progress != std::exchange(progress_, progress)) progress_at_ = now;
  if (now - progress_at_ > kChangeTimeout || change_->step() == EpochStep::Lost) {
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
  next_send_ = now + kResendInterval;
  if (change_->step() == EpochStep::Seal) sendSeals();
  if (swap_unknown_ && !reading_) {
    reading_ = true;
    read_sent_at_ = now;
    actions_.emplace_back(ReadGroupRow{});
  }
  if (change_->step() == EpochStep::Install) sendInstalls(now);
}

void ClaimGroupManager::sendSeals() {
  for (const ClaimGroupMember& member : change_->row().members) {
    if (!sealed_.contains(member.address)) send(member.address, change_->seal());
  }
}

void ClaimGroupManager::preparePuts() {
  for (const ClaimVote& vote : change_->carried()) {
    if (!vote.in_table) puts_[vote.key] = Put{vote, 0, false};
  }
}

void ClaimGroupManager::sendPuts() {
  std::size_t outstanding = 0;
  for (auto& [key, put] : puts_) {
    if (++outstanding > kMaxConcurrentPuts) return;
    if (std::exchange(put.outstanding, true)) continue;
    ClaimRow row;
    row.phase = put.vote.has_result ? ClaimRow::Phase::Done : ClaimRow::Phase::Claimed;
    row.token = put.vote.token;
    row.body_hash = put.vote.body_hash;
    row.result = put.vote.result;
    actions_.emplace_back(PutClaimRow{key, std::move(row), put.expected_version});
  }
}

void ClaimGroupManager::sendInstalls(TimePoint now) {
  if (allHealthyMembersVote(now)) {
    change_.reset();
    return;
  }
  for (const ClaimGroupMember& member : change_->newRow().members) send(member.address, change_->install());
  if (std::exchange(routers_notified_, true)) return;
  ClaimGroupInfo info;
  info.row = change_->newRow();
  for (const ClaimGroupCandidate& router : routers_) send(router.address, info);
}

bool ClaimGroupManager::allHealthyMembersVote(TimePoint now) const {
  const ClaimGroupRow& row = change_->newRow();
  return std::all_of(row.members.begin(), row.members.end(), [&](const ClaimGroupMember& member) {
    return !isHealthy(member, now) || freshInfo(member.address, now)->info.voting_epoch >= row.epoch;
  });
}

std::vector<ClaimManagerAction> ClaimGroupManager::takeActions() {
  return std::exchange(actions_, {});
}

}  // namespace crankspur
