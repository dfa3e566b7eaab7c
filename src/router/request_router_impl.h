#pragma once
/// @file Implementation of RequestRouter, split into request_router.cc (submission and end of requests) and
/// one file for each of the flows named below.
///
/// Functions that may end a request are marked; its entry must not be used after them.

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

/// Request handling of one traffic shard. Not thread-safe.
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
  using Serial = std::uint64_t;  ///< Identifies an entry within the shard, in order of arrival.

  /// State of a claim at the claim group.
  enum class GroupClaimState {
    None,        ///< Not requested: only the table decides.
    Pending,     ///< Requested, not yet decided.
    Granted,     ///< Granted; the table need not confirm it.
    NeedsTable,  ///< Granted subject to confirmation by the table.
    Denied,      ///< Not granted, or released.
  };

  struct ClaimWork {
    std::unique_ptr<Claim> claim;  ///< Null until the group has decided.
    Serial entry = 0;              ///< 0 once the request has ended.
    TimePoint timer = TimePoint::max();
    GroupClaimState group = GroupClaimState::None;
    std::string key;
    std::string token;  ///< Token of the claim at the group and in the table.
    std::string body_hash;
    bool in_table = false;  ///< The table has a row for the claim.
    bool recorded = false;  ///< The group was notified of the outcome.

    bool heldByGroup() const {
      return group == GroupClaimState::Granted || group == GroupClaimState::NeedsTable;
    }
  };

  // Submission and end of requests (request_router.cc).
  RequestEntry* findRequest(const std::string& request_id);
  RequestEntry* findEntry(Serial serial);
  RequestEntry* findDispatch(DispatchId dispatch);
  void addRequest(SidecarId sidecar, const SubmitRequest& request, RunState previous_state, TimePoint now);
  void resubmit(RequestEntry& entry, SidecarId sidecar, const SubmitRequest& request, TimePoint now);
  bool adopt(RequestEntry& entry, SidecarId sidecar, const SubmitRequest& request, TimePoint now);
  void startRequest(RequestEntry& entry, TimePoint now);  ///< May end the request.
  bool waitForBundle(RequestEntry& entry, TimePoint now);
  void onDeadline(RequestEntry& entry, TimePoint now);      ///< May end the request.
  void onRequestTimer(RequestEntry& entry, TimePoint now);  ///< May end the request.
  void schedule(RequestEntry& entry);
  TimePoint dueTime(const RequestEntry& entry) const;
  void send(const RequestEntry& entry, Message message);
  void log(EventId event, const RequestEntry& entry, std::vector<LogField> fields = {});
  /// Sends the final refusal with the actual run state and ends the request.
  void refuse(RequestEntry& entry, ErrorCode code, Duration retry_after, const std::string& message,
              TimePoint now);
  /// Sends the final refusal but keeps the entry until the outcome of the operation is recorded.
  void refuseAndKeep(RequestEntry& entry, ErrorCode code, const std::string& message);
  void sendRefusal(RequestEntry& entry, ErrorCode code, Duration retry_after, const std::string& message);
  /// @return whether a claimed operation may have been sent to its runner, so that it must not be cancelled
  /// before its outcome is recorded.
  static bool mustRunToCompletion(const RequestEntry& entry);
  /// Ends the request without sending a message to the sidecar.
  void finish(RequestEntry& entry, const std::string& outcome, TimePoint now);
  RunState runState(const RequestEntry& entry) const;
  static Accepted acceptedMessage(const RequestEntry& entry);
  const Bundle* bundle() const { return snapshot_ ? snapshot_->bundle.get() : nullptr; }
  std::uint32_t maxAttempts() const;

  // Snapshots of the fleet (snapshot_flow.cc).
  void updateIncarnations();
  void startWaitingRequests(TimePoint now);

  // Admission (admission_flow.cc).
  bool admit(RequestEntry& entry, const AdmissionRequest& request, TimePoint now);  ///< May end the request.
  void finishAdmission(RequestEntry& entry, std::uint32_t used_tokens, TimePoint now);
  const ModelCapacity& capacityOf(const ModelPolicy& model);

  // Dispatches common to both kinds (request_router.cc).
  CurrentDispatch& openDispatch(RequestEntry& entry, const std::string& backend, TimePoint now);
  /// Merges the dispatch's run state into the request's and removes the dispatch.
  void closeDispatch(RequestEntry& entry, TimePoint now);
  /// Makes the driver cancel the dispatch, then closes it.
  void cancelDispatch(RequestEntry& entry, TimePoint now);

  // Completions (completion_flow.cc). All may end the request.
  void startCompletion(RequestEntry& entry, TimePoint now);
  /// @return the weights versions that the response may be computed with, the preferred one first.
  std::vector<std::string> usableWeights(const RequestEntry& entry, const ModelPolicy& model);
  PlacementDecision choosePlacement(RequestEntry& entry, const std::string& weights, TimePoint now);
  void placeCompletion(RequestEntry& entry, TimePoint now);
  void dispatchCompletion(RequestEntry& entry, const PlacementDecision& decision, TimePoint now);
  void onCompletionEvent(RequestEntry& entry, const BackendEvent& event, TimePoint now);
  void onCompletionAccepted(RequestEntry& entry, const BackendAccepted& accepted, TimePoint now);
  /// Reports the first token of a dispatch to the outstanding work, the prefix index and the placement
  /// policy.
  void recordPrefillDone(RequestEntry& entry, TimePoint now);
  void onCompletionPiece(RequestEntry& entry, const BackendPiece& piece, TimePoint now);
  void onCompletionEnd(RequestEntry& entry, const BackendEnd& end, TimePoint now);

  // Failure of completions (completion_failure.cc). All may end the request.
  /// Resumes the stream of work that the engine is already running.
  /// @return false if no resume attempt is left or the snapshot has no such engine and incarnation.
  bool resumeAt(RequestEntry& entry, const std::string& engine, std::uint64_t incarnation,
                const std::string& weights, TimePoint now);
  void onCompletionRefused(RequestEntry& entry, const BackendRefused& refused, TimePoint now);
  void onCompletionLost(RequestEntry& entry, TimePoint now);
  /// Cancels the dispatch of an engine that failed, violated the protocol or became unresponsive, without a
  /// resume attempt, and dispatches the request elsewhere.
  void abandonDispatch(RequestEntry& entry, EventId event, const char* reason, TimePoint now);
  void redispatchCompletion(RequestEntry& entry, TimePoint now);
  void failCompletion(RequestEntry& entry, TimePoint now);
  void abandonFailedEngines(TimePoint now);

  // Operations (operation_flow.cc). All may end the request.
  void startOperation(RequestEntry& entry, TimePoint now);
  void dispatchOperation(RequestEntry& entry, TimePoint now);
  const EngineView* chooseRunner(const RequestEntry& entry);
  void onOperationEvent(RequestEntry& entry, const BackendEvent& event, TimePoint now);
  void onOperationEnd(RequestEntry& entry, TimePoint now);
  void onOperationFailed(RequestEntry& entry, TimePoint now);
  void sendOperationResult(RequestEntry& entry, const std::string& result, const std::string& runner,
                           TimePoint now);

  // Claims in the table (claim_flow.cc).
  void startClaim(RequestEntry& entry, TimePoint now);  ///< May end the request.
  /// Adds a claim for the request. @return its id.
  std::uint64_t addClaim(RequestEntry& entry);
  std::string newClaimToken(const RequestEntry& entry);
  void startTableClaim(std::uint64_t id, RequestEntry& entry, TimePoint now);
  void onClaimDecided(RequestEntry& entry, const ClaimOutcome& outcome, TimePoint now);  ///< May end it.
  void onClaimGranted(RequestEntry& entry, TimePoint now);                               ///< May end it.
  /// Issues the claim's table calls that are due and handles its outcome.
  void advanceClaim(std::uint64_t id, TimePoint now);
  void releaseClaim(RequestEntry& entry, TimePoint now);
  void completeClaim(RequestEntry& entry, const std::string& result, TimePoint now);
  /// Detaches the claim from its request. It is removed once its pending writes have completed.
  void detachClaim(RequestEntry& entry, TimePoint now);
  void scheduleClaim(std::uint64_t id, ClaimWork& work);

  // Claims by the group (group_claim_flow.cc).
  void requestGroupClaim(std::uint64_t id, RequestEntry& entry, TimePoint now);
  void onGroupGranted(std::uint64_t id, RequestEntry& entry, TimePoint now);  ///< May end the request.
  void onGroupDenied(std::uint64_t id, RequestEntry& entry, TimePoint now);   ///< May end the request.
  /// The table did not decide on the claim. @return whether the group's grant suffices to proceed.
  bool proceedWithoutTable(RequestEntry& entry, TimePoint now);
  void releaseAtGroup(ClaimWork& work);
  void recordAtGroup(ClaimWork& work, bool done, const std::string& result);
  /// @return whether a claim whose record is its only pending write is deferred because the table is
  /// unavailable; its timer is then set.
  bool deferUntilTableResponds(std::uint64_t id, ClaimWork& work, TimePoint now);

  RequestRouterOptions options_;
  RandomSource random_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  std::vector<std::uint64_t> known_incarnations_;  ///< By slot; 0: none.
  bool draining_ = false;

  Serial next_serial_ = 1;
  std::map<Serial, std::unique_ptr<RequestEntry>> entries_;
  absl::flat_hash_map<std::string, Serial> by_request_;
  std::set<std::pair<TimePoint, Serial>> timers_;

  DispatchId next_dispatch_ = 1;
  absl::flat_hash_map<DispatchId, Serial> by_dispatch_;
  OutstandingLedger outstanding_work_;
  absl::flat_hash_map<std::string, std::uint32_t> runner_load_;  ///< Dispatches in flight by runner.
  absl::flat_hash_map<std::string, ModelCapacity> capacity_;     ///< By model; cleared with each snapshot.

  std::uint64_t next_claim_ = 1;
  std::map<std::uint64_t, ClaimWork> claims_;
  std::set<std::pair<TimePoint, std::uint64_t>> claim_timers_;
  ClaimTableHealth table_health_;

  EndedAttempts ended_attempts_;
  DecisionRecords records_;
  std::vector<RouterAction> actions_;
};

}  // namespace crankspur
