#pragma once
/// @file One member's part in a claim group: it votes once for each key in each epoch. Pure decision code.

#include <map>
#include <string>

#include "claim/claim_group_types.h"

namespace crankspur {

/// The votes of one process. They live in memory only; a restart makes it another member.
class ClaimVoter {
public:
  /// @param key_lifetime how long callers may use a key after its first use. Votes are kept twice as long.
  ClaimVoter(ClaimGroupMember self, Duration key_lifetime)
      : self_(std::move(self)), key_lifetime_(key_lifetime) {}

  /// Votes for the claim unless the key is held by another token.
  ClaimBallot onPrepare(const ClaimPrepare& prepare, TimePoint now);
  /// Gives the vote back if the token has it.
  void onRelease(const ClaimRelease& release);
  /// Ends voting in the epoch for good and tells all votes.
  ClaimSealed onSeal(const ClaimSeal& seal, TimePoint now);
  /// Begins an epoch.
  /// @return false when the epoch is sealed or not newer than the present one, or this process is not among
  /// its members.
  bool onInstall(const ClaimInstall& install, TimePoint now);
  /// Forgets votes for keys whose lifetime ended long ago.
  void expire(TimePoint now);
  /// @return the epoch in which it votes; 0 when in none.
  std::uint64_t epoch() const { return epoch_ > sealed_ ? epoch_ : 0; }
  /// @return votes held, sorted by key.
  std::vector<ClaimVote> votes() const;

private:
  struct Entry {
    ClaimVote vote;
    TimePoint first_seen{};
  };

  Duration covered(TimePoint now) const;

  ClaimGroupMember self_;
  Duration key_lifetime_;
  std::uint64_t epoch_ = 0;   ///< The newest epoch installed here.
  std::uint64_t sealed_ = 0;  ///< The newest epoch sealed here.
  TimePoint installed_at_{};
  TimePoint refuse_until_{};
  Duration covered_at_install_{0};
  std::map<std::string, Entry> votes_;
};

}  // namespace crankspur
