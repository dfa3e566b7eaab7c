#pragma once
/// @file Messages of claim groups, between claimants, voters and the process that changes the group's epoch.
/// See docs/design/0004-at-most-once.md.

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace crankspur {

/// A member of a group. A restarted process counts as a different member, because it has lost its votes.
struct ClaimGroupMember {
  std::string address;            ///< "IP:port".
  std::uint64_t incarnation = 0;  ///< Of the process, not of its gossip record.

  bool operator==(const ClaimGroupMember&) const = default;
};

/// The group's row in the table service. A compare-and-set on it begins an epoch.
struct ClaimGroupRow {
  std::uint64_t epoch = 0;  ///< 0: the group has not been created.
  std::vector<ClaimGroupMember> members;
  std::string installer;          ///< Token of the epoch change that wrote the row.
  std::uint64_t row_version = 0;  ///< The table's version of the row; 0 when absent.

  /// @return the smallest number of members that is a majority.
  std::size_t majority() const { return members.size() / 2 + 1; }
};

/// A voter's state for one key.
struct ClaimVote {
  std::string key;
  std::string token;           ///< Empty: ambiguous; any of several claimants of an older epoch may have won.
  bool released = false;       ///< The claimant released the claim; its token never runs.
  bool carried = false;        ///< Inherited from an older epoch; held by every voter of this epoch.
  std::string body_hash = {};  ///< Hash of the request's content.
  bool done = false;           ///< The request was executed.
  bool has_result = false;     ///< `result` is the complete recorded response.
  std::string result = {};
  bool in_table = false;  ///< The table holds a claim row under the token.
};

/// Requests the vote of a member of a claim group.
struct ClaimPrepare {
  std::uint64_t epoch = 0;
  std::string key;
  std::string token;           ///< The claimant's attempt token.
  std::string body_hash = {};  ///< Distinguishes requests of different content under the same key.
};

/// A voter's response to ClaimPrepare.
struct ClaimReply {
  std::uint64_t epoch = 0;  ///< The epoch in which the voter votes; 0: none.
  std::string key;
  std::string token;
  bool granted = false;
  std::string holder;  ///< Token of the current holder when not granted.
  std::string voter;
  std::uint64_t voter_incarnation = 0;
  /// The period up to now for which the voter's group knows every claim. If it is shorter than the lifetime
  /// of keys, the table must confirm the claim as well before it is granted.
  Duration covered{0};
  std::string holder_body_hash;  ///< Hash of the holder's content, when not granted.
  bool holder_has_result = false;
  std::string holder_result;  ///< The recorded response to the holder's request.
};

/// Claimant to voters: the token will never run; another claimant may claim the key.
struct ClaimRelease {
  std::uint64_t epoch = 0;
  std::string key;
  std::string token;
};

/// Claimant to voters: the outcome of a granted claim.
struct ClaimRecord {
  std::string key;
  std::string token;
  bool done = false;        ///< The request was executed.
  bool has_result = false;  ///< `result` is the complete response.
  std::string result;
  bool in_table = false;  ///< The table holds a row for this claim.
};

/// Epoch change to voters: never again vote in this epoch or an older one.
struct ClaimSeal {
  std::uint64_t epoch = 0;
};

/// A voter's response to ClaimSeal.
struct ClaimSealed {
  std::uint64_t epoch = 0;
  ClaimGroupMember voter;
  bool installed = false;  ///< The voter voted in the epoch; if false, the other fields are empty.
  Duration covered{0};
  std::vector<ClaimVote> votes;  ///< Sorted by key.
};

/// Epoch change to the members of a new epoch: start to vote.
struct ClaimInstall {
  ClaimGroupRow row;
  Duration covered{0};
  /// Reject every key for this long, because claims of the older epoch may be lost.
  Duration quarantine{0};
  std::vector<ClaimVote> carried;
};

/// Queries a router for its last known state of the group.
struct ClaimGroupRequest {
  std::uint64_t known_epoch = 0;
};

/// Response to ClaimGroupRequest and to ClaimInstall; also sent unsolicited after an epoch has started.
struct ClaimGroupInfo {
  ClaimGroupRow row;               ///< The newest row that the sender has received.
  ClaimGroupMember sender;         ///< The responding process.
  std::uint64_t voting_epoch = 0;  ///< The epoch in which the sender votes; 0: none.
  std::uint32_t unwritten = 0;     ///< Claims at the sender that have lacked a table row for a long time.
};

}  // namespace crankspur
