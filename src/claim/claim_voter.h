#pragma once
/// @file Voter of a claim group: it votes once per key and epoch. Decision logic only, without I/O.

#include <map>
#include <string>

#include "internal_protocol/claim_messages.h"

namespace crankspur {

/// Maximum number of claims that one voter stores; further keys receive no vote. All of them fit into one
/// frame.
inline constexpr std::size_t kMaxClaimVotes = 8000;
/// Maximum total size of keys, tokens and recorded responses that one voter stores. A response that does not
/// fit is not recorded; a key that does not fit receives no vote.
inline constexpr std::size_t kMaxClaimVoteBytes = std::size_t{6} * 1024 * 1024;

/// The votes of one process. They are held in memory only; after a restart the process is a different member.
class ClaimVoter {
public:
  /// @param key_lifetime how long callers may use a key after its first use. Votes are retained twice as
  /// long.
  ClaimVoter(ClaimGroupMember self, Duration key_lifetime)
      : self_(std::move(self)), key_lifetime_(key_lifetime) {}

  /// Votes for the claim unless another token holds the key.
  ClaimReply onPrepare(const ClaimPrepare& prepare, TimePoint now);
  /// Withdraws the vote if it is for the token.
  void onRelease(const ClaimRelease& release);
  /// Records the state of the claim if the vote is for the token.
  void onRecord(const ClaimRecord& record);
  /// Ends voting in the epoch permanently and returns all votes.
  ClaimSealed onSeal(const ClaimSeal& seal, TimePoint now);
  /// Begins an epoch.
  /// @return false when the epoch is sealed or not newer than the current one, or when this process is not a
  /// member.
  bool onInstall(const ClaimInstall& install, TimePoint now);
  /// Removes votes older than twice the lifetime of keys.
  void expire(TimePoint now);
  /// Changes the lifetime of keys. Coverage of a longer one builds up only from now on, since votes were
  /// retained for the previous lifetime only.
  void setKeyLifetime(Duration key_lifetime, TimePoint now);
  /// @return the number of unreleased claims first seen longer than `age` ago that may have no row in the
  /// table.
  std::uint32_t unwritten(Duration age, TimePoint now) const;
  /// @return how far back the group has all claims.
  Duration covered(TimePoint now) const;
  std::size_t size() const { return votes_.size(); }
  /// @return the epoch in which it votes; 0 when it does not vote.
  std::uint64_t epoch() const { return epoch_ > sealed_ ? epoch_ : 0; }
  /// @return all votes, sorted by key.
  std::vector<ClaimVote> votes() const;

private:
  struct Entry {
    ClaimVote vote;
    TimePoint first_seen{};
  };

  bool hasCapacityFor(const ClaimPrepare& prepare) const;
  static std::size_t bytesOf(const ClaimVote& vote);
  void storeVote(const ClaimVote& vote, TimePoint now);

  ClaimGroupMember self_;
  Duration key_lifetime_;
  std::uint64_t epoch_ = 0;   ///< The newest epoch installed here.
  std::uint64_t sealed_ = 0;  ///< The newest epoch sealed here.
  TimePoint installed_at_{};
  TimePoint refuse_until_{};
  Duration covered_at_install_{0};
  std::map<std::string, Entry> votes_;
  std::size_t bytes_ = 0;  ///< Sum of bytesOf() over the votes.
};

}  // namespace crankspur
