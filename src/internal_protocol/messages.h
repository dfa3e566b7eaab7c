#pragma once
/// @file Messages between the processes of the system (sidecar to router, router to router, gateway to
/// gateway). Plain data without I/O; codec.h defines the encoding.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "internal_protocol/claim_messages.h"

namespace crankspur {

/// Whether a request was executed, as reported to the caller.
enum class RunState {
  NotRun = 0,   ///< No engine or runner has started it, and none will.
  Unknown = 1,  ///< It may have been executed.
  Ran = 2,      ///< It was executed at least partly.
};

/// Kind of work that a request needs.
enum class RequestKind {
  Completion = 0,   ///< Text generation by a model engine; safe to repeat.
  Application = 1,  ///< An operation of an application runner, such as an order or a booking.
};

/// Role of a process in the fleet.
enum class NodeRole { Router = 0, Sidecar = 1 };

/// First message on each connection, in both directions. Peers use the highest common version.
struct Hello {
  std::uint32_t lowest_version = 1;
  std::uint32_t highest_version = 1;
  std::string node_name;
  std::uint64_t incarnation = 0;  ///< Changes with each start of the process.
  NodeRole role = NodeRole::Router;
  std::string zone;
  std::string region;
  std::uint64_t bundle_version = 0;  ///< Highest bundle version that the node holds; 0: none.
  std::string address;               ///< "IP:port" at which the node accepts peers; empty for sidecars.
};

/// Sidecar to router: executes one attempt of a request.
struct SubmitRequest {
  std::string request_id;     ///< Unique across all callers; assigned by the sidecar.
  std::uint32_t attempt = 1;  ///< Incremented with each resubmission of the request.
  RequestKind kind = RequestKind::Completion;
  std::string tenant;
  std::string model;
  std::string adapter;          ///< Empty for the base model.
  std::string operation;        ///< Application requests: the operation's name.
  std::string idempotency_key;  ///< Empty when the caller sent none.
  bool repeatable = true;       ///< False: at most one execution, guarded by a claim on idempotency_key.
  std::uint32_t priority = 1;   ///< 0 is the most urgent.
  Duration deadline{0};         ///< Remaining time until the caller's deadline.
  /// Version that the sidecar decided with; a router with an older one must update first.
  std::uint64_t bundle_version = 0;
  std::string prompt;  ///< Canonical prompt, or the body of an application request.
  std::uint32_t max_tokens = 0;
  std::uint64_t resume_offset = 0;  ///< Tokens that the caller already received; 0 at first.
  std::string resume_text;          ///< Text of these tokens.
  std::string resume_engine;        ///< Engine that generated them; empty: none.
  std::uint64_t resume_incarnation = 0;
  std::string resume_weights;  ///< Weights version that generated them; a resumed attempt must use the same.
};

/// Router to sidecar: an engine has accepted the attempt.
struct Accepted {
  std::string request_id;
  std::uint32_t attempt = 0;
  std::string engine;
  std::uint64_t engine_incarnation = 0;
  std::string weights_version;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
};

/// Router to sidecar: a chunk of the generated text.
struct StreamPiece {
  std::string request_id;
  std::uint32_t attempt = 0;
  std::uint64_t offset = 0;  ///< Index of the chunk's first token in the complete text.
  std::uint32_t token_count = 0;
  std::string text;
};

/// Router to sidecar: the generated text is complete.
struct StreamEnd {
  std::string request_id;
  std::uint32_t attempt = 0;
  std::uint64_t token_count = 0;  ///< Tokens of the complete text, from offset 0.
  std::uint64_t checksum = 0;     ///< hashBytes() of the complete text, from offset 0.
  std::string finish_reason;      ///< "stop", "length" or, for application requests, "done".
  std::string engine;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
};

/// Router to sidecar: the attempt ended without a complete response.
struct Refusal {
  std::string request_id;
  std::uint32_t attempt = 0;
  ErrorCode code = ErrorCode::Internal;
  RunState run_state = RunState::Unknown;
  Duration retry_after{0};  ///< Delay after which the caller may retry; 0: unspecified.
  std::string message;
};

/// Sidecar to router: the caller disconnected; stop the attempt.
struct Cancel {
  std::string request_id;
  std::uint32_t attempt = 0;
};

/// State of a member in the gossip protocol. At equal incarnation the higher value takes precedence.
enum class MemberState { Alive = 0, Suspect = 1, Leaving = 2, Dead = 3 };

/// One member as known to the sender.
struct MemberRecord {
  std::string name;
  std::string address;  ///< "IP:port" for peers.
  std::string zone;
  std::string region;
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::Alive;
  std::uint64_t bundle_version = 0;
  std::uint32_t capacity = 0;  ///< Requests per second that its machine can serve; 0: unknown.
};

/// An engine's state as known to the sender; disseminates the leaving state and crashes. A record with
/// incarnation kMachineIncarnation holds the state in the machine list, which applies to every process of the
/// machine, including those that start later.
struct EngineRecord {
  std::string name;
  std::uint64_t incarnation = 0;
  bool leaving = false;
  bool dead = false;
  /// For kMachineIncarnation: time stamp of the list; the newest record wins.
  std::uint64_t listed_at_ms = 0;
};

/// Incarnation of a record that describes the machine instead of one of its processes.
inline constexpr std::uint64_t kMachineIncarnation = 0;

/// Probe of a member; piggybacks recent membership changes.
struct Ping {
  std::uint64_t sequence = 0;
  std::string sender;
  std::string target;  ///< Member to probe; differs from the receiver in an indirect probe.
  std::uint64_t bundle_version = 0;
  std::vector<MemberRecord> members;
  std::vector<EngineRecord> engines;
  std::vector<std::uint64_t> fingerprints;  ///< Of the sender's member records, to request those that differ.
};

/// Response to a Ping.
struct PingAck {
  std::uint64_t sequence = 0;
  std::string sender;
  std::uint64_t bundle_version = 0;
  std::vector<MemberRecord> members;
  std::vector<EngineRecord> engines;
};

/// Requests a bundle newer than the one held.
struct BundleRequest {
  std::uint64_t held_version = 0;
};

/// A signed bundle. It is ignored unless both signatures verify over `document`.
struct BundleBody {
  std::uint64_t version = 0;
  std::string document;
  std::string author_signature;    ///< Ed25519, base64.
  std::string approver_signature;  ///< Ed25519, base64.
};

/// A delta between two versions.
struct BundleStep {
  std::uint64_t from_version = 0;
  std::uint64_t to_version = 0;
  std::string delta;  ///< See bundle/bundle_delta.h.
};

/// Response to a BundleRequest of a peer that holds a recent version: a chain of steps to a signed body. Each
/// step starts from the version that the previous step results in.
struct BundleUpdate {
  std::vector<BundleStep> steps;
  std::string author_signature;    ///< Signature of the resulting version.
  std::string approver_signature;  ///< Signature of the resulting version.
};

/// Cache blocks shared by more than one request, sent by the owner of an engine's event stream.
struct CacheSummary {
  std::string engine;
  std::uint64_t engine_incarnation = 0;
  std::uint64_t sequence = 0;  ///< Sequence number of the engine's last event that the summary includes.
  std::vector<std::uint64_t> stored;
  std::vector<std::uint64_t> removed;
};

/// Load of one engine as observed by the sender.
struct EngineLoad {
  std::string engine;
  std::uint64_t engine_incarnation = 0;
  std::uint32_t queued_tokens = 0;
  std::uint32_t running = 0;
  std::uint32_t age_milliseconds = 0;  ///< Age of the observation when sent.
};

/// Use by the sender of a tenant's quota (admission/tenant_quota.h).
struct TenantUse {
  std::uint64_t tenant = 0;               ///< Hash of the tenant's name.
  std::uint64_t admitted = 0;             ///< Units since the sender started.
  std::uint32_t admitted_per_second = 0;  ///< Recent rate.
  std::uint32_t asked_per_second = 0;     ///< Recent rate, rejected requests included.
};

/// The limit that a back end named last in a response to the sender.
struct BackendLimit {
  std::uint64_t backend = 0;           ///< Incarnation.
  std::uint32_t milli_per_second = 0;  ///< Thousandths of a request per second; 0: the limit has ended.
  std::uint32_t age_milliseconds = 0;  ///< Since that response.
};

/// Responses to the sender of a back end that named a limit before, without it.
struct BackendLimitAbsence {
  std::uint64_t backend = 0;                 ///< Incarnation.
  std::uint32_t first_age_milliseconds = 0;  ///< Since the first such response after the limit was named.
  std::uint32_t last_age_milliseconds = 0;   ///< Since the last one.
};

/// Requests permits for requests to a back end with a limit (gateway/permit_issuer.h), and delegates the
/// sender's share of the limit to the issuer.
struct PermitRequest {
  std::uint64_t backend = 0;       ///< Incarnation.
  std::uint64_t issuer = 0;        ///< Hash of the name of the gateway that is to issue them.
  std::uint32_t requested_at = 0;  ///< Milliseconds of the sender's clock, repeated in the grant.
  std::uint32_t wanted = 0;        ///< Number of permits; 0: the delegation is renewed.
  std::uint32_t grant = 0;         ///< The last grant received; 0: none.
  std::uint32_t used = 0;          ///< Permits of that grant that were used.
  std::uint32_t given_back = 0;    ///< Permits of that grant that will not be used.
};

/// Permits for requests to a back end with a limit.
struct PermitGrant {
  std::uint64_t backend = 0;  ///< Incarnation.
  std::uint64_t holder = 0;   ///< Hash of the name of the gateway that gets them.
  std::uint32_t grant = 0;    ///< Increases with each grant of the sender.
  std::uint32_t permits = 0;
  std::uint32_t requested_at = 0;  ///< Of the request that it answers.
};

/// Loads of engines, use of quotas, and limits of back ends and their permits, broadcast to peers.
struct LoadDigest {
  std::string sender;
  std::vector<EngineLoad> loads;
  std::vector<TenantUse> tenants;
  std::vector<BackendLimit> limits;
  std::vector<BackendLimitAbsence> limit_absences;
  std::vector<PermitRequest> permit_requests;
  std::vector<PermitGrant> permit_grants;

  bool isEmpty() const {
    return loads.empty() && tenants.empty() && limits.empty() && limit_absences.empty() &&
           permit_requests.empty() && permit_grants.empty();
  }
};

/// A peer's request could not be served; the connection stays open unless the code is Malformed,
/// TooLarge or VersionMismatch.
struct ProtocolError {
  ErrorCode code = ErrorCode::Internal;
  std::string message;
};

/// One engine or application runner of the machine list, in the state last known to the sender.
struct BackendRecord {
  std::string name;
  std::string address;  ///< "IP:port".
  std::string zone;
  std::string region;
  std::string pool;
  bool runner = false;  ///< False: a model engine.
  bool leaving = false;
};

/// Requests a peer's machine list. A router sends it when it has received no machine list since its start.
struct BackendListRequest {
  std::string requester;
};

/// Response to BackendListRequest.
struct BackendList {
  std::string sender;
  std::vector<BackendRecord> backends;
};

/// Update about a back end, broadcast immediately by the gateway that observed the change: either the gateway
/// that sent the back end an order to load weights, or the gateway that tracks the back end's cache.
struct BackendNote {
  std::string name;  ///< Changes with each start of the back end.
  std::uint32_t loading_milliseconds =
      0;  ///< Accepts no new request for about this long; 0: accepts requests.
  std::string model;
  std::string weights_version;            ///< As reported by the back end; empty: unknown.
  std::uint32_t silent_milliseconds = 0;  ///< Has been unresponsive for this long; 0: not stated.
  bool heard = false;                     ///< Was unresponsive and responds again.
};

/// A batch of back end updates.
struct BackendNotes {
  std::vector<BackendNote> notes;
};

/// Current state of one part of a prompt in a cache.
struct CacheNotePart {
  std::string scope;  ///< Parts are shared only under equal scopes.
  std::string model;
  std::uint64_t part = 0;
  std::uint32_t tokens = 0;  ///< Leading tokens that are cached; 0: no longer cached.
};

/// Update of one back end's cache, sent by the gateway that tracks it.
struct CacheNote {
  std::string backend;         ///< Changes with each start of the back end.
  std::uint64_t sequence = 0;  ///< Incremented with each update of one sender for one back end.
  bool complete = false;       ///< Replaces all previous updates.
  std::vector<CacheNotePart> parts;
};

/// A batch of cache updates.
struct CacheNotes {
  std::vector<CacheNote> notes;
};

/// Requests the complete contents of a back end's cache from the gateway that tracks it.
struct CacheWanted {
  std::string backend;
};

/// Heartbeat and load of a gateway that serves clients, broadcast to the other gateways several times per
/// second.
struct ServingNotice {
  std::uint32_t requests_per_second = 0;  ///< Recent rate of client requests.
  bool pressed = false;                   ///< Its machine is overloaded.
  bool leaving = false;                   ///< Planned shutdown; clients are directed to other gateways.
};

/// One row of a table in the platform's KV store.
struct RelayedRow {
  std::string key;
  std::string value;          ///< The document as stored by the platform.
  std::uint64_t version = 0;  ///< Store version of the last change; 0: the row is absent or was removed.
  bool gone = false;          ///< The row was removed.
};

/// Sent by a gateway that reads a table to a gateway that does not: the complete table or the changed rows.
struct RelayedRows {
  std::uint64_t version = 0;  ///< All rows up to this version have been sent.
  std::vector<RelayedRow> rows;
  std::uint32_t contact_age_milliseconds = 0;  ///< Time since the store confirmed them, when sent.
  std::uint32_t held_milliseconds = 0;         ///< How long the request was held before this response.
  bool in_trouble = false;  ///< The store is unavailable to the sender; the other fields are unset.
};

/// A back end that failed while it processed a request (gateway/crash_suspects.h). Ages are measured when the
/// record is sent.
struct CrashEvidenceRecord {
  std::uint64_t request_high = 0;  ///< Fingerprint of the request or prompt part, upper half.
  std::uint64_t request_low = 0;
  std::uint64_t backend = 0;  ///< Incarnation of the back end.
  std::uint32_t sent_age_milliseconds = 0;
  std::uint32_t ended_age_milliseconds = 0;
  std::uint32_t part_position = 0;  ///< Of the part in the prompt, from 1 on; 0: the whole request.
};

/// A request that received a complete response.
struct ClearedRequestRecord {
  std::uint64_t request_high = 0;
  std::uint64_t request_low = 0;
  std::uint32_t age_milliseconds = 0;
};

/// A back end that responded after it was assumed to have failed.
struct LivingBackendRecord {
  std::uint64_t backend = 0;
  std::uint32_t age_milliseconds = 0;
};

/// A gateway's records of requests that crash back ends: recent changes or the complete set.
struct CrashNotes {
  std::vector<CrashEvidenceRecord> crashes;
  std::vector<ClearedRequestRecord> cleared;
  std::vector<LivingBackendRecord> living;
};

/// Digest of all such records that the sender holds; a receiver with a different digest responds with its
/// complete set.
struct CrashDigest {
  std::uint64_t digest = 0;
};

/// The build of the back end that began a stream.
struct StreamOriginRecord {
  std::uint64_t attempt = 0;  ///< Hash of the id of the client attempt that brought its first event.
  std::uint64_t build =
      0;  ///< Hash of the version of the back end's software; 0: the sender does not know it.
  bool several_builds = false;  ///< The sender has recently seen several builds in the stream's pool.
  /// The only build that the sender has recently seen in the stream's pool; 0: none, or several.
  std::uint64_t sole_build = 0;
};

/// Asks for the build that began a stream.
struct StreamOriginQuery {
  std::uint64_t attempt = 0;  ///< As above.
  std::uint64_t pool = 0;     ///< Hash of the pool's name.
};

/// Builds that began streams, told to the gateways that keep them, and questions to these.
struct StreamOrigins {
  std::vector<StreamOriginRecord> begun;    ///< To be kept.
  std::vector<StreamOriginQuery> queries;   ///< To be answered.
  std::vector<StreamOriginRecord> answers;  ///< To queries of the receiver.
};

/// Every message that a frame can contain. The index of an alternative is part of the wire format.
using Message =
    std::variant<Hello, SubmitRequest, Accepted, StreamPiece, StreamEnd, Refusal, Cancel, Ping, PingAck,
                 BundleRequest, BundleBody, CacheSummary, LoadDigest, ClaimPrepare, ClaimReply, ProtocolError,
                 BundleUpdate, BackendListRequest, BackendList, ClaimRelease, ClaimRecord, ClaimSeal,
                 ClaimSealed, ClaimInstall, ClaimGroupRequest, ClaimGroupInfo, BackendNotes, CacheNotes,
                 CacheWanted, ServingNotice, RelayedRows, CrashNotes, CrashDigest, StreamOrigins>;

}  // namespace crankspur
