#pragma once
/// @file Change of a claim group's members. A majority of the old epoch is sealed, the claims that may have
/// been won are collected and written to the table, then a compare-and-set of the group's row begins the new
/// epoch, and its members are told. Pure decision code; the driver carries out one step at a time.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "internal_protocol/claim_messages.h"

namespace crankspur {

/// What the driver has to do next.
enum class EpochStep {
  Seal,         ///< Send seal() to the members of row(); report answers and members proved to be gone.
  WriteClaims,  ///< Insert a claim row for each of carried() not known to have one; then claimsWritten().
  SwapRow,      ///< Compare-and-set newRow() against row().row_version; then rowSwapped() or rowUnknown().
  Install,      ///< Send install() to the members of newRow(); repeated sending does no harm.
  Lost,         ///< Another epoch change was first: nothing to do; begin again from the new row if needed.
};

/// One try to begin a new epoch.
class ClaimEpochChange {
public:
  /// @param row the group's row as read from the table.
  /// @param installer unique to this object over all processes and their restarts.
  /// @param key_lifetime how long callers may use a key after its first use.
  ClaimEpochChange(ClaimGroupRow row, std::vector<ClaimGroupMember> members, std::string installer,
                   Duration key_lifetime);

  EpochStep step() const { return step_; }
  const ClaimGroupRow& row() const { return row_; }
  const ClaimGroupRow& newRow() const { return new_row_; }
  /// @return every claim that may have been won; the table must hold a row of each.
  const std::vector<ClaimVote>& carried() const { return collected_; }
  ClaimSeal seal() const { return ClaimSeal{row_.epoch}; }
  const ClaimInstall& install() const { return install_; }

  void onSealed(const ClaimSealed& sealed);
  /// The member's process surely ended: its address runs another incarnation. A suspicion is no proof, since
  /// the member might vote on beyond a cut.
  void onMemberGone(const ClaimGroupMember& member);
  void claimsWritten();
  void rowSwapped(bool committed);
  /// The answer to the compare-and-set was lost: the row read afterwards tells.
  void onRow(const ClaimGroupRow& row);

private:
  void collectIfEnough();
  /// Puts the collected claims into the install message, as far as one message holds them.
  void fillInstall(bool sealed_majority);
  std::vector<ClaimVote> collect() const;
  /// @return what the next epoch is told of a key, with what the sealed voters know of its token.
  ClaimVote carriedVote(const std::string& key, const std::string& token) const;
  std::vector<std::string> possibleWinners(const std::string& key) const;

  ClaimGroupRow row_;
  ClaimGroupRow new_row_;
  Duration key_lifetime_;
  EpochStep step_ = EpochStep::Seal;
  std::map<std::string, ClaimSealed> sealed_;  ///< By address.
  std::map<std::string, ClaimGroupMember> gone_;
  std::vector<ClaimVote> collected_;
  ClaimInstall install_;
};

}  // namespace crankspur
