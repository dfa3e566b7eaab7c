#pragma once
/// @file Typed messages between the system's own processes (sidecar to router, router to router).
/// Pure data: decision code uses these types; codec.h gives their nanopb wire form.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "internal_protocol/claim_messages.h"

namespace crankspur {

/// Whether the work of a request was done, as told to the caller.
enum class RunState {
  NotRun = 0,   ///< No engine or runner has begun it, and none will.
  Unknown = 1,  ///< It may have run.
  Ran = 2,      ///< It ran at least partly.
};

/// What a request asks for.
enum class RequestKind {
  Completion = 0,   ///< Text from a model engine; may be repeated.
  Application = 1,  ///< An operation of an application runner, such as an order or a booking.
};

/// Role of a process in the fleet.
enum class NodeRole { Router = 0, Sidecar = 1 };

/// First message on each connection, both ways. Peers use the highest version both speak.
struct Hello {
  std::uint32_t lowest_version = 1;
  std::uint32_t highest_version = 1;
  std::string node_name;
  std::uint64_t incarnation = 0;  ///< Differs at each start of the process.
  NodeRole role = NodeRole::Router;
  std::string zone;
  std::string region;
  std::uint64_t bundle_version = 0;  ///< Highest bundle version the node holds; 0 when none.
  std::string address;               ///< "IP:port" where the node listens for peers; empty for sidecars.
};

/// Sidecar to router: run one attempt of a request.
struct SubmitRequest {
  std::string request_id;     ///< Unique over all callers; chosen by the sidecar.
  std::uint32_t attempt = 1;  ///< Grows by one with each resubmission of the same request.
  RequestKind kind = RequestKind::Completion;
  std::string tenant;
  std::string model;
  std::string adapter;          ///< Empty for the base model.
  std::string operation;        ///< Application requests: the operation's name.
  std::string idempotency_key;  ///< Empty when the caller gave none.
  bool repeatable = true;       ///< False: at most one execution, claimed by idempotency_key.
  std::uint32_t priority = 1;   ///< 0 is the most urgent.
  Duration deadline{0};         ///< Time left until the caller gives up.
  std::uint64_t bundle_version =
      0;               ///< The version the sidecar decided under; an older router must catch up.
  std::string prompt;  ///< Canonical prompt text, or the body of an application request.
  std::uint32_t max_tokens = 0;
  std::uint64_t resume_offset = 0;  ///< Tokens the caller already has; 0 at first.
  std::string resume_text;          ///< The text of those tokens.
  std::string resume_engine;        ///< Engine that streamed them; empty when none did.
  std::uint64_t resume_incarnation = 0;
  std::string resume_weights;  ///< Weights version that produced them; a resumption must use the same.
};

/// Router to sidecar: an engine has taken the attempt.
struct Accepted {
  std::string request_id;
  std::uint32_t attempt = 0;
  std::string engine;
  std::uint64_t engine_incarnation = 0;
  std::string weights_version;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
};

/// Router to sidecar: a piece of the answer.
struct StreamPiece {
  std::string request_id;
  std::uint32_t attempt = 0;
  std::uint64_t offset = 0;  ///< Index of the piece's first token in the whole answer.
  std::uint32_t token_count = 0;
  std::string text;
};

/// Router to sidecar: the answer is complete.
struct StreamEnd {
  std::string request_id;
  std::uint32_t attempt = 0;
  std::uint64_t token_count = 0;  ///< Tokens of the whole answer, from offset 0.
  std::uint64_t checksum = 0;     ///< hashBytes over the whole answer's text, from offset 0.
  std::string finish_reason;      ///< "stop", "length" or, for application requests, "done".
  std::string engine;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
};

/// Router to sidecar: the attempt ends without a whole answer.
struct Refusal {
  std::string request_id;
  std::uint32_t attempt = 0;
  ErrorCode code = ErrorCode::Internal;
  RunState run_state = RunState::Unknown;
  Duration retry_after{0};  ///< When the caller may come back; 0 means no advice.
  std::string message;
};

/// Sidecar to router: the caller has gone; stop the attempt.
struct Cancel {
  std::string request_id;
  std::uint32_t attempt = 0;
};

/// State of a member in the gossip protocol, ordered by precedence at equal incarnation.
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
  std::uint32_t capacity = 0;  ///< Requests a second that its machine can carry; 0: not stated.
};

/// An engine's state as known to the sender; spreads leaving marks and crashes. With incarnation
/// kWholeMachine it tells what the machine list shows, which holds for each process of the machine, also for
/// those that start later.
struct EngineRecord {
  std::string name;
  std::uint64_t incarnation = 0;
  bool leaving = false;
  bool dead = false;
  std::uint64_t listed_at_ms = 0;  ///< For kWholeMachine: age mark of the list; the newest record counts.
};

/// Incarnation of a record that speaks of the machine, not of one of its processes.
inline constexpr std::uint64_t kWholeMachine = 0;

/// Probe of a member; also carries recent membership changes.
struct Ping {
  std::uint64_t sequence = 0;
  std::string sender;
  std::string target;  ///< Whom to probe; differs from the receiver in an indirect probe.
  std::uint64_t bundle_version = 0;
  std::vector<MemberRecord> members;
  std::vector<EngineRecord> engines;
  std::vector<std::uint64_t> fingerprints;  ///< Of the sender's members, when it asks for what differs.
};

/// Answer to a Ping.
struct PingAck {
  std::uint64_t sequence = 0;
  std::string sender;
  std::uint64_t bundle_version = 0;
  std::vector<MemberRecord> members;
  std::vector<EngineRecord> engines;
};

/// Asks a peer for a bundle newer than the one held.
struct BundleRequest {
  std::uint64_t held_version = 0;
};

/// A signed bundle. `document` and the two signatures verify together or the bundle is ignored.
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

/// Answer to a BundleRequest of a peer that holds a version from a short while ago: a chain of steps to a
/// signed body; each step begins at the version that the one before ends at.
struct BundleUpdate {
  std::vector<BundleStep> steps;
  std::string author_signature;    ///< Of the last version.
  std::string approver_signature;  ///< Of the last version.
};

/// Blocks that more than one request shares, told by the owner of an engine's event stream.
struct CacheSummary {
  std::string engine;
  std::uint64_t engine_incarnation = 0;
  std::uint64_t sequence = 0;  ///< The engine's own event sequence that the summary reaches up to.
  std::vector<std::uint64_t> stored;
  std::vector<std::uint64_t> removed;
};

/// One engine's load as seen by the sender.
struct EngineLoad {
  std::string engine;
  std::uint64_t engine_incarnation = 0;
  std::uint32_t queued_tokens = 0;
  std::uint32_t running = 0;
  std::uint32_t age_milliseconds = 0;  ///< Age of the report when sent.
};

/// Loads of engines told to peers.
struct LoadDigest {
  std::string sender;
  std::vector<EngineLoad> loads;
};

/// A peer's request could not be served; the connection stays open unless the code is Malformed,
/// TooLarge or VersionMismatch.
struct ProtocolError {
  ErrorCode code = ErrorCode::Internal;
  std::string message;
};

/// One engine or application runner of the machine list, as the sender last knew it.
struct BackendRecord {
  std::string name;
  std::string address;  ///< "IP:port".
  std::string zone;
  std::string region;
  std::string pool;
  bool runner = false;  ///< False: a model engine.
  bool leaving = false;
};

/// A router that has had no machine list since its start asks a peer for the peer's.
struct BackendListRequest {
  std::string requester;
};

/// Answer to BackendListRequest.
struct BackendList {
  std::string sender;
  std::vector<BackendRecord> backends;
};

/// What one gateway learned of a back end, told to others at once: the giver of an order to load weights, or
/// the one that follows the back end's cache.
struct BackendNote {
  std::string name;                        ///< Differs at each start of the back end.
  std::uint32_t loading_milliseconds = 0;  ///< Takes no new request for about this long; 0: it does.
  std::string model;
  std::string weights_version;            ///< As its own report stated it; empty: not known.
  std::uint32_t silent_milliseconds = 0;  ///< Has answered nothing for so long; 0: nothing is said of that.
  bool heard = false;                     ///< Was silent and answers again.
};

/// Notes about some back ends.
struct BackendNotes {
  std::vector<BackendNote> notes;
};

/// A part of a prompt as a cache holds it now.
struct CacheNotePart {
  std::string scope;  ///< Parts are shared only under equal scopes.
  std::string model;
  std::uint64_t part = 0;
  std::uint32_t tokens = 0;  ///< Leading tokens kept now; 0: none any more.
};

/// News of one back end's cache, told by the gateway that follows it.
struct CacheNote {
  std::string backend;         ///< Differs at each start of the back end.
  std::uint64_t sequence = 0;  ///< Grows by one with each note of one teller about one back end.
  bool complete = false;       ///< Replaces all that was told before.
  std::vector<CacheNotePart> parts;
};

/// News of some back ends' caches.
struct CacheNotes {
  std::vector<CacheNote> notes;
};

/// Asks the gateway that follows a back end's cache for all that the cache holds.
struct CacheWanted {
  std::string backend;
};

/// What a gateway that serves clients tells the others some times a second: that it lives, and how busy it
/// is.
struct ServingNotice {
  std::uint32_t requests_per_second = 0;  ///< From clients, of late.
  bool pressed = false;                   ///< Its machine falls behind with the work it has.
  bool leaving = false;                   ///< It stops as planned: clients are to be sent elsewhere.
};

/// One row of a table of the platform's store.
struct RelayedRow {
  std::string key;
  std::string value;          ///< A document, as the platform holds it.
  std::uint64_t version = 0;  ///< Of the store when it changed; 0: it is not there, or was removed.
  bool gone = false;          ///< It was removed.
};

/// What a gateway that reads a table tells one that does not: the whole table, or what changed.
struct RelayedRows {
  std::uint64_t version = 0;  ///< All rows up to it have been told.
  std::vector<RelayedRow> rows;
  std::uint32_t contact_age_milliseconds = 0;  ///< Since the store vouched for them, when this was sent.
  std::uint32_t held_milliseconds = 0;         ///< How long the question was held.
  bool in_trouble = false;  ///< The store does not answer the teller; nothing else is told.
};

/// A back end that broke off while it had a request (gateway/crash_suspects.h). Ages are those when this was
/// sent.
struct CrashEvidenceRecord {
  std::uint64_t request_high = 0;  ///< Fingerprint of the request.
  std::uint64_t request_low = 0;
  std::uint64_t backend = 0;  ///< Incarnation.
  std::uint32_t sent_age_milliseconds = 0;
  std::uint32_t ended_age_milliseconds = 0;
};

/// A request that got a whole answer.
struct ClearedRequestRecord {
  std::uint64_t request_high = 0;
  std::uint64_t request_low = 0;
  std::uint32_t age_milliseconds = 0;
};

/// A back end that was heard of after it was taken to have ended.
struct LivingBackendRecord {
  std::uint64_t backend = 0;
  std::uint32_t age_milliseconds = 0;
};

/// What one gateway knows of requests that end back ends: news, or all of it.
struct CrashNotes {
  std::vector<CrashEvidenceRecord> crashes;
  std::vector<ClearedRequestRecord> cleared;
  std::vector<LivingBackendRecord> living;
};

/// Sum over all that the sender knows of such requests; a receiver with another one answers with all it
/// knows.
struct CrashDigest {
  std::uint64_t digest = 0;
};

/// Every message that a frame can carry.
using Message =
    std::variant<Hello, SubmitRequest, Accepted, StreamPiece, StreamEnd, Refusal, Cancel, Ping, PingAck,
                 BundleRequest, BundleBody, CacheSummary, LoadDigest, ClaimPrepare, ClaimReply, ProtocolError,
                 BundleUpdate, BackendListRequest, BackendList, ClaimRelease, ClaimRecord, ClaimSeal,
                 ClaimSealed, ClaimInstall, ClaimGroupRequest, ClaimGroupInfo, BackendNotes, CacheNotes,
                 CacheWanted, ServingNotice, RelayedRows, CrashNotes, CrashDigest>;

}  // namespace crankspur
