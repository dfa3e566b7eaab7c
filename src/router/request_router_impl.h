#pragma once
/// @file The parts of RequestRouter behind its interface. The flows are spread over the files
/// request_router.cc (submission and end), completion_flow.cc, completion_failure.cc, operation_flow.cc and
/// claim_flow.cc.
///
/// A function that may end a request says so; its entry must not be used afterwards.

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "placement/outstanding_ledger.h"
#include "router/claim_table_health.h"
#include "router/decision_records.h"
#include "router/ended_attempts.h"
#include "router/model_capacity.h"
#include "router/request_entry.h"
#include "router/request_router.h"

namespace crankspur {

/// Decision object of one shard.
class RequestRouterImpl final : public RequestRouter {
public:
  explicit RequestRouterImpl(RequestRouterOptions options);

  void onSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot, TimePoint now) override;
  void onSubmit(SidecarId sidecar, const SubmitRequest& request, TimePoint now) override;
  void onCancel(SidecarId sidecar, const Cancel& cancel, TimePoint now) override;
  void onSidecarLost(SidecarId sidecar, TimePoint now) override;
  void onDispatchSent(DispatchId dispatch, TimePoint now) override;
  void onBackend(DispatchId dispatch, const BackendEvent& event, TimePoint now) override;
  void onClaimRead(std::uint64_t claim, const ClaimRow& row, TimePoint now) override;
  void onClaimWritten(std::uint64_t claim, bool committed, TimePoint now, std::uint64_t row_version) override;
  void onClaimFailed(std::uint64_t claim, TimePoint now) override;
  void onClaimFenced(std::uint64_t claim, TimePoint now) override;
  void onGroupClaim(std::uint64_t claim, const GroupClaimDecision& decision, TimePoint now) override;
  bool onCacheEvent(EngineSlot engine, std::uint64_t incarnation, const CacheEvent& event,
                    TimePoint now) override;
  void onCacheDigest(EngineSlot engine, std::uint64_t incarnation, std::uint64_t sequence,
                     const std::vector<BlockHash>& blocks, TimePoint now) override;
  void drain(TimePoint now) override;
  void onTimer(TimePoint now) override;
  std::optional<TimePoint> nextTimer() const override;
  std::vector<RouterAction> takeActions() override;
  std::size_t inFlight() const override;
  std::optional<DecisionRecord> explain(const std::string& request_id) const override;

private:
  using Serial = std::uint64_t;  ///< Names an entry within the shard, in order of arrival.

  /// What the claim group said to a claim.
  enum class GroupWord {
    None,        ///< Not asked: the claim is the table's alone.
    Asked,       ///< No decision yet.
    Grants,      ///< Granted, with or without the table.
    NeedsTable,  ///< Granted if the table agrees.
    Denies,      ///< Not granted, or given back.
  };

  struct ClaimWork {
    std::unique_ptr<Claim> claim;  ///< Empty until the group has decided.
    Serial entry = 0;              ///< 0 once the request has ended.
    TimePoint timer = TimePoint::max();
    GroupWord group = GroupWord::None;
    std::string key;
    std::string token;  ///< Under which the group holds the claim.
    std::string body_hash;
    bool in_table = false;  ///< The table holds a row under the token.
    bool recorded = false;  ///< The group was told of the claim's end.

    bool heldByGroup() const { return group == GroupWord::Grants || group == GroupWord::NeedsTable; }
  };

  // Submission and end of requests (request_router.cc).
  RequestEntry* findRequest(const std::string& request_id);
  RequestEntry* findEntry(Serial serial);
  RequestEntry* findDispatch(DispatchId dispatch);
  void takeIn(SidecarId sidecar, const SubmitRequest& request, RunState earlier, TimePoint now);
  void resubmit(RequestEntry& entry, SidecarId sidecar, const SubmitRequest& request, TimePoint now);
  bool adopt(RequestEntry& entry, SidecarId sidecar, const SubmitRequest& request, TimePoint now);
  void begin(RequestEntry& entry, TimePoint now);  ///< May end the request.
  bool holdForBundle(RequestEntry& entry, TimePoint now);
  void deadlinePassed(RequestEntry& entry, TimePoint now);  ///< May end the request.
  void requestTimer(RequestEntry& entry, TimePoint now);    ///< May end the request.
  void schedule(RequestEntry& entry);
  TimePoint dueTime(const RequestEntry& entry) const;
  void send(const RequestEntry& entry, Message message);
  void log(EventId event, const RequestEntry& entry, std::vector<LogField> fields = {});
  /// Sends the final refusal with the truthful run state and ends the request.
  void refuse(RequestEntry& entry, ErrorCode code, Duration retry_after, const std::string& message,
              TimePoint now);
  /// Sends the final refusal but keeps the request, whose operation goes on to its record.
  void refuseButKeep(RequestEntry& entry, ErrorCode code, const std::string& message);
  void sendRefusal(RequestEntry& entry, ErrorCode code, Duration retry_after, const std::string& message);
  /// @return whether a claimed operation may have left for its runner, so that it must go on to its record.
  static bool mustGoOn(const RequestEntry& entry);
  /// Ends the request without a word to the sidecar.
  void finish(RequestEntry& entry, const std::string& outcome, TimePoint now);
  RunState runState(const RequestEntry& entry) const;
  static Accepted acceptedMessage(const RequestEntry& entry);
  const Bundle* bundle() const { return snapshot_ ? snapshot_->bundle.get() : nullptr; }
  std::uint32_t maxAttempts() const;

  // Views of the fleet (snapshot_flow.cc).
  void takeIncarnations();
  void takeHeldRequests(TimePoint now);

  // Admission (admission_flow.cc).
  bool admit(RequestEntry& entry, const AdmissionRequest& request, TimePoint now);  ///< May end the request.
  void settleAdmission(RequestEntry& entry, std::uint32_t used_tokens, TimePoint now);
  const ModelCapacity& capacityOf(const ModelPolicy& model);

  // Dispatches common to both kinds (request_router.cc).
  CurrentDispatch& openDispatch(RequestEntry& entry, const std::string& backend, TimePoint now);
  /// Folds the dispatch's run state into the request's and forgets the dispatch.
  void closeDispatch(RequestEntry& entry, TimePoint now);
  /// Tells the driver to stop the dispatch, then closes it.
  void cancelDispatch(RequestEntry& entry, TimePoint now);

  // Completions (completion_flow.cc). All may end the request.
  void startCompletion(RequestEntry& entry, TimePoint now);
  /// @return weights versions the answer may be computed with, the preferred one first.
  std::vector<std::string> usableWeights(const RequestEntry& entry, const ModelPolicy& model);
  PlacementDecision choosePlacement(RequestEntry& entry, const std::string& weights, TimePoint now);
  void placeCompletion(RequestEntry& entry, TimePoint now);
  void dispatchCompletion(RequestEntry& entry, const PlacementDecision& decision, TimePoint now);
  void completionEvent(RequestEntry& entry, const BackendEvent& event, TimePoint now);
  void completionAccepted(RequestEntry& entry, const BackendAccepted& accepted, TimePoint now);
  /// Tells the ledger and the policy that the first token of a dispatch came.
  void notePrefillDone(RequestEntry& entry, TimePoint now);
  void completionPiece(RequestEntry& entry, const BackendPiece& piece, TimePoint now);
  void completionEnd(RequestEntry& entry, const BackendEnd& end, TimePoint now);

  // Failure of completions (completion_failure.cc). All may end the request.
  /// Asks the engine for the stream of work it already runs; false when the fleet has no such incarnation.
  bool resumeAt(RequestEntry& entry, const std::string& engine, std::uint64_t incarnation,
                const std::string& weights, TimePoint now);
  void completionRefused(RequestEntry& entry, const BackendRefused& refused, TimePoint now);
  void completionLost(RequestEntry& entry, TimePoint now);
  /// The engine broke its protocol or fell silent: its dispatch is stopped and never resumed.
  void abandonDispatch(RequestEntry& entry, EventId event, const char* reason, TimePoint now);
  void moveCompletion(RequestEntry& entry, TimePoint now);
  void giveUpCompletion(RequestEntry& entry, TimePoint now);
  void dropGoneEngines(TimePoint now);

  // Operations (operation_flow.cc). All may end the request.
  void startOperation(RequestEntry& entry, TimePoint now);
  void dispatchOperation(RequestEntry& entry, TimePoint now);
  const EngineView* chooseRunner(const RequestEntry& entry);
  void operationEvent(RequestEntry& entry, const BackendEvent& event, TimePoint now);
  void operationEnd(RequestEntry& entry, TimePoint now);
  void operationFailed(RequestEntry& entry, TimePoint now);
  void answerOperation(RequestEntry& entry, const std::string& result, const std::string& runner,
                       TimePoint now);

  // Claims in the table (claim_flow.cc).
  void startClaim(RequestEntry& entry, TimePoint now);  ///< May end the request.
  /// Names a new claim of the request.
  std::uint64_t addClaim(RequestEntry& entry);
  std::string newClaimToken(const RequestEntry& entry);
  void startTableClaim(std::uint64_t id, RequestEntry& entry, TimePoint now);
  void claimDecided(RequestEntry& entry, const ClaimOutcome& outcome, TimePoint now);  ///< May end it.
  void claimGranted(RequestEntry& entry, TimePoint now);                               ///< May end it.
  void pumpClaim(std::uint64_t id, TimePoint now);
  void releaseClaim(RequestEntry& entry, TimePoint now);
  void completeClaim(RequestEntry& entry, const std::string& result, TimePoint now);
  /// Leaves the claim to its pending write, if any.
  void detachClaim(RequestEntry& entry, TimePoint now);
  void scheduleClaim(std::uint64_t id, ClaimWork& work);

  // Claims by the group (group_claim_flow.cc).
  void askGroup(std::uint64_t id, RequestEntry& entry, TimePoint now);
  void groupGranted(std::uint64_t id, RequestEntry& entry, TimePoint now);  ///< May end the request.
  void groupDenied(std::uint64_t id, RequestEntry& entry, TimePoint now);   ///< May end the request.
  /// The table gave no decision on a claim. @return true when the group's word is enough to go on.
  bool goOnWithoutTable(RequestEntry& entry, TimePoint now);
  void releaseAtGroup(ClaimWork& work);
  void recordAtGroup(ClaimWork& work, bool done, const std::string& result);
  /// @return whether a claim that only waits to be recorded should wait for the table to answer again.
  bool waitsForTable(std::uint64_t id, ClaimWork& work, TimePoint now);

  RequestRouterOptions options_;
  RandomSource random_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  std::vector<std::uint64_t> known_incarnations_;  ///< By slot; 0 for none.
  bool draining_ = false;

  Serial next_serial_ = 1;
  std::map<Serial, std::unique_ptr<RequestEntry>> entries_;
  absl::flat_hash_map<std::string, Serial> by_request_;
  std::set<std::pair<TimePoint, Serial>> timers_;

  DispatchId next_dispatch_ = 1;
  absl::flat_hash_map<DispatchId, Serial> by_dispatch_;
  OutstandingLedger sent_work_;
  absl::flat_hash_map<std::string, std::uint32_t> runner_load_;  ///< Dispatches in flight by runner.
  absl::flat_hash_map<std::string, ModelCapacity> capacity_;     ///< By model; cleared with each snapshot.

  std::uint64_t next_claim_ = 1;
  std::map<std::uint64_t, ClaimWork> claims_;
  std::set<std::pair<TimePoint, std::uint64_t>> claim_timers_;
  ClaimTableHealth table_health_;

  EndedAttempts ended_;
  DecisionRecords records_;
  std::vector<RouterAction> actions_;
};

}  // namespace crankspur
