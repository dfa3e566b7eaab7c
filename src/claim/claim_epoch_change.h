#pragma once
/// @file Change of a claim group's membership. A majority of the old epoch's members is sealed, the claims
/// that may have been granted are collected and written to the table, then a compare-and-set of the group's
/// row begins the new epoch, which is installed at its members. Decision logic only, without I/O; the driver
/// executes one step at a time.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "internal_protocol/claim_messages.h"

namespace crankspur {

/// Next step for the driver.
enum class EpochStep {
  Seal,         ///< Send seal() to the members of row(); report responses and stopped members.
  WriteClaims,  ///< Insert a claim row for each of carried() not known to have one; then claimsWritten().
  SwapRow,      ///< Compare-and-set newRow() against row().row_version; then rowSwapped() or onRow().
  Install,      ///< Send install() to the members of newRow(); idempotent.
  Lost,         ///< Another epoch change committed first; start again from the new row if needed.
};

/// One attempt to begin a new epoch.
class ClaimEpochChange {
public:
  /// @param row the group's row as read from the table.
  /// @param installer unique to this object across all processes and their restarts.
  /// @param key_lifetime how long callers may use a key after its first use.
  ClaimEpochChange(ClaimGroupRow row, std::vector<ClaimGroupMember> members, std::string installer,
                   Duration key_lifetime);

  EpochStep step() const { return step_; }
  const ClaimGroupRow& row() const { return row_; }
  const ClaimGroupRow& newRow() const { return new_row_; }
  /// @return all claims that may have been granted; the table must hold a row for each.
  const std::vector<ClaimVote>& carried() const { return collected_; }
  ClaimSeal seal() const { return ClaimSeal{row_.epoch}; }
  const ClaimInstall& install() const { return install_; }

  void onSealed(const ClaimSealed& sealed);
  /// The member's process has ended, as its address runs another incarnation. A mere suspicion does not
  /// suffice: the member might continue to vote on the other side of a network partition.
  void onMemberStopped(const ClaimGroupMember& member);
  void claimsWritten();
  void rowSwapped(bool committed);
  /// The response to the compare-and-set was lost; the row read afterwards shows whether it committed.
  void onRow(const ClaimGroupRow& row);

private:
  void collectIfReady();
  /// Adds the collected claims to the install message up to the size limits of one message.
  void fillInstall(bool sealed_majority);
  std::vector<ClaimVote> collect() const;
  /// @return the vote that the next epoch inherits for the key: all that the sealed voters know of the token.
  ClaimVote carriedVote(const std::string& key, const std::string& token) const;
  std::vector<std::string> possibleWinners(const std::string& key) const;

  ClaimGroupRow row_;
  ClaimGroupRow new_row_;
  Duration key_lifetime_;
  EpochStep step_ = EpochStep::Seal;
  std::map<std::string, ClaimSealed> sealed_;  ///< By address.
  std::map<std::string, ClaimGroupMember> stopped_;
  std::vector<ClaimVote> collected_;
  ClaimInstall install_;
};

}  // namespace crankspur
