#include "example_messages.h"

#include <fmt/format.h>

namespace crankspur {

namespace {

std::string describeFields(const Hello& value);
std::string describeFields(const SubmitRequest& value);
std::string describeFields(const Accepted& value);
std::string describeFields(const StreamPiece& value);
std::string describeFields(const StreamEnd& value);
std::string describeFields(const Refusal& value);
std::string describeFields(const Cancel& value);
std::string describeFields(const MemberRecord& value);
std::string describeFields(const EngineRecord& value);
std::string describeFields(const Ping& value);
std::string describeFields(const PingAck& value);
std::string describeFields(const BundleRequest& value);
std::string describeFields(const BundleBody& value);
std::string describeFields(const BundleStep& value);
std::string describeFields(const BundleUpdate& value);
std::string describeFields(const CacheSummary& value);
std::string describeFields(const EngineLoad& value);
std::string describeFields(const BackendNote& value);
std::string describeFields(const CacheNote& value);
std::string describeFields(const CacheNotePart& value);
std::string describeFields(const TenantUse& value);
std::string describeFields(const BackendLimit& value);
std::string describeFields(const BackendLimitAbsence& value);
std::string describeFields(const PermitRequest& value);
std::string describeFields(const PermitGrant& value);
std::string describeFields(const LoadDigest& value);
std::string describeFields(const StreamOriginRecord& value);
std::string describeFields(const StreamOriginQuery& value);
std::string describeFields(const BackendRecord& value);
std::string describeFields(const ClaimPrepare& value);
std::string describeFields(const ClaimReply& value);
std::string describeFields(const ClaimGroupMember& value);
std::string describeFields(const ClaimVote& value);
std::string describeFields(const ClaimRelease& value);
std::string describeFields(const ClaimRecord& value);
std::string describeFields(const ClaimSeal& value);
std::string describeFields(const ClaimSealed& value);
std::string describeFields(const ClaimInstall& value);
std::string describeFields(const ClaimGroupRequest& value);
std::string describeFields(const ClaimGroupInfo& value);
std::string describeFields(const ProtocolError& value);
std::string describeFields(const RelayedRow& value);
std::string describeFields(const CrashEvidenceRecord& value);
std::string describeFields(const ClearedRequestRecord& value);
std::string describeFields(const LivingBackendRecord& value);

template <typename Record>
std::string describeAll(const std::vector<Record>& records) {
  std::string text = fmt::format("{}[", records.size());
  for (const Record& record : records) text += describeFields(record) + ";";
  return text + "]";
}

std::string describeFields(const Hello& value) {
  return fmt::format("Hello {} {} {} {} {} {} {} {} {}", value.lowest_version, value.highest_version,
                     value.node_name, value.incarnation, static_cast<int>(value.role), value.zone,
                     value.region, value.bundle_version, value.address);
}

std::string describeFields(const SubmitRequest& value) {
  return fmt::format("SubmitRequest {} {} {} {} {} {} {} {} {} {} {} {} {} {} {} {} {} {} {}",
                     value.request_id, value.attempt, static_cast<int>(value.kind), value.tenant, value.model,
                     value.adapter, value.operation, value.idempotency_key, value.repeatable, value.priority,
                     value.deadline.count(), value.bundle_version, value.prompt, value.max_tokens,
                     value.resume_offset, value.resume_text, value.resume_engine, value.resume_incarnation,
                     value.resume_weights);
}

std::string describeFields(const Accepted& value) {
  return fmt::format("Accepted {} {} {} {} {} {} {}", value.request_id, value.attempt, value.engine,
                     value.engine_incarnation, value.weights_version, value.prompt_tokens,
                     value.cached_tokens);
}

std::string describeFields(const StreamPiece& value) {
  return fmt::format("StreamPiece {} {} {} {} {}", value.request_id, value.attempt, value.offset,
                     value.token_count, value.text);
}

std::string describeFields(const StreamEnd& value) {
  return fmt::format("StreamEnd {} {} {} {} {} {} {} {}", value.request_id, value.attempt, value.token_count,
                     value.checksum, value.finish_reason, value.engine, value.prompt_tokens,
                     value.cached_tokens);
}

std::string describeFields(const Refusal& value) {
  return fmt::format("Refusal {} {} {} {} {} {}", value.request_id, value.attempt,
                     static_cast<int>(value.code), static_cast<int>(value.run_state),
                     value.retry_after.count(), value.message);
}

std::string describeFields(const Cancel& value) {
  return fmt::format("Cancel {} {}", value.request_id, value.attempt);
}

std::string describeFields(const MemberRecord& value) {
  return fmt::format("MemberRecord {} {} {} {} {} {} {} {}", value.name, value.address, value.zone,
                     value.region, value.incarnation, static_cast<int>(value.state), value.bundle_version,
                     value.capacity);
}

std::string describeFields(const EngineRecord& value) {
  return fmt::format("EngineRecord {} {} {} {} {}", value.name, value.incarnation, value.leaving, value.dead,
                     value.listed_at_ms);
}

std::string describeFields(const Ping& value) {
  return fmt::format("Ping {} {} {} {} {} {} {}", value.sequence, value.sender, value.target,
                     value.bundle_version, describeAll(value.members), describeAll(value.engines),
                     fmt::join(value.fingerprints, " "));
}

std::string describeFields(const PingAck& value) {
  return fmt::format("PingAck {} {} {} {} {}", value.sequence, value.sender, value.bundle_version,
                     describeAll(value.members), describeAll(value.engines));
}

std::string describeFields(const BundleRequest& value) {
  return fmt::format("BundleRequest {}", value.held_version);
}

std::string describeFields(const BundleBody& value) {
  return fmt::format("BundleBody {} {} {} {}", value.version, value.document, value.author_signature,
                     value.approver_signature);
}

std::string describeFields(const BundleStep& value) {
  return fmt::format("BundleStep {} {} {}", value.from_version, value.to_version, value.delta);
}

std::string describeFields(const BundleUpdate& value) {
  return fmt::format("BundleUpdate {} {} {}", describeAll(value.steps), value.author_signature,
                     value.approver_signature);
}

std::string describeFields(const CacheSummary& value) {
  return fmt::format("CacheSummary {} {} {} {} {}", value.engine, value.engine_incarnation, value.sequence,
                     fmt::join(value.stored, " "), fmt::join(value.removed, " "));
}

std::string describeFields(const EngineLoad& value) {
  return fmt::format("EngineLoad {} {} {} {} {}", value.engine, value.engine_incarnation, value.queued_tokens,
                     value.running, value.age_milliseconds);
}

std::string describeFields(const BackendRecord& value) {
  return fmt::format("BackendRecord {} {} {} {} {} {} {}", value.name, value.address, value.zone,
                     value.region, value.pool, value.runner, value.leaving);
}

std::string describeFields(const BackendListRequest& value) {
  return fmt::format("BackendListRequest {}", value.requester);
}

std::string describeFields(const BackendList& value) {
  return fmt::format("BackendList {} {}", value.sender, describeAll(value.backends));
}

std::string describeFields(const BackendNote& value) {
  return fmt::format("BackendNote {} {} {} {} {} {}", value.name, value.loading_milliseconds, value.model,
                     value.weights_version, value.silent_milliseconds, value.heard);
}

std::string describeFields(const CacheNotePart& value) {
  return fmt::format("CacheNotePart {} {} {} {}", value.scope, value.model, value.part, value.tokens);
}

std::string describeFields(const CacheNote& value) {
  return fmt::format("CacheNote {} {} {} {}", value.backend, value.sequence, value.complete,
                     describeAll(value.parts));
}

std::string describeFields(const CacheNotes& value) {
  return fmt::format("CacheNotes {}", describeAll(value.notes));
}

std::string describeFields(const CacheWanted& value) {
  return fmt::format("CacheWanted {}", value.backend);
}

std::string describeFields(const ServingNotice& value) {
  return fmt::format("ServingNotice {} {} {}", value.requests_per_second, value.pressed, value.leaving);
}

std::string describeFields(const RelayedRow& value) {
  return fmt::format("RelayedRow {} {} {} {}", value.key, value.value, value.version, value.gone);
}

std::string describeFields(const RelayedRows& value) {
  return fmt::format("RelayedRows {} {} {} {} {}", value.version, describeAll(value.rows),
                     value.contact_age_milliseconds, value.held_milliseconds, value.in_trouble);
}

std::string describeFields(const CrashEvidenceRecord& value) {
  return fmt::format("CrashEvidenceRecord {} {} {} {} {} {}", value.request_high, value.request_low,
                     value.backend, value.sent_age_milliseconds, value.ended_age_milliseconds,
                     value.part_position);
}

std::string describeFields(const ClearedRequestRecord& value) {
  return fmt::format("ClearedRequestRecord {} {} {}", value.request_high, value.request_low,
                     value.age_milliseconds);
}

std::string describeFields(const LivingBackendRecord& value) {
  return fmt::format("LivingBackendRecord {} {}", value.backend, value.age_milliseconds);
}

std::string describeFields(const CrashNotes& value) {
  return fmt::format("CrashNotes {} {} {}", describeAll(value.crashes), describeAll(value.cleared),
                     describeAll(value.living));
}

std::string describeFields(const CrashDigest& value) {
  return fmt::format("CrashDigest {}", value.digest);
}

std::string describeFields(const StreamOriginRecord& value) {
  return fmt::format("StreamOriginRecord {} {} {} {}", value.attempt, value.build, value.several_builds,
                     value.sole_build);
}

std::string describeFields(const StreamOriginQuery& value) {
  return fmt::format("StreamOriginQuery {} {}", value.attempt, value.pool);
}

std::string describeFields(const StreamOrigins& value) {
  return fmt::format("StreamOrigins {} {} {}", describeAll(value.begun), describeAll(value.queries),
                     describeAll(value.answers));
}

std::string describeFields(const BackendNotes& value) {
  return fmt::format("BackendNotes {}", describeAll(value.notes));
}

std::string describeFields(const TenantUse& value) {
  return fmt::format("TenantUse {} {} {} {}", value.tenant, value.admitted, value.admitted_per_second,
                     value.asked_per_second);
}

std::string describeFields(const BackendLimit& value) {
  return fmt::format("BackendLimit {} {} {}", value.backend, value.milli_per_second, value.age_milliseconds);
}

std::string describeFields(const BackendLimitAbsence& value) {
  return fmt::format("BackendLimitAbsence {} {} {}", value.backend, value.first_age_milliseconds,
                     value.last_age_milliseconds);
}

std::string describeFields(const PermitRequest& value) {
  return fmt::format("PermitRequest {} {} {} {} {} {} {}", value.backend, value.issuer, value.requested_at,
                     value.wanted, value.grant, value.used, value.given_back);
}

std::string describeFields(const PermitGrant& value) {
  return fmt::format("PermitGrant {} {} {} {} {}", value.backend, value.holder, value.grant, value.permits,
                     value.requested_at);
}

std::string describeFields(const LoadDigest& value) {
  return fmt::format("LoadDigest {} {} {} {} {} {} {}", value.sender, describeAll(value.loads),
                     describeAll(value.tenants), describeAll(value.limits), describeAll(value.limit_absences),
                     describeAll(value.permit_requests), describeAll(value.permit_grants));
}

std::string describeFields(const ClaimPrepare& value) {
  return fmt::format("ClaimPrepare {} {} {} {}", value.epoch, value.key, value.token, value.body_hash);
}

std::string describeFields(const ClaimReply& value) {
  return fmt::format("ClaimReply {} {} {} {} {} {} {} {} {} {} {}", value.epoch, value.key, value.token,
                     value.granted, value.holder, value.voter, value.voter_incarnation, value.covered.count(),
                     value.holder_body_hash, value.holder_has_result, value.holder_result);
}

std::string describeFields(const ClaimGroupMember& value) {
  return fmt::format("{} {}", value.address, value.incarnation);
}

std::string describeFields(const ClaimVote& value) {
  return fmt::format("{} {} {} {} {} {} {} {} {}", value.key, value.token, value.released, value.carried,
                     value.body_hash, value.done, value.has_result, value.result, value.in_table);
}

std::string describeRow(const ClaimGroupRow& row) {
  return fmt::format("{} {} {} {}", row.epoch, describeAll(row.members), row.installer, row.row_version);
}

std::string describeFields(const ClaimRelease& value) {
  return fmt::format("ClaimRelease {} {} {}", value.epoch, value.key, value.token);
}

std::string describeFields(const ClaimRecord& value) {
  return fmt::format("ClaimRecord {} {} {} {} {} {}", value.key, value.token, value.done, value.has_result,
                     value.result, value.in_table);
}

std::string describeFields(const ClaimSeal& value) {
  return fmt::format("ClaimSeal {}", value.epoch);
}

std::string describeFields(const ClaimSealed& value) {
  return fmt::format("ClaimSealed {} {} {} {} {}", value.epoch, describeFields(value.voter), value.installed,
                     value.covered.count(), describeAll(value.votes));
}

std::string describeFields(const ClaimInstall& value) {
  return fmt::format("ClaimInstall {} {} {} {}", describeRow(value.row), value.covered.count(),
                     value.quarantine.count(), describeAll(value.carried));
}

std::string describeFields(const ClaimGroupRequest& value) {
  return fmt::format("ClaimGroupRequest {}", value.known_epoch);
}

std::string describeFields(const ClaimGroupInfo& value) {
  return fmt::format("ClaimGroupInfo {} {} {} {}", describeRow(value.row), describeFields(value.sender),
                     value.voting_epoch, value.unwritten);
}

std::string describeFields(const ProtocolError& value) {
  return fmt::format("ProtocolError {} {}", static_cast<int>(value.code), value.message);
}

Hello exampleHello() {
  Hello value;
  value.lowest_version = ~0u - 2;
  value.highest_version = ~0u - 3;
  value.node_name = "node name";
  value.incarnation = ~0ull - 5;
  value.role = NodeRole::Sidecar;
  value.zone = "zone";
  value.region = "region";
  value.bundle_version = ~0ull - 9;
  value.address = "address";
  return value;
}

SubmitRequest exampleSubmitRequest() {
  SubmitRequest value;
  value.request_id = "request id";
  value.attempt = ~0u - 12;
  value.kind = RequestKind::Application;
  value.tenant = "tenant";
  value.model = "model";
  value.adapter = "adapter";
  value.operation = "operation";
  value.idempotency_key = "idempotency key";
  value.repeatable = false;
  value.priority = ~0u - 20;
  value.deadline = std::chrono::milliseconds(21);
  value.bundle_version = ~0ull - 22;
  value.prompt = std::string("prompt\0\n\xff", 9);
  value.max_tokens = ~0u - 24;
  value.resume_offset = ~0ull - 25;
  value.resume_text = std::string("resume_text\0\n\xff", 14);
  value.resume_engine = "resume engine";
  value.resume_incarnation = ~0ull - 28;
  value.resume_weights = "resume weights";
  return value;
}

Accepted exampleAccepted() {
  Accepted value;
  value.request_id = "request id";
  value.attempt = ~0u - 31;
  value.engine = "engine";
  value.engine_incarnation = ~0ull - 33;
  value.weights_version = "weights version";
  value.prompt_tokens = ~0u - 35;
  value.cached_tokens = ~0u - 36;
  return value;
}

StreamPiece exampleStreamPiece() {
  StreamPiece value;
  value.request_id = "request id";
  value.attempt = ~0u - 38;
  value.offset = ~0ull - 39;
  value.token_count = ~0u - 40;
  value.text = std::string("text\0\n\xff", 7);
  return value;
}

StreamEnd exampleStreamEnd() {
  StreamEnd value;
  value.request_id = "request id";
  value.attempt = ~0u - 43;
  value.token_count = ~0ull - 44;
  value.checksum = ~0ull - 45;
  value.finish_reason = "finish reason";
  value.engine = "engine";
  value.prompt_tokens = ~0u - 48;
  value.cached_tokens = ~0u - 49;
  return value;
}

Refusal exampleRefusal() {
  Refusal value;
  value.request_id = "request id";
  value.attempt = ~0u - 51;
  value.code = kLastErrorCode;
  value.run_state = RunState::Ran;
  value.retry_after = std::chrono::milliseconds(54);
  value.message = "message";
  return value;
}

Cancel exampleCancel() {
  Cancel value;
  value.request_id = "request id";
  value.attempt = ~0u - 57;
  return value;
}

MemberRecord exampleMemberRecord() {
  MemberRecord value;
  value.name = "name";
  value.address = "address";
  value.zone = "zone";
  value.region = "region";
  value.incarnation = ~0ull - 62;
  value.state = MemberState::Dead;
  value.bundle_version = ~0ull - 64;
  value.capacity = ~0u - 65;
  return value;
}

EngineRecord exampleEngineRecord() {
  EngineRecord value;
  value.name = "name";
  value.incarnation = ~0ull - 66;
  value.leaving = true;
  value.dead = true;
  return value;
}

Ping examplePing() {
  Ping value;
  value.sequence = ~0ull - 69;
  value.sender = "sender";
  value.target = "target";
  value.bundle_version = ~0ull - 72;
  value.members = {exampleMemberRecord(), MemberRecord{}};
  value.engines = {exampleEngineRecord(), EngineRecord{}};
  value.fingerprints = {0, 1, ~0ull};
  return value;
}

PingAck examplePingAck() {
  PingAck value;
  value.sequence = ~0ull - 75;
  value.sender = "sender";
  value.bundle_version = ~0ull - 77;
  value.members = {exampleMemberRecord(), MemberRecord{}};
  value.engines = {exampleEngineRecord(), EngineRecord{}};
  return value;
}

BundleRequest exampleBundleRequest() {
  BundleRequest value;
  value.held_version = ~0ull - 80;
  return value;
}

BundleBody exampleBundleBody() {
  BundleBody value;
  value.version = ~0ull - 81;
  value.document = std::string("document\0\n\xff", 11);
  value.author_signature = "author signature";
  value.approver_signature = "approver signature";
  return value;
}

BundleUpdate exampleBundleUpdate() {
  BundleUpdate value;
  value.steps = {{~0ull - 82, ~0ull - 83, std::string("delta\0\n\xff", 8)}, {1, 2, "second delta"}};
  value.author_signature = "author signature";
  value.approver_signature = "approver signature";
  return value;
}

CacheSummary exampleCacheSummary() {
  CacheSummary value;
  value.engine = "engine";
  value.engine_incarnation = ~0ull - 86;
  value.sequence = ~0ull - 87;
  value.stored = {0, 1, ~0ull};
  value.removed = {0, 1, ~0ull};
  return value;
}

EngineLoad exampleEngineLoad() {
  EngineLoad value;
  value.engine = "engine";
  value.engine_incarnation = ~0ull - 91;
  value.queued_tokens = ~0u - 92;
  value.running = ~0u - 93;
  value.age_milliseconds = ~0u - 94;
  return value;
}

TenantUse exampleTenantUse() {
  TenantUse value;
  value.tenant = ~0ull - 95;
  value.admitted = ~0ull - 96;
  value.admitted_per_second = ~0u - 97;
  value.asked_per_second = ~0u - 98;
  return value;
}

BackendLimit exampleBackendLimit() {
  BackendLimit value;
  value.backend = ~0ull - 99;
  value.milli_per_second = ~0u - 99;
  value.age_milliseconds = ~0u - 100;
  return value;
}

BackendLimitAbsence exampleBackendLimitAbsence() {
  BackendLimitAbsence value;
  value.backend = ~0ull - 101;
  value.first_age_milliseconds = ~0u - 102;
  value.last_age_milliseconds = ~0u - 103;
  return value;
}

PermitRequest examplePermitRequest() {
  PermitRequest value;
  value.backend = ~0ull - 104;
  value.issuer = ~0ull - 105;
  value.requested_at = ~0u - 106;
  value.wanted = ~0u - 107;
  value.grant = ~0u - 108;
  value.used = ~0u - 109;
  value.given_back = ~0u - 110;
  return value;
}

PermitGrant examplePermitGrant() {
  PermitGrant value;
  value.backend = ~0ull - 111;
  value.holder = ~0ull - 112;
  value.grant = ~0u - 113;
  value.permits = ~0u - 114;
  value.requested_at = ~0u - 115;
  return value;
}

LoadDigest exampleLoadDigest() {
  LoadDigest value;
  value.sender = "sender";
  value.loads = {exampleEngineLoad(), EngineLoad{}};
  value.tenants = {exampleTenantUse(), TenantUse{}};
  value.limits = {exampleBackendLimit(), BackendLimit{}};
  value.limit_absences = {exampleBackendLimitAbsence(), BackendLimitAbsence{}};
  value.permit_requests = {examplePermitRequest(), PermitRequest{}};
  value.permit_grants = {examplePermitGrant(), PermitGrant{}};
  return value;
}

ClaimPrepare exampleClaimPrepare() {
  ClaimPrepare value;
  value.epoch = ~0ull - 97;
  value.key = "key";
  value.token = "token";
  value.body_hash = "hash";
  return value;
}

ClaimReply exampleClaimReply() {
  ClaimReply value;
  value.epoch = ~0ull - 100;
  value.key = "key";
  value.token = "token";
  value.granted = true;
  value.holder = "holder";
  value.voter = "voter";
  value.voter_incarnation = ~0ull - 106;
  value.covered = std::chrono::microseconds(107);
  value.holder_body_hash = "hash";
  value.holder_has_result = true;
  value.holder_result = std::string("re\0sult", 7);
  return value;
}

ClaimGroupRow exampleClaimGroupRow() {
  return {~0ull - 110, {{"first", ~0ull - 111}, {"second", 112}}, "installer", ~0ull - 113};
}

std::vector<ClaimVote> exampleClaimVotes() {
  return {ClaimVote{"key", "token", true, true, "hash", true, true, "result", true}, ClaimVote{}};
}

ClaimSealed exampleClaimSealed() {
  ClaimSealed value;
  value.epoch = ~0ull - 114;
  value.voter = {"voter", ~0ull - 115};
  value.installed = true;
  value.covered = std::chrono::microseconds(116);
  value.votes = exampleClaimVotes();
  return value;
}

ClaimInstall exampleClaimInstall() {
  return {exampleClaimGroupRow(), std::chrono::microseconds(117), std::chrono::microseconds(118),
          exampleClaimVotes()};
}

ClaimGroupInfo exampleClaimGroupInfo() {
  return {exampleClaimGroupRow(), {"sender", ~0ull - 119}, ~0ull - 120, ~0u - 121};
}

ProtocolError exampleProtocolError() {
  ProtocolError value;
  value.code = kLastErrorCode;
  value.message = "message";
  return value;
}

BackendListRequest exampleBackendListRequest() {
  BackendListRequest value;
  value.requester = "requester";
  return value;
}

BackendList exampleBackendList() {
  BackendRecord record;
  record.name = "name";
  record.address = "address";
  record.zone = "zone";
  record.region = "region";
  record.pool = "pool";
  record.runner = true;
  record.leaving = true;
  BackendList value;
  value.sender = "sender";
  value.backends = {record, BackendRecord{}};
  return value;
}

CacheNotes exampleCacheNotes() {
  CacheNote note{"backend", ~0ull - 125, true, {}};
  note.parts = {CacheNotePart{"scope", "model", ~0ull - 126, 1600}, CacheNotePart{}};
  return {{note, CacheNote{}}};
}

BackendNotes exampleBackendNotes() {
  return {{BackendNote{"name", 1500, "model", "2", 0, false}, BackendNote{"other", 0, "", "", 400, true}}};
}

}  // namespace

std::vector<Message> exampleMessages() {
  return {
      exampleHello(),
      exampleSubmitRequest(),
      exampleAccepted(),
      exampleStreamPiece(),
      exampleStreamEnd(),
      exampleRefusal(),
      exampleCancel(),
      examplePing(),
      examplePingAck(),
      exampleBundleRequest(),
      exampleBundleBody(),
      exampleCacheSummary(),
      exampleLoadDigest(),
      exampleClaimPrepare(),
      exampleClaimReply(),
      exampleProtocolError(),
      exampleBundleUpdate(),
      exampleBackendListRequest(),
      exampleBackendList(),
      ClaimRelease{~0ull - 122, "key", "token"},
      ClaimRecord{"key", "token", true, true, "result", true},
      ClaimSeal{~0ull - 123},
      exampleClaimSealed(),
      exampleClaimInstall(),
      ClaimGroupRequest{~0ull - 124},
      exampleClaimGroupInfo(),
      exampleBackendNotes(),
      exampleCacheNotes(),
      CacheWanted{"backend"},
      ServingNotice{~0u - 127, true, true},
      RelayedRows{~0ull - 128,
                  {RelayedRow{"key", std::string("va\0lue", 6), ~0ull - 129, true}, RelayedRow{}},
                  ~0u - 130,
                  ~0u - 131,
                  true},
      CrashNotes{{CrashEvidenceRecord{~0ull - 132, ~0ull - 133, ~0ull - 134, ~0u - 135, ~0u - 136, 3},
                  CrashEvidenceRecord{}},
                 {ClearedRequestRecord{~0ull - 137, ~0ull - 138, ~0u - 139}},
                 {LivingBackendRecord{~0ull - 140, ~0u - 141}}},
      CrashDigest{~0ull - 142},
      StreamOrigins{{StreamOriginRecord{~0ull - 143, ~0ull - 144, true, ~0ull - 149}, StreamOriginRecord{}},
                    {StreamOriginQuery{~0ull - 145, ~0ull - 146}},
                    {StreamOriginRecord{~0ull - 147, ~0ull - 148, true}}}};
}

std::string describe(const Message& message) {
  return std::visit([](const auto& value) { return describeFields(value); }, message);
}

}  // namespace crankspur
