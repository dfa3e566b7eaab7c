#pragma once
/// @file Lifecycle of requests in a router: admission, placement, claim, dispatch, streaming and failure
/// handling. Decision logic only, without I/O: the driver passes events with the current time and executes
/// the returned actions. Router processes and the simulation use the same code.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "admission/admission.h"
#include "base/event_log.h"
#include "claim/claim.h"
#include "claim/claim_group_service.h"
#include "internal_protocol/messages.h"
#include "placement/placement.h"

namespace crankspur {

/// Identifies the sidecar connection of a request; assigned by the driver.
using SidecarId = std::uint64_t;
/// Identifies a dispatch to a back end; assigned by RequestRouter and unique within the instance.
using DispatchId = std::uint64_t;

/// Action: send a message to a sidecar.
struct SendToSidecar {
  SidecarId sidecar = 0;
  Message message;
};

/// Action: send a completion to an engine. An engine with a different incarnation or weights version refuses
/// it as "not run".
struct DispatchCompletion {
  DispatchId dispatch = 0;
  EngineSlot engine = 0;
  std::string engine_name;
  std::string address;
  std::uint64_t expected_incarnation = 0;
  std::string expected_weights;
  SubmitRequest request;  ///< resume_offset and resume_text specify where the response continues.
  std::string import_from;
  std::uint32_t import_blocks = 0;
  /// Reattach to the stream of a request that the engine is already running, from request.resume_offset,
  /// instead of starting it (the engine's resume call). BackendRefused then means only that the stream cannot
  /// be resumed.
  bool resume = false;
};

/// Action: send an operation to an application runner.
struct DispatchOperation {
  DispatchId dispatch = 0;
  std::string runner_name;
  std::string address;
  SubmitRequest request;
};

/// Action: cancel a dispatch at its back end and discard its state.
struct CancelDispatch {
  DispatchId dispatch = 0;
};

/// Action: read or write a claim row. `claim` identifies the claim when the result is reported.
struct ClaimTableCall {
  std::uint64_t claim = 0;
  ClaimAction action;
  /// The write must fail if the claim group's row exists; the driver then calls onClaimFenced().
  bool only_without_group = false;
};

/// Action: request a claim from the claim group. Its decision is passed to onGroupClaim().
struct GroupClaimCall {
  GroupClaimRequest request;
};

/// Action: notify the claim group of the release or the outcome of a claim.
struct GroupClaimNotice {
  std::variant<ClaimRelease, ClaimRecord> notice;
};

/// Action: write a log event.
struct LogEvent {
  EventId event;
  std::vector<LogField> fields;
};

using RouterAction = std::variant<SendToSidecar, DispatchCompletion, DispatchOperation, CancelDispatch,
                                  ClaimTableCall, GroupClaimCall, GroupClaimNotice, LogEvent>;

/// The back end accepted the request.
struct BackendAccepted {
  std::uint64_t incarnation = 0;
  std::string weights_version;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
};
/// Part of the generated text. For an operation, it contains the complete result.
struct BackendPiece {
  std::uint64_t offset = 0;
  std::uint32_t token_count = 0;
  std::string text;
};
/// The response is complete. For an operation, the fields may be empty.
struct BackendEnd {
  std::uint64_t token_count = 0;
  std::uint64_t checksum = 0;  ///< Of the complete response text.
  std::string finish_reason;
};
/// The back end refused the request without running it.
struct BackendRefused {
  ErrorCode code = ErrorCode::Internal;
  Duration retry_after{0};
};
/// The exchange failed.
struct BackendLost {
  bool bytes_sent = true;  ///< False: no connection was established, so nothing ran.
};
/// Event of a dispatch.
using BackendEvent = std::variant<BackendAccepted, BackendPiece, BackendEnd, BackendRefused, BackendLost>;

/// Record of the decisions on one request, for `crankspurctl explain`.
struct DecisionRecord {
  std::string request_id;
  std::uint32_t attempt = 0;
  std::string tenant;
  std::string model;
  std::uint64_t bundle_version = 0;
  PlacementDecision decision;
  std::string engine_name;
  std::string outcome;  ///< "running", "done", or an error name.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
  Duration time_to_first_token{0};
};

/// Request handling of one traffic shard. Not thread-safe.
class RequestRouter {
public:
  virtual ~RequestRouter() = default;
  /// Applies a newer snapshot of the fleet. The index entries of engines whose incarnation changed are
  /// removed.
  virtual void onSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot, TimePoint now) = 0;
  virtual void onSubmit(SidecarId sidecar, const SubmitRequest& request, TimePoint now) = 0;
  virtual void onCancel(SidecarId sidecar, const Cancel& cancel, TimePoint now) = 0;
  /// The sidecar's connection closed. Repeatable work is cancelled; claimed work continues until its outcome
  /// is recorded.
  virtual void onSidecarLost(SidecarId sidecar, TimePoint now) = 0;
  /// The first bytes of the dispatch were, or may have been, sent. Must be called before any call that may
  /// end the dispatch or its request (onTimer, onSubmit, onCancel, onSidecarLost). The exceptions are
  /// onSnapshot, which treats the open dispatches that it abandons as sent, and onBackend.
  virtual void onDispatchSent(DispatchId dispatch, TimePoint now) = 0;
  virtual void onBackend(DispatchId dispatch, const BackendEvent& event, TimePoint now) = 0;
  virtual void onClaimRead(std::uint64_t claim, const ClaimRow& row, TimePoint now) = 0;
  /// @param row_version version of the row after a committed write; 0 if unknown, in which case the row is
  /// read.
  virtual void onClaimWritten(std::uint64_t claim, bool committed, TimePoint now,
                              std::uint64_t row_version = 0) = 0;
  virtual void onClaimFailed(std::uint64_t claim, TimePoint now) = 0;
  /// The write was not committed because the claim group's row exists.
  virtual void onClaimFenced(std::uint64_t claim, TimePoint now) = 0;
  virtual void onGroupClaim(std::uint64_t claim, const GroupClaimDecision& decision, TimePoint now) = 0;
  /// Applies a cache event of an engine. @return false if events before it are missing.
  virtual bool onCacheEvent(EngineSlot engine, std::uint64_t incarnation, const CacheEvent& event,
                            TimePoint now) = 0;
  virtual void onCacheDigest(EngineSlot engine, std::uint64_t incarnation, std::uint64_t sequence,
                             const std::vector<BlockHash>& blocks, TimePoint now) = 0;
  /// Refuses new requests from now on; requests in flight continue.
  virtual void drain(TimePoint now) = 0;
  virtual void onTimer(TimePoint now) = 0;
  virtual std::optional<TimePoint> nextTimer() const = 0;
  /// @return the actions since the last call, to be executed in order.
  virtual std::vector<RouterAction> takeActions() = 0;
  /// @return the number of requests in progress and of claims whose record or release is not yet written.
  virtual std::size_t inFlight() const = 0;
  /// @return the latest record of the request, if it is still stored.
  virtual std::optional<DecisionRecord> explain(const std::string& request_id) const = 0;
};

/// Configuration and components of a RequestRouter. makeRequestRouter() replaces null components by the
/// production ones.
struct RequestRouterOptions {
  std::string router_name;
  std::uint64_t random_seed = 1;
  std::size_t index_entries = 1'000'000;
  std::size_t explain_records = 4096;
  std::unique_ptr<PlacementPolicy> placement;
  std::unique_ptr<Admission> admission;
  std::unique_ptr<PrefixIndex> index;
};

std::unique_ptr<RequestRouter> makeRequestRouter(RequestRouterOptions options);

/// Requires all components to be set; for tests with their own components.
std::unique_ptr<RequestRouter> makeRequestRouterFromParts(RequestRouterOptions options);

}  // namespace crankspur
