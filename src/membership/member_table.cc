#include "membership/member_table.h"

#include <algorithm>
#include <utility>

namespace crankspur {

const char* memberStateName(MemberState state) {
  switch (state) {
    case MemberState::Alive:
      return "alive";
    case MemberState::Suspect:
      return "suspect";
    case MemberState::Leaving:
      return "leaving";
    case MemberState::Dead:
      return "dead";
  }
  return "dead";
}

bool supersedes(const MemberRecord& update, const MemberRecord& current) {
  if (update.incarnation != current.incarnation) return update.incarnation > current.incarnation;
  return update.state > current.state;
}

void MemberTable::setDeadline(Member& member, std::optional<TimePoint> deadline) {
  member.suspicion_deadline = deadline;
  if (deadline) {
    suspected_.insert(member.record.name);
  } else {
    suspected_.erase(member.record.name);
  }
}

bool MemberTable::insert(const MemberRecord& update, Duration suspicion_timeout, TimePoint now) {
  if (update.state == MemberState::Dead || members_.size() >= max_members_) return false;
  Member& member = members_.emplace(update.name, Member{update, now, std::nullopt}).first->second;
  if (update.state == MemberState::Suspect) setDeadline(member, now + suspicion_timeout);
  ++live_count_;
  changes_.push_back({update, MemberState::Dead});
  return true;
}

bool MemberTable::apply(const MemberRecord& update, Duration suspicion_timeout, TimePoint now) {
  const auto found = members_.find(update.name);
  if (found == members_.end()) return insert(update, suspicion_timeout, now);
  Member& member = found->second;
  if (!supersedes(update, member.record)) return false;
  const MemberState previous = member.record.state;
  const bool same_process = update.incarnation == member.record.incarnation;
  const std::uint64_t known_version = member.record.bundle_version;
  member.record = update;
  if (same_process) member.record.bundle_version = std::max(known_version, update.bundle_version);
  member.changed_at = now;
  if (update.state == MemberState::Suspect) {
    setDeadline(member, now + suspicion_timeout);
  } else {
    setDeadline(member, std::nullopt);
  }
  if (previous == MemberState::Dead && update.state != MemberState::Dead) ++live_count_;
  if (previous != MemberState::Dead && update.state == MemberState::Dead) --live_count_;
  changes_.push_back({member.record, previous});
  return true;
}

void MemberTable::recordBundleVersion(const std::string& name, std::uint64_t version) {
  const auto found = members_.find(name);
  if (found != members_.end()) found->second.record.bundle_version = version;
}

void MemberTable::startSuspicion(const std::string& name, Duration suspicion_timeout, TimePoint now) {
  const auto found = members_.find(name);
  if (found == members_.end() || found->second.suspicion_deadline) return;
  setDeadline(found->second, now + suspicion_timeout);
}

void MemberTable::delaySuspicions(Duration by) {
  for (const std::string& name : suspected_) *members_.at(name).suspicion_deadline += by;
}

std::vector<std::string> MemberTable::expiredSuspicions(TimePoint now) const {
  std::vector<std::string> names;
  for (const std::string& name : suspected_) {
    if (*members_.at(name).suspicion_deadline <= now) names.push_back(name);
  }
  return names;
}

std::optional<TimePoint> MemberTable::nextSuspicionDeadline() const {
  std::optional<TimePoint> earliest;
  for (const std::string& name : suspected_) {
    const Member& member = members_.at(name);
    if (!earliest || *member.suspicion_deadline < *earliest) earliest = member.suspicion_deadline;
  }
  return earliest;
}

void MemberTable::removeDead(Duration retention, TimePoint now) {
  std::erase_if(members_, [&](const auto& entry) {
    const Member& member = entry.second;
    return member.record.state == MemberState::Dead && now - member.changed_at > retention;
  });
}

const Member* MemberTable::find(const std::string& name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

std::vector<MembershipChange> MemberTable::takeChanges() {
  return std::exchange(changes_, {});
}

}  // namespace crankspur
