/// @file Exchange of complete tables by SwimMembership: joins, pulls, and members that are Dead in this table
/// only.

#include <algorithm>
#include <iterator>
#include <utility>

#include "membership/swim_membership.h"

namespace crankspur {

namespace {

/// Members in the response to a join; the joining node pulls the others from these.
constexpr std::size_t kMaxMembersInJoinResponse = 32;
constexpr std::size_t kMaxContested = 1024;

}  // namespace

void SwimMembership::respondToStateRequest(const Ping& ping, const std::string& address, TimePoint now) {
  const bool join = ping.fingerprints.empty();
  std::vector<MemberRecord> members = differingRecords(table_, self_, ping.fingerprints, random_);
  std::vector<EngineRecord> engines;
  for (const auto& [key, record] : engines_.all()) {
    if (join && (record.leaving || record.dead)) engines.push_back(record);
  }
  if (join && response_budget_.takeComplete(
                  std::min(members.size(), kMaxMembersInJoinResponse) + engines.size(), now)) {
    members.resize(std::min(members.size(), kMaxMembersInJoinResponse));
    sendState(ping.sender, address, ping.sequence, members, engines);
    return;
  }
  const std::size_t part = response_budget_.takePartial(members.size(), now);
  if (part == 0) return;
  members.resize(std::min(part, members.size()));
  // Without the engine records the join is not complete; the members are further nodes to send requests to.
  sendState(ping.sender, address, join ? 0 : ping.sequence, members, {});
}

void SwimMembership::sendState(const std::string& receiver, const std::string& address,
                               std::uint64_t sequence, const std::vector<MemberRecord>& members,
                               const std::vector<EngineRecord>& engines) {
  const Member* requester = table_.find(receiver);
  const bool requester_is_dead = requester != nullptr && requester->record.state == MemberState::Dead;
  std::size_t sent = 0;
  do {
    PingAck ack;
    ack.sequence = sent == 0 ? sequence : 0;
    ack.sender = self_.name;
    ack.bundle_version = self_.bundle_version;
    ack.members.push_back(self_);
    if (sent == 0 && requester_is_dead) ack.members.push_back(requester->record);
    const std::size_t end = sent + kRecordsPerStateMessage;
    for (std::size_t index = sent; index < std::min(end, members.size()); ++index) {
      ack.members.push_back(members[index]);
    }
    for (std::size_t index = sent; index < std::min(end, engines.size()); ++index) {
      ack.engines.push_back(engines[index]);
    }
    send(receiver, address, std::move(ack));
    sent = end;
  } while (sent < std::max(members.size(), engines.size()));
}

void SwimMembership::pullState(TimePoint now) {
  const bool behind = pulls_until_caught_up_ > 0;
  next_pull_at_ = now + jittered(behind ? options_.probe_interval : options_.pull_interval);
  if (!joined_) return;
  for (const std::string& member : ProbeOrder::sample(table_, self_.name, 1, random_)) {
    startProbe(member, Purpose::Pull, now);
  }
}

void SwimMembership::markBehind() {
  changed_since_pull_ = true;
  pulls_until_caught_up_ = kPullsUntilCaughtUp;
  next_pull_at_ = std::min(next_pull_at_, next_probe_at_ + options_.probe_interval);
}

void SwimMembership::onPullResponse() {
  if (!std::exchange(changed_since_pull_, false))
    pulls_until_caught_up_ = std::max(0, pulls_until_caught_up_ - 1);
}

void SwimMembership::recordContested(const MemberRecord& record) {
  if (contested_.size() >= kMaxContested) return;
  contested_.insert(record.name);
  markBehind();
}

void SwimMembership::probeContested(TimePoint now) {
  if (contested_.empty()) return;
  const auto chosen =
      std::next(contested_.begin(), static_cast<std::ptrdiff_t>(random_.uniform(0, contested_.size() - 1)));
  const std::string name = std::move(contested_.extract(chosen).value());
  const Member* member = table_.find(name);
  if (member != nullptr && member->record.state == MemberState::Dead) {
    startProbe(name, Purpose::Liveness, now);
  }
}

}  // namespace crankspur
