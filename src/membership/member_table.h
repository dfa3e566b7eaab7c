#pragma once
/// @file Last known state of all other members, and the precedence rule for updates.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "internal_protocol/messages.h"
#include "membership/membership.h"

namespace crankspur {

/// One other member.
struct Member {
  MemberRecord record;
  TimePoint changed_at{};                       ///< When `record` last changed in state or incarnation.
  std::optional<TimePoint> suspicion_deadline;  ///< When the member becomes Dead unless it refutes.
};

/// @return whether `update` replaces `current`: a higher incarnation, or the same one with a stronger state.
bool supersedes(const MemberRecord& update, const MemberRecord& current);

/// Members other than this node.
class MemberTable {
public:
  /// @param max_members limit on the number of members; records of further members are dropped.
  explicit MemberTable(std::size_t max_members) : max_members_(max_members) {}

  /// Applies a record if it supersedes the known one.
  /// @param suspicion_timeout time a suspected member has to refute.
  /// @return whether the table changed, in which case the record should be disseminated.
  bool apply(const MemberRecord& update, Duration suspicion_timeout, TimePoint now);
  /// Records a bundle version that the member itself reported.
  void recordBundleVersion(const std::string& name, std::uint64_t version);
  /// Starts the suspicion of a member that did not respond.
  void startSuspicion(const std::string& name, Duration suspicion_timeout, TimePoint now);
  /// Extends all running suspicions; used after this process was suspended.
  void delaySuspicions(Duration by);
  /// @return names of members whose suspicion has expired.
  std::vector<std::string> expiredSuspicions(TimePoint now) const;
  /// @return the earliest suspicion deadline.
  std::optional<TimePoint> nextSuspicionDeadline() const;
  /// Removes members that have been Dead for longer than `retention`.
  void removeDead(Duration retention, TimePoint now);

  /// @return the member, or nullptr.
  const Member* find(const std::string& name) const;
  /// @return all members by name.
  const std::map<std::string, Member>& members() const { return members_; }
  /// @return the number of members that are not Dead.
  std::size_t liveCount() const { return live_count_; }
  /// @return changes since the last call.
  std::vector<MembershipChange> takeChanges();

private:
  void setDeadline(Member& member, std::optional<TimePoint> deadline);
  bool insert(const MemberRecord& update, Duration suspicion_timeout, TimePoint now);

  std::size_t max_members_;
  std::map<std::string, Member> members_;
  std::set<std::string> suspected_;  ///< Members with a suspicion deadline.
  std::size_t live_count_ = 0;
  std::vector<MembershipChange> changes_;
};

}  // namespace crankspur
