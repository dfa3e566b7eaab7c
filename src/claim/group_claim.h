#pragma once
/// @file A claimant's part in a claim group: a claim is won by the votes of a majority. Pure decision code.

#include <optional>
#include <set>
#include <string>

#include "internal_protocol/claim_messages.h"

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
  /// @param body_hash tells the request's content from another one under the same key.
  GroupClaim(std::string key, std::string token, ClaimGroupRow row, Duration key_lifetime, TimePoint deadline,
             std::string body_hash = {});

  /// @return the message for every member that has not answered; to be repeated until decided.
  ClaimPrepare prepare() const;
  /// @return members that have not answered.
  std::vector<ClaimGroupMember> unanswered() const;
  /// Counts a voter's answer. Answers of other processes, epochs, keys or tokens do not count.
  void onBallot(const ClaimReply& reply, TimePoint now);
  /// Decides Unavailable (or HeldByOther) once the deadline has passed.
  void onTimer(TimePoint now);
  /// Gives up at once, unless the claim is decided.
  void abandon();
  /// @return the outcome once decided; it never changes.
  std::optional<GroupClaimOutcome> outcome() const { return outcome_; }
  const std::string& key() const { return key_; }
  const std::string& token() const { return token_; }
  /// @return the answer that the holder's work gave, if a voter told it.
  const std::optional<std::string>& recordedResult() const { return recorded_result_; }
  /// @return whether a voter told that the holder's request has other content.
  bool keyReused() const { return key_reused_; }
  /// @return whether a voter that votes in a newer epoch answered: the row is out of date.
  bool outdated() const { return outdated_; }
  /// @return the message for every member after any outcome but a grant, or after a grant whose work surely
  /// did not and will not run.
  ClaimRelease release() const;

private:
  void noteHolder(const ClaimReply& reply);
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
  std::string body_hash_;
  std::optional<std::string> recorded_result_;
  bool key_reused_ = false;
  bool outdated_ = false;
  std::optional<GroupClaimOutcome> outcome_;
};

}  // namespace crankspur
