#pragma once
/// @file Messages of claim groups: between claimants, voters and whoever changes the group's epoch.
/// See docs/design/0004-at-most-once.md.

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace crankspur {

/// A member of a group. A process that restarted is another member, as it has forgotten its votes.
struct ClaimGroupMember {
  std::string address;            ///< "IP:port".
  std::uint64_t incarnation = 0;  ///< Of the process, not of its gossip record.

  bool operator==(const ClaimGroupMember&) const = default;
};

/// The group's row in the table service. A compare-and-set on it begins an epoch.
struct ClaimGroupRow {
  std::uint64_t epoch = 0;  ///< 0: the group has not begun.
  std::vector<ClaimGroupMember> members;
  std::string installer;          ///< Token of the epoch change that wrote the row.
  std::uint64_t row_version = 0;  ///< The table's version of the row; 0 when absent.

  /// @return the least number of members that is more than half.
  std::size_t majority() const { return members.size() / 2 + 1; }
};

/// What a voter holds for one key.
struct ClaimVote {
  std::string key;
  std::string token;           ///< Empty: one of several claimants of an older epoch may have won.
  bool released = false;       ///< The claimant gave the claim back; its token never runs.
  bool carried = false;        ///< Taken over from an older epoch, at every voter of this one.
  std::string body_hash = {};  ///< Of the request's content.
  bool done = false;           ///< The work ran.
  bool has_result = false;     ///< `result` is the whole recorded answer.
  std::string result = {};
  bool in_table = false;  ///< The table holds a claim row under the token.
};

/// Asks a member of a claim group for its vote.
struct ClaimPrepare {
  std::uint64_t epoch = 0;
  std::string key;
  std::string token;           ///< The claimant's attempt token.
  std::string body_hash = {};  ///< Tells the request's content from another one under the same key.
};

/// A voter's answer to ClaimPrepare.
struct ClaimReply {
  std::uint64_t epoch = 0;  ///< The voter's; 0 while it votes in none.
  std::string key;
  std::string token;
  bool granted = false;
  std::string holder;  ///< Token of the present holder when not granted.
  std::string voter;
  std::uint64_t voter_incarnation = 0;
  /// For how long back the voter's group knows of every claim. Shorter than the keys' lifetime: the table
  /// must agree as well before the claim is granted.
  Duration covered{0};
  std::string holder_body_hash;  ///< Of the holder's content, when not granted.
  bool holder_has_result = false;
  std::string holder_result;  ///< The recorded answer of the holder's work.
};

/// Claimant to voters: the token will never run; others may claim the key.
struct ClaimRelease {
  std::uint64_t epoch = 0;
  std::string key;
  std::string token;
};

/// Claimant to voters: what became of a granted claim.
struct ClaimRecord {
  std::string key;
  std::string token;
  bool done = false;        ///< The work ran.
  bool has_result = false;  ///< `result` is the whole answer.
  std::string result;
  bool in_table = false;  ///< The table holds a row of this claim.
};

/// Epoch change to voters: never vote in this epoch or an older one again.
struct ClaimSeal {
  std::uint64_t epoch = 0;
};

/// A voter's answer to ClaimSeal.
struct ClaimSealed {
  std::uint64_t epoch = 0;
  ClaimGroupMember voter;
  bool installed = false;  ///< The voter took part in the epoch; otherwise the rest is empty.
  Duration covered{0};
  std::vector<ClaimVote> votes;  ///< Sorted by key.
};

/// Epoch change to the members of a new epoch: begin to vote.
struct ClaimInstall {
  ClaimGroupRow row;
  Duration covered{0};
  /// Refuse every key for this long: claims of the older epoch may be lost.
  Duration quarantine{0};
  std::vector<ClaimVote> carried;
};

/// Asks a router what it knows of the group.
struct ClaimGroupRequest {
  std::uint64_t known_epoch = 0;
};

/// Answer to ClaimGroupRequest and to ClaimInstall; also told unasked after an epoch began.
struct ClaimGroupInfo {
  ClaimGroupRow row;               ///< The newest the sender knows.
  ClaimGroupMember sender;         ///< The process that answers.
  std::uint64_t voting_epoch = 0;  ///< The epoch in which the sender votes; 0: in none.
  std::uint32_t unwritten = 0;     ///< Claims at the sender that for long have had no row in the table.
};

}  // namespace crankspur
