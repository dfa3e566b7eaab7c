#pragma once
/// @file Values of claim groups: the members, the group's row in the table service, and the messages between
/// claimants, voters and whoever changes the group's epoch. See docs/design/0004-at-most-once.md.

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "internal_protocol/messages.h"

namespace crankspur {

/// A member of a group. A process that restarted is another member, as it has forgotten its votes.
struct ClaimGroupMember {
  std::string address;  ///< "IP:port".
  std::uint64_t incarnation = 0;

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
  std::string token;      ///< Empty: one of several claimants of an older epoch may have won.
  bool released = false;  ///< The claimant gave the claim back; its token never runs.
  bool carried = false;   ///< Taken over from an older epoch, at every voter of this one.
};

/// A voter's answer to ClaimPrepare.
struct ClaimBallot {
  ClaimReply reply;
  /// For how long back the voter's group knows of every claim. Shorter than the keys' lifetime: the table
  /// must agree as well before the claim is granted.
  Duration covered{0};
};

/// Claimant to voters: the token will never run; others may claim the key.
struct ClaimRelease {
  std::uint64_t epoch = 0;
  std::string key;
  std::string token;
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

}  // namespace crankspur
