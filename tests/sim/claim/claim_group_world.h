#pragma once
/// @file State of the exhaustive check of claim groups: a group of three, its row and the claim row in the
/// table, claimants and epoch changes, and the letters on their way. The objects are the product's own.

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "claim/claim_epoch_change.h"
#include "claim/claim_voter.h"
#include "claim/group_claim.h"

namespace crankspur::claim_model {

inline constexpr int kMembers = 3;

/// A safeguard that is taken out, to show that the check can fail.
enum class Without { Nothing, Sealing, Carrying, Incarnations, Quarantine, Table };

/// What may happen in a run.
struct Scenario {
  int claimants = 2;
  int changes = 1;
  int restarts = 1;
  bool releases = true;         ///< Claimants that give up release their votes.
  bool later_claimant = false;  ///< The last claimant starts only after the first epoch.
  bool young = false;           ///< The group knows less than the keys' lifetime, so the table must agree.
  bool claim_before = false;    ///< A claim was made and run before the group began; the table has its row.
  Without without = Without::Nothing;
};

using Letter = std::variant<ClaimPrepare, ClaimRelease, ClaimSeal, ClaimInstall>;

/// A letter on its way to a member; it may arrive at any later time or never. Answers are counted at once.
/// That loses no way to run twice: what follows a decision may still come at any later time, a claimant that
/// did not hear a vote acts like one that gives up after its grant, and a seal whose answer is lost only
/// silences a voter.
struct Envelope {
  int from = 0;  ///< Number of the claimant or of the epoch change, by the kind of letter.
  int to = 0;
  Letter letter;
};

struct MemberState {
  ClaimVoter voter;
  std::uint64_t incarnation = 1;
  std::uint64_t installed = 0;
  std::uint64_t sealed = 0;
};

struct ClaimantState {
  std::optional<GroupClaim> claim;
  std::set<std::string> ballots;  ///< Those that counted, in digest form.
  bool ran = false;
  bool gave_up = false;
};

struct ChangeState {
  std::optional<ClaimEpochChange> change;
  std::set<std::string> heard;  ///< What was heard while sealing, in digest form.
  bool row_asked = false;       ///< The answer to the compare-and-set was lost.
  bool installed = false;
};

/// Everything there is.
struct World {
  std::vector<MemberState> members;
  ClaimGroupRow row;
  std::optional<std::string> claim_row;  ///< Token of the claim row of the key.
  std::vector<ClaimantState> claimants;
  std::vector<ChangeState> changes;
  std::vector<Envelope> mail;
  int restarts = 0;
  int runs = 0;  ///< Executions of the key's work, the one before the group began included.
};

/// @return the first state of a scenario: an epoch is installed at every member.
World firstWorld(const Scenario& scenario);
/// @return every state that one step leads to.
std::vector<World> successors(const World& world, const Scenario& scenario);
/// @return text that is equal for equal states; the order of letters does not matter.
std::string digest(const World& world);

}  // namespace crankspur::claim_model
