#pragma once
/// @file One router's whole part in a claim group: it votes, claims for the router's requests, learns of new
/// epochs and takes its share in keeping the group. Pure decision code; router processes and the simulation
/// drive the same object. Not thread-safe.

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/random.h"
#include "claim/claim_group_keeper.h"
#include "claim/claim_voter.h"
#include "claim/group_claim.h"

namespace crankspur {

/// Key of the table row that begins the group's epochs. While it is absent claims are made in the table
/// alone, under the condition that it is absent.
inline constexpr const char* kClaimGroupRowKey = "crankspur/claim_group";

/// One claim wanted of the group.
struct GroupClaimRequest {
  std::uint64_t claim = 0;  ///< Chosen by the caller; names the claim in the decision.
  std::string key;          ///< See claimKey().
  std::string token;        ///< Unique to this claim over all routers and all their restarts.
  std::string body_hash;
  TimePoint deadline{};
};

/// What the group decided.
struct GroupClaimDecision {
  enum class Kind {
    Granted,          ///< Dispatch may begin, once.
    GrantedForTable,  ///< The table must agree as well before dispatch.
    AlreadyDone,      ///< The work was done; `result` holds the recorded answer.
    HeldByOther,      ///< Another attempt holds the claim, or its answer is not recorded with the group.
    KeyReused,        ///< The key belongs to a request with other content.
    Unavailable,      ///< No majority decided in time; nothing was dispatched.
  } kind = Kind::Unavailable;
  std::string token;  ///< Under which the claim is held when granted.
  std::string result;
};

/// Action: tell the caller of begin() what the group decided.
struct GroupClaimDecided {
  std::uint64_t claim = 0;
  GroupClaimDecision decision;
};

using ClaimGroupAction =
    std::variant<SendClaimMessage, ReadGroupRow, SwapGroupRow, PutClaimRow, GroupClaimDecided>;

/// What /status shows.
struct ClaimGroupStatus {
  ClaimGroupRow row;  ///< The newest known; epoch 0 when there is no group.
  bool voting = false;
  std::size_t votes = 0;  ///< Claims held here.
  Duration covered{0};    ///< For how long back the group knows of every claim, as far as known here.
  std::uint64_t epochs_begun = 0;  ///< By this process.
};

/// The object of one router process.
class ClaimGroupService {
public:
  /// @param self address and process incarnation of this router.
  ClaimGroupService(ClaimGroupMember self, std::uint64_t random_seed);

  void configure(const ClaimGroupSettings& settings, TimePoint now);
  /// @param routers live routers that are not leaving, this one included.
  /// @param rank see ClaimGroupKeeper::setRouters().
  void setRouters(std::vector<ClaimGroupCandidate> routers, std::optional<std::uint32_t> rank);

  /// Asks the group for a claim; a GroupClaimDecided follows, no later than the deadline.
  void begin(const GroupClaimRequest& request, TimePoint now);
  /// The token's work surely did not and will not run.
  void release(const std::string& key, const std::string& token, TimePoint now);
  /// What became of a granted claim.
  void record(const ClaimRecord& record, TimePoint now);
  /// Somebody found that the group's row exists.
  void onGroupFound();

  /// @param from address at which the sender listens.
  void onMessage(const Message& message, const std::string& from, TimePoint now);
  void onRowRead(const std::optional<ClaimGroupRow>& row, TimePoint now);
  void onRowSwapped(std::optional<bool> committed, TimePoint now);
  void onClaimPut(const std::string& key, const std::optional<ClaimRow>& present, TimePoint now);
  /// To be called every 100 ms or so.
  void tick(TimePoint now);
  std::vector<ClaimGroupAction> takeActions();

  /// @return whether claims are the group's to decide, as far as this router knows. Where a group is wished
  /// for, one is taken to exist until the table says otherwise.
  bool inForce() const { return row_.epoch > 0 || (settings_.size > 0 && !row_absent_); }
  ClaimGroupStatus status(TimePoint now) const;

private:
  struct Claimant {
    GroupClaimRequest request;
    std::uint32_t tries = 0;
    std::optional<GroupClaim> claim;  ///< Empty between two tries.
    std::uint64_t epoch = 0;          ///< That `claim` was made in.
    TimePoint next_send{};
    TimePoint next_try{};
    std::optional<TimePoint> holder_wait_until;
  };
  struct Notice {
    Message message;
    std::uint32_t sendings_left = 0;
    TimePoint next_send{};
  };

  void send(const std::string& address, Message message);
  void sendToMembers(const Message& message);
  void takeKeeperActions();
  void deliverOwn(TimePoint now);
  void handle(const Message& message, const std::string& from, TimePoint now);
  void learn(const ClaimGroupRow& row);
  ClaimGroupInfo info(TimePoint now) const;
  void answerPrepare(const ClaimPrepare& prepare, const std::string& from, TimePoint now);
  void countReply(const ClaimReply& reply, TimePoint now);
  void tryClaim(Claimant& claimant, TimePoint now);
  /// @return true when the claim is decided and the claimant over.
  bool settle(Claimant& claimant, TimePoint now);
  Duration retryPause();
  bool heldByOther(Claimant& claimant, TimePoint now);
  void decide(const Claimant& claimant, GroupClaimDecision::Kind kind, std::string result = {});
  void notice(Message message, TimePoint now);
  void sendNotices(TimePoint now);
  void askForRow(TimePoint now);

  ClaimGroupMember self_;
  RandomSource random_;
  ClaimGroupSettings settings_;
  ClaimVoter voter_;
  ClaimGroupKeeper keeper_;
  ClaimGroupRow row_;  ///< The newest known.
  std::vector<ClaimGroupCandidate> routers_;
  std::map<std::uint64_t, Claimant> claimants_;
  std::deque<Notice> notices_;
  std::deque<Message> own_messages_;  ///< To this router's own voter and claimants.
  bool look_for_row_ = false;
  bool row_absent_ = false;  ///< The table said so.
  TimePoint next_question_{};
  TimePoint next_expiry_{};
  std::vector<ClaimGroupAction> actions_;
};

}  // namespace crankspur
