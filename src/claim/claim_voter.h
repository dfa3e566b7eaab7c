#pragma once
/// @file One member's part in a claim group: it votes once for each key in each epoch. Pure decision code.

#include <map>
#include <string>

#include "internal_protocol/claim_messages.h"

namespace crankspur {

/// Most claims that one voter holds; further keys get no vote. All of them fit into one frame.
inline constexpr std::size_t kMaximumClaimVotes = 8000;
/// Most bytes of keys, tokens and recorded answers that one voter holds. An answer that does not fit is not
/// recorded, a key that does not fit gets no vote.
inline constexpr std::size_t kMaximumClaimVoteBytes = std::size_t{6} * 1024 * 1024;

/// The votes of one process. They live in memory only; a restart makes it another member.
class ClaimVoter {
public:
  /// @param key_lifetime how long callers may use a key after its first use. Votes are kept twice as long.
  ClaimVoter(ClaimGroupMember self, Duration key_lifetime)
      : self_(std::move(self)), key_lifetime_(key_lifetime) {}

  /// Votes for the claim unless the key is held by another token.
  ClaimReply onPrepare(const ClaimPrepare& prepare, TimePoint now);
  /// Gives the vote back if the token has it.
  void onRelease(const ClaimRelease& release);
  /// Notes what became of the claim if the token has the vote.
  void onRecord(const ClaimRecord& record);
  /// Ends voting in the epoch for good and tells all votes.
  ClaimSealed onSeal(const ClaimSeal& seal, TimePoint now);
  /// Begins an epoch.
  /// @return false when the epoch is sealed or not newer than the present one, or this process is not among
  /// its members.
  bool onInstall(const ClaimInstall& install, TimePoint now);
  /// Forgets votes for keys whose lifetime ended long ago.
  void expire(TimePoint now);
  /// Takes another lifetime of keys. A longer one must be covered anew, as votes were kept for the older.
  void setKeyLifetime(Duration key_lifetime, TimePoint now);
  /// @return claims first seen longer than `age` ago that are not given back and of which the table may hold
  /// no row.
  std::uint32_t unwritten(Duration age, TimePoint now) const;
  /// @return for how long back its group knows of every claim.
  Duration covered(TimePoint now) const;
  std::size_t size() const { return votes_.size(); }
  /// @return the epoch in which it votes; 0 when in none.
  std::uint64_t epoch() const { return epoch_ > sealed_ ? epoch_ : 0; }
  /// @return votes held, sorted by key.
  std::vector<ClaimVote> votes() const;

private:
  struct Entry {
    ClaimVote vote;
    TimePoint first_seen{};
  };

  bool hasRoomFor(const ClaimPrepare& prepare) const;
  static std::size_t bytesOf(const ClaimVote& vote);
  void put(const ClaimVote& vote, TimePoint now);

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
