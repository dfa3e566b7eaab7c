#pragma once
/// @file A claimant's part in a claim group: a claim is won by the votes of a majority. Pure decision code.

#include <optional>
#include <set>
#include <string>

#include "claim/claim_group_types.h"

namespace crankspur {

/// How a group claim ended.
enum class GroupClaimOutcome {
  Granted,          ///< Won, and the group knows every claim of the keys' lifetime: dispatch may begin.
  GrantedForTable,  ///< Won, but the group is too young: the table must agree as well before dispatch.
  HeldByOther,      ///< Another claimant holds the key at a voter.
  Unavailable,      ///< No majority answered in this epoch in time; nothing was dispatched.
};

/// One claim attempt at one epoch of a group.
class GroupClaim {
public:
  /// @param token unique to this object over all processes and their restarts.
  /// @param row the group as known; an older epoch than the present one wins nothing.
  GroupClaim(std::string key, std::string token, ClaimGroupRow row, Duration key_lifetime,
             TimePoint deadline);

  /// @return the message for every member that has not answered; to be repeated until decided.
  ClaimPrepare prepare() const;
  /// @return members that have not answered.
  std::vector<ClaimGroupMember> unanswered() const;
  /// Counts a voter's answer. Answers of other processes, epochs, keys or tokens do not count.
  void onBallot(const ClaimBallot& ballot, TimePoint now);
  /// Decides Unavailable (or HeldByOther) once the deadline has passed.
  void onTimer(TimePoint now);
  /// Gives up at once, unless the claim is decided.
  void abandon();
  /// @return the outcome once decided; it never changes.
  std::optional<GroupClaimOutcome> outcome() const { return outcome_; }
  /// @return the message for every member after any outcome but a grant, or after a grant whose work surely
  /// did not and will not run.
  ClaimRelease release() const;

private:
  void decideIfClear(TimePoint now);

  std::string key_;
  std::string token_;
  ClaimGroupRow row_;
  Duration key_lifetime_;
  TimePoint deadline_;
  std::set<std::string> granted_;  ///< Addresses of members.
  std::set<std::string> denied_;
  bool holder_seen_ = false;
  bool covered_ = true;  ///< By every voter that granted.
  std::optional<GroupClaimOutcome> outcome_;
};

}  // namespace crankspur
