#pragma once
/// @file Claimant of a claim group: a majority of votes grants a claim. Decision logic only, without I/O.

#include <optional>
#include <set>
#include <string>

#include "internal_protocol/claim_messages.h"

namespace crankspur {

/// How a group claim ended.
enum class GroupClaimOutcome {
  Granted,          ///< Granted by a group that has all claims of a key lifetime: dispatch may begin.
  GrantedForTable,  ///< Granted, but the group lacks coverage: the table must grant it as well.
  HeldByOther,      ///< Another claimant holds the key at one or more voters.
  Unavailable,      ///< No majority responded in this epoch in time; nothing was dispatched.
};

/// One claim attempt in one epoch of a group.
class GroupClaim {
public:
  /// @param token unique to this object across all processes and their restarts.
  /// @param row last known row of the group; claims in an outdated epoch are never granted.
  /// @param body_hash distinguishes requests with different content under one key.
  GroupClaim(std::string key, std::string token, ClaimGroupRow row, Duration key_lifetime, TimePoint deadline,
             std::string body_hash = {});

  /// @return the message for each of unanswered(); to be sent repeatedly until the claim is decided.
  ClaimPrepare prepare() const;
  /// @return members that have not responded; empty once the claim is decided.
  std::vector<ClaimGroupMember> unanswered() const;
  /// Counts a voter's reply. Replies from non-members or for other keys or tokens are ignored; those of
  /// another incarnation or epoch count as denials.
  void onReply(const ClaimReply& reply, TimePoint now);
  /// Decides Unavailable (or HeldByOther) once the deadline has passed.
  void onTimer(TimePoint now);
  /// Abandons the claim immediately unless it is decided.
  void abandon();
  /// @return the outcome once decided; it never changes.
  std::optional<GroupClaimOutcome> outcome() const { return outcome_; }
  const std::string& key() const { return key_; }
  const std::string& token() const { return token_; }
  /// @return the response of the holder's work, if a voter reported it.
  const std::optional<std::string>& recordedResult() const { return recorded_result_; }
  /// @return whether a voter reported that the holder's request has different content.
  bool keyReused() const { return key_reused_; }
  /// @return whether a voter replied from a newer epoch, so that the row is out of date.
  bool outdated() const { return outdated_; }
  /// @return the message for all members after any outcome but a grant, or after a grant whose work did not
  /// run and never will.
  ClaimRelease release() const;

private:
  void recordHolder(const ClaimReply& reply);
  void decideIfConclusive(TimePoint now);

  std::string key_;
  std::string token_;
  ClaimGroupRow row_;
  Duration key_lifetime_;
  TimePoint deadline_;
  std::set<std::string> granted_;  ///< Addresses of members.
  std::set<std::string> denied_;
  bool holder_seen_ = false;
  bool covered_ = true;  ///< Whether each voter that granted covers the key lifetime.
  std::string body_hash_;
  std::optional<std::string> recorded_result_;
  bool key_reused_ = false;
  bool outdated_ = false;
  std::optional<GroupClaimOutcome> outcome_;
};

}  // namespace crankspur
