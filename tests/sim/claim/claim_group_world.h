#pragma once
/// @file State of the exhaustive check of claim groups: a group of three, its row and the claim row in the
/// table, claimants and epoch changes, and the messages in transit. The objects are those of production.

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

/// A safeguard that is removed, to show that the check can fail.
enum class RemovedSafeguard { Nothing, Sealing, Carrying, Incarnations, Quarantine, Table };

/// What may happen in a run.
struct Scenario {
  int claimants = 2;
  int changes = 1;
  int restarts = 1;
  bool releases = true;         ///< Claimants that abandon their claim release their votes.
  bool later_claimant = false;  ///< The last claimant starts only after the first epoch.
  bool recent_group = false;    ///< The group covers less than the keys' lifetime, so the table must agree.
  bool earlier_claim = false;  ///< A claim was granted and run before the group began; the table has its row.
  RemovedSafeguard removed = RemovedSafeguard::Nothing;
};

using ClaimMessage = std::variant<ClaimPrepare, ClaimRelease, ClaimSeal, ClaimInstall>;

/// A message in transit to a member; it may arrive at any later time or never. Responses are counted at once.
/// That excludes no way to run twice: what follows a decision may still happen at any later time, a claimant
/// that did not receive a vote acts like one that abandons its claim after the grant, and a seal whose
/// response is lost only keeps a voter from voting.
struct Envelope {
  int from = 0;  ///< Number of the claimant or of the epoch change, depending on the message.
  int to = 0;
  ClaimMessage message;
};

struct MemberState {
  ClaimVoter voter;
  std::uint64_t incarnation = 1;
  std::uint64_t installed = 0;
  std::uint64_t sealed = 0;
};

struct ClaimantState {
  std::optional<GroupClaim> claim;
  std::set<std::string> ballots;  ///< Digests of the ballots that were counted.
  bool ran = false;
  bool abandoned = false;
};

struct ChangeState {
  std::optional<ClaimEpochChange> change;
  std::set<std::string> sealing_responses;  ///< Digests of the responses received while sealing.
  bool row_requested = false;               ///< The response to the compare-and-set was lost.
  bool installed = false;
};

/// State of the model.
struct World {
  std::vector<MemberState> members;
  ClaimGroupRow row;
  std::optional<std::string> claim_row;  ///< Token of the claim row of the key.
  std::vector<ClaimantState> claimants;
  std::vector<ChangeState> changes;
  std::vector<Envelope> in_transit;
  int restarts = 0;
  int runs = 0;  ///< Executions of the key's work, including the one before the group began.
};

/// @return the initial state of a scenario: an epoch is installed at every member.
World initialWorld(const Scenario& scenario);
/// @return all states reachable in one step.
std::vector<World> successors(const World& world, const Scenario& scenario);
/// @return a text that is equal for equal states, independent of the order of messages.
std::string digest(const World& world);

}  // namespace crankspur::claim_model
