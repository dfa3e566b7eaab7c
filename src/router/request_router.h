#pragma once
/// @file The router's decisions over the life of requests: admission, placement, claim, dispatch, streaming,
/// failure. Pure decision code: it takes (event, now) and returns actions; router processes and the
/// simulation drive the same object. One instance per traffic shard; not thread-safe.

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

/// Names the sidecar connection that a request came over; chosen by the driver.
using SidecarId = std::uint64_t;
/// Names one dispatch to a back end; chosen by RequestRouter, unique within the instance.
using DispatchId = std::uint64_t;

/// Action: send a message to a sidecar.
struct SendToSidecar {
  SidecarId sidecar = 0;
  Message message;
};

/// Action: send a completion to an engine. The engine refuses with "not run" when its incarnation or weights
/// differ.
struct DispatchCompletion {
  DispatchId dispatch = 0;
  EngineSlot engine = 0;
  std::string engine_name;
  std::string address;
  std::uint64_t expected_incarnation = 0;
  std::string expected_weights;
  SubmitRequest request;  ///< resume_offset and resume_text say where the answer goes on.
  std::string import_from;
  std::uint32_t import_blocks = 0;
  /// True: do not start the work; take up the stream of a request that this engine already runs, from
  /// request.resume_offset (the engine's resume call). BackendRefused then says only that it cannot.
  bool resume = false;
};

/// Action: run an operation at an application runner.
struct DispatchOperation {
  DispatchId dispatch = 0;
  std::string runner_name;
  std::string address;
  SubmitRequest request;
};

/// Action: stop the work of a dispatch at its back end and forget it.
struct CancelDispatch {
  DispatchId dispatch = 0;
};

/// Action: read or write a claim row. `claim` names the claim in the answer.
struct ClaimTableCall {
  std::uint64_t claim = 0;
  ClaimAction action;
  /// The write must fail if the claim group's row is there; that is then told by onClaimFenced().
  bool only_without_group = false;
};

/// Action: ask the claim group; onGroupClaim() gives its decision.
struct GroupClaimCall {
  GroupClaimRequest request;
};

/// Action: tell the claim group that a claim is given back, or what became of it.
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

/// What a back end said about a dispatch.
struct BackendAccepted {
  std::uint64_t incarnation = 0;
  std::string weights_version;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
};
struct BackendPiece {
  std::uint64_t offset = 0;
  std::uint32_t token_count = 0;
  std::string text;
};
struct BackendEnd {
  std::uint64_t token_count = 0;
  std::uint64_t checksum = 0;  ///< Over the whole answer's text.
  std::string finish_reason;
};
/// The back end answered that it ran nothing.
struct BackendRefused {
  ErrorCode code = ErrorCode::Internal;
  Duration retry_after{0};
};
/// The exchange failed. `bytes_sent` false: the connect failed and nothing ran.
/// For an operation, BackendPiece carries the whole result and BackendEnd follows; its fields may stay empty.
struct BackendLost {
  bool bytes_sent = true;
};
using BackendEvent = std::variant<BackendAccepted, BackendPiece, BackendEnd, BackendRefused, BackendLost>;

/// Record of one decision for `crankspurctl explain`.
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

/// The decision object of one traffic shard.
class RequestRouter {
public:
  virtual ~RequestRouter() = default;
  /// Takes a newer view of the fleet. Engines whose incarnation changed lose their index entries at once.
  virtual void onSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot, TimePoint now) = 0;
  virtual void onSubmit(SidecarId sidecar, const SubmitRequest& request, TimePoint now) = 0;
  virtual void onCancel(SidecarId sidecar, const Cancel& cancel, TimePoint now) = 0;
  /// The sidecar's connection ended: repeatable work is cancelled; claimed work goes on to its record.
  virtual void onSidecarLost(SidecarId sidecar, TimePoint now) = 0;
  /// The first bytes of the dispatch have left, or may have. To be called no later than any other call that
  /// may end the dispatch or its request (onTimer, onSubmit, onCancel, onSidecarLost), except onSnapshot,
  /// which takes every open dispatch as sent, and onBackend.
  virtual void onDispatchSent(DispatchId dispatch, TimePoint now) = 0;
  virtual void onBackend(DispatchId dispatch, const BackendEvent& event, TimePoint now) = 0;
  virtual void onClaimRead(std::uint64_t claim, const ClaimRow& row, TimePoint now) = 0;
  /// @param row_version the row's version after a committed write; 0 when unknown (it is then read).
  virtual void onClaimWritten(std::uint64_t claim, bool committed, TimePoint now,
                              std::uint64_t row_version = 0) = 0;
  virtual void onClaimFailed(std::uint64_t claim, TimePoint now) = 0;
  /// The write was not made, as the claim group's row is there.
  virtual void onClaimFenced(std::uint64_t claim, TimePoint now) = 0;
  virtual void onGroupClaim(std::uint64_t claim, const GroupClaimDecision& decision, TimePoint now) = 0;
  /// Applies an engine's cache event. @return false when a gap was found.
  virtual bool onCacheEvent(EngineSlot engine, std::uint64_t incarnation, const CacheEvent& event,
                            TimePoint now) = 0;
  virtual void onCacheDigest(EngineSlot engine, std::uint64_t incarnation, std::uint64_t sequence,
                             const std::vector<BlockHash>& blocks, TimePoint now) = 0;
  /// Takes no new work from now on; requests in flight go on.
  virtual void drain(TimePoint now) = 0;
  virtual void onTimer(TimePoint now) = 0;
  virtual std::optional<TimePoint> nextTimer() const = 0;
  /// @return actions to carry out, in order, taken once.
  virtual std::vector<RouterAction> takeActions() = 0;
  /// @return requests not yet ended, and claims whose record or release is not yet written.
  virtual std::size_t inFlight() const = 0;
  /// @return the newest record of the request, if still kept.
  virtual std::optional<DecisionRecord> explain(const std::string& request_id) const = 0;
};

/// Parts a RequestRouter is built from; empty members take the product's own.
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

/// The same with every part given; for tests that bring parts of their own.
std::unique_ptr<RequestRouter> makeRequestRouterFromParts(RequestRouterOptions options);

}  // namespace crankspur
