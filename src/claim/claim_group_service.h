#pragma once
/// @file One router's complete role in a claim group: it votes, claims keys for the router's requests,
/// follows epoch changes and helps to maintain the group. Decision logic only, without I/O; router processes
/// and the simulation drive the same object. Not thread-safe.

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/random.h"
#include "claim/claim_group_manager.h"
#include "claim/claim_voter.h"
#include "claim/group_claim.h"

namespace crankspur {

/// Key of the table row that defines the group's epoch. While the row is absent, claims are made in the table
/// alone, conditional on its absence.
inline constexpr const char* kClaimGroupRowKey = "crankspur/claim_group";

/// One claim requested from the group.
struct GroupClaimRequest {
  std::uint64_t claim = 0;  ///< Chosen by the caller; identifies the claim in the decision.
  std::string key;          ///< See claimKey().
  std::string token;        ///< Unique to this claim across all routers and their restarts.
  std::string body_hash;
  TimePoint deadline{};
};

/// Decision of the group on one claim.
struct GroupClaimDecision {
  enum class Kind {
    Granted,          ///< Dispatch may begin, once.
    GrantedForTable,  ///< The table must grant the claim as well before dispatch.
    AlreadyDone,      ///< The work is done; `result` holds the recorded response.
    HeldByOther,      ///< Another attempt holds the claim and no response is recorded.
    KeyReused,        ///< The key belongs to a request with different content.
    Unavailable,      ///< No majority responded in time; nothing was dispatched.
  } kind = Kind::Unavailable;
  std::string token;  ///< Token of the granted claim.
  std::string result;
};

/// Action: deliver the group's decision to the caller of begin().
struct GroupClaimDecided {
  std::uint64_t claim = 0;
  GroupClaimDecision decision;
};

using ClaimGroupAction =
    std::variant<SendClaimMessage, ReadGroupRow, SwapGroupRow, PutClaimRow, GroupClaimDecided>;

/// State shown by /status.
struct ClaimGroupStatus {
  ClaimGroupRow row;  ///< The newest known; epoch 0 when there is no group.
  bool voting = false;
  std::size_t votes = 0;           ///< Claims held here.
  Duration covered{0};             ///< How far back the group is known to have all claims.
  std::uint64_t epochs_begun = 0;  ///< By this process.
};

/// Claim group participant of one router process.
class ClaimGroupService {
public:
  /// @param self address and process incarnation of this router.
  ClaimGroupService(ClaimGroupMember self, std::uint64_t random_seed);

  void configure(const ClaimGroupSettings& settings, TimePoint now);
  /// @param routers live routers that are not leaving, this one included.
  /// @param rank see ClaimGroupManager::setRouters().
  void setRouters(std::vector<ClaimGroupCandidate> routers, std::optional<std::uint32_t> rank);

  /// Requests a claim from the group; a GroupClaimDecided follows no later than the deadline.
  void begin(const GroupClaimRequest& request, TimePoint now);
  /// The work under the token did not run and never will.
  void release(const std::string& key, const std::string& token, TimePoint now);
  /// Records the result of a granted claim at the voters.
  void record(const ClaimRecord& record, TimePoint now);
  /// A table call showed that the group's row exists.
  void onGroupFound();

  /// @param from address at which the sender listens.
  void onMessage(const Message& message, const std::string& from, TimePoint now);
  void onRowRead(const std::optional<ClaimGroupRow>& row, TimePoint now);
  void onRowSwapped(std::optional<bool> committed, TimePoint now);
  void onClaimPut(const std::string& key, const std::optional<ClaimRow>& present, TimePoint now);
  /// To be called about every 100 ms.
  void tick(TimePoint now);
  std::vector<ClaimGroupAction> takeActions();

  /// @return whether the group decides claims, as far as known to this router. If a group is configured, it
  /// is assumed to exist until the table shows that it does not.
  bool inForce() const { return row_.epoch > 0 || (settings_.size > 0 && !row_absent_); }
  ClaimGroupStatus status(TimePoint now) const;

private:
  struct Claimant {
    GroupClaimRequest request;
    std::uint32_t attempts = 0;
    std::optional<GroupClaim> claim;  ///< Empty between two attempts.
    std::uint64_t epoch = 0;          ///< In which `claim` was started.
    TimePoint next_send{};
    TimePoint next_attempt{};
    std::optional<TimePoint> holder_wait_until;
  };
  struct Notification {
    Message message;
    std::uint32_t sends_left = 0;
    TimePoint next_send{};
  };

  void send(const std::string& address, Message message);
  void sendToMembers(const Message& message);
  void takeManagerActions();
  void deliverOwnMessages(TimePoint now);
  void handle(const Message& message, const std::string& from, TimePoint now);
  void updateRow(const ClaimGroupRow& row);
  ClaimGroupInfo info(TimePoint now) const;
  void respondToPrepare(const ClaimPrepare& prepare, const std::string& from, TimePoint now);
  void countReply(const ClaimReply& reply, TimePoint now);
  void startAttempt(Claimant& claimant, TimePoint now);
  /// @return whether the claim is decided and the claimant can be removed.
  bool finishIfDecided(Claimant& claimant, TimePoint now);
  Duration retryDelay();
  bool heldByOther(Claimant& claimant, TimePoint now);
  void decide(const Claimant& claimant, GroupClaimDecision::Kind kind, std::string result = {});
  void notify(Message message, TimePoint now);
  void sendNotifications(TimePoint now);
  void requestRow(TimePoint now);

  ClaimGroupMember self_;
  RandomSource random_;
  ClaimGroupSettings settings_;
  ClaimVoter voter_;
  ClaimGroupManager manager_;
  ClaimGroupRow row_;  ///< The newest known.
  std::vector<ClaimGroupCandidate> routers_;
  std::map<std::uint64_t, Claimant> claimants_;
  std::deque<Notification> notifications_;
  std::deque<Message> own_messages_;  ///< To this router's own voter and claimants.
  bool row_needed_ = false;
  bool row_absent_ = false;  ///< As of the last read of the table.
  TimePoint next_row_request_{};
  TimePoint next_expiry_{};
  std::vector<ClaimGroupAction> actions_;
};

}  // namespace crankspur
