#pragma once
/// @file What one node believes of every other member, and the rule by which news replaces it.

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
  std::optional<TimePoint> suspicion_deadline;  ///< When the member counts as dead unless it refutes.
};

/// @return true when `news` replaces `held`: higher incarnation, or equal and a stronger state.
bool supersedes(const MemberRecord& news, const MemberRecord& held);

/// Members other than this node.
class MemberTable {
public:
  /// @param maximum members held; news of further names is dropped.
  explicit MemberTable(std::size_t maximum) : maximum_(maximum) {}

  /// Takes a record if it is news.
  /// @param suspicion_timeout how long a suspected member has to refute.
  /// @return whether it was news that should be spread.
  bool apply(const MemberRecord& news, Duration suspicion_timeout, TimePoint now);
  /// Notes a bundle version that the member itself told.
  void noteBundleVersion(const std::string& name, std::uint64_t version);
  /// Starts the suspicion of a member that did not answer.
  void startSuspicion(const std::string& name, Duration suspicion_timeout, TimePoint now);
  /// Puts off every running suspicion; used after this process was paused.
  void delaySuspicions(Duration by);
  /// @return names whose suspicion has run out.
  std::vector<std::string> expiredSuspicions(TimePoint now) const;
  /// @return the earliest end of a suspicion.
  std::optional<TimePoint> nextSuspicionDeadline() const;
  /// Forgets members that have been dead for longer than `retention`.
  void forgetDead(Duration retention, TimePoint now);

  /// @return the member, or nullptr.
  const Member* find(const std::string& name) const;
  /// @return every member by name.
  const std::map<std::string, Member>& members() const { return members_; }
  /// @return members that are not dead.
  std::size_t liveCount() const { return live_count_; }
  /// @return changes since the last call.
  std::vector<MembershipChange> takeChanges();

private:
  void setDeadline(Member& member, std::optional<TimePoint> deadline);
  bool insert(const MemberRecord& news, Duration suspicion_timeout, TimePoint now);

  std::size_t maximum_;
  std::map<std::string, Member> members_;
  std::set<std::string> suspected_;  ///< Members with a suspicion deadline.
  std::size_t live_count_ = 0;
  std::vector<MembershipChange> changes_;
};

}  // namespace crankspur
