#pragma once
/// @file Internal to this package: mapping of the fields of each plain message to those of
/// proto/crankspur.proto.

#include <crankspur.pb.h>

#include "internal_protocol/field_archive.h"
#include "internal_protocol/messages.h"

namespace crankspur::wire {

#define CRANKSPUR_WIRE_TRAITS(name)                                                    \
  template <>                                                                          \
  struct WireTraits<name> {                                                            \
    using Type = crankspur_wire_##name;                                                \
    static const pb_msgdesc_t* descriptor() { return crankspur_wire_##name##_fields; } \
  };

CRANKSPUR_WIRE_TRAITS(Hello)
CRANKSPUR_WIRE_TRAITS(SubmitRequest)
CRANKSPUR_WIRE_TRAITS(Accepted)
CRANKSPUR_WIRE_TRAITS(StreamPiece)
CRANKSPUR_WIRE_TRAITS(StreamEnd)
CRANKSPUR_WIRE_TRAITS(Refusal)
CRANKSPUR_WIRE_TRAITS(Cancel)
CRANKSPUR_WIRE_TRAITS(MemberRecord)
CRANKSPUR_WIRE_TRAITS(EngineRecord)
CRANKSPUR_WIRE_TRAITS(Ping)
CRANKSPUR_WIRE_TRAITS(PingAck)
CRANKSPUR_WIRE_TRAITS(BundleRequest)
CRANKSPUR_WIRE_TRAITS(BundleBody)
CRANKSPUR_WIRE_TRAITS(BundleStep)
CRANKSPUR_WIRE_TRAITS(BundleUpdate)
CRANKSPUR_WIRE_TRAITS(CacheSummary)
CRANKSPUR_WIRE_TRAITS(EngineLoad)
CRANKSPUR_WIRE_TRAITS(TenantUse)
CRANKSPUR_WIRE_TRAITS(BackendLimit)
CRANKSPUR_WIRE_TRAITS(BackendLimitAbsence)
CRANKSPUR_WIRE_TRAITS(PermitRequest)
CRANKSPUR_WIRE_TRAITS(PermitGrant)
CRANKSPUR_WIRE_TRAITS(LoadDigest)
CRANKSPUR_WIRE_TRAITS(ClaimPrepare)
CRANKSPUR_WIRE_TRAITS(ClaimReply)
CRANKSPUR_WIRE_TRAITS(ClaimGroupMember)
CRANKSPUR_WIRE_TRAITS(ClaimVote)
CRANKSPUR_WIRE_TRAITS(ClaimRelease)
CRANKSPUR_WIRE_TRAITS(ClaimRecord)
CRANKSPUR_WIRE_TRAITS(ClaimSeal)
CRANKSPUR_WIRE_TRAITS(ClaimSealed)
CRANKSPUR_WIRE_TRAITS(ClaimInstall)
CRANKSPUR_WIRE_TRAITS(ClaimGroupRequest)
CRANKSPUR_WIRE_TRAITS(ClaimGroupInfo)
CRANKSPUR_WIRE_TRAITS(ProtocolError)
CRANKSPUR_WIRE_TRAITS(BackendRecord)
CRANKSPUR_WIRE_TRAITS(BackendListRequest)
CRANKSPUR_WIRE_TRAITS(BackendList)
CRANKSPUR_WIRE_TRAITS(BackendNote)
CRANKSPUR_WIRE_TRAITS(BackendNotes)
CRANKSPUR_WIRE_TRAITS(CacheNotePart)
CRANKSPUR_WIRE_TRAITS(CacheNote)
CRANKSPUR_WIRE_TRAITS(CacheNotes)
CRANKSPUR_WIRE_TRAITS(CacheWanted)
CRANKSPUR_WIRE_TRAITS(ServingNotice)
CRANKSPUR_WIRE_TRAITS(RelayedRow)
CRANKSPUR_WIRE_TRAITS(RelayedRows)
CRANKSPUR_WIRE_TRAITS(CrashEvidenceRecord)
CRANKSPUR_WIRE_TRAITS(ClearedRequestRecord)
CRANKSPUR_WIRE_TRAITS(LivingBackendRecord)
CRANKSPUR_WIRE_TRAITS(CrashNotes)
CRANKSPUR_WIRE_TRAITS(CrashDigest)
CRANKSPUR_WIRE_TRAITS(StreamOriginRecord)
CRANKSPUR_WIRE_TRAITS(StreamOriginQuery)
CRANKSPUR_WIRE_TRAITS(StreamOrigins)
#undef CRANKSPUR_WIRE_TRAITS

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_Hello& wire, Plain& plain) {
  archive.number(wire.lowest_version, plain.lowest_version);
  archive.number(wire.highest_version, plain.highest_version);
  archive.text(wire.node_name, plain.node_name);
  archive.number(wire.incarnation, plain.incarnation);
  archive.enumeration(wire.role, plain.role, NodeRole::Sidecar);
  archive.text(wire.zone, plain.zone);
  archive.text(wire.region, plain.region);
  archive.number(wire.bundle_version, plain.bundle_version);
  archive.text(wire.address, plain.address);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_SubmitRequest& wire, Plain& plain) {
  archive.text(wire.request_id, plain.request_id);
  archive.number(wire.attempt, plain.attempt);
  archive.enumeration(wire.kind, plain.kind, RequestKind::Application);
  archive.text(wire.tenant, plain.tenant);
  archive.text(wire.model, plain.model);
  archive.text(wire.adapter, plain.adapter);
  archive.text(wire.operation, plain.operation);
  archive.text(wire.idempotency_key, plain.idempotency_key);
  archive.number(wire.repeatable, plain.repeatable);
  archive.number(wire.priority, plain.priority);
  archive.duration(wire.deadline, plain.deadline);
  archive.number(wire.bundle_version, plain.bundle_version);
  archive.text(wire.prompt, plain.prompt);
  archive.number(wire.max_tokens, plain.max_tokens);
  archive.number(wire.resume_offset, plain.resume_offset);
  archive.text(wire.resume_text, plain.resume_text);
  archive.text(wire.resume_engine, plain.resume_engine);
  archive.number(wire.resume_incarnation, plain.resume_incarnation);
  archive.text(wire.resume_weights, plain.resume_weights);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_Accepted& wire, Plain& plain) {
  archive.text(wire.request_id, plain.request_id);
  archive.number(wire.attempt, plain.attempt);
  archive.text(wire.engine, plain.engine);
  archive.number(wire.engine_incarnation, plain.engine_incarnation);
  archive.text(wire.weights_version, plain.weights_version);
  archive.number(wire.prompt_tokens, plain.prompt_tokens);
  archive.number(wire.cached_tokens, plain.cached_tokens);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_StreamPiece& wire, Plain& plain) {
  archive.text(wire.request_id, plain.request_id);
  archive.number(wire.attempt, plain.attempt);
  archive.number(wire.offset, plain.offset);
  archive.number(wire.token_count, plain.token_count);
  archive.text(wire.text, plain.text);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_StreamEnd& wire, Plain& plain) {
  archive.text(wire.request_id, plain.request_id);
  archive.number(wire.attempt, plain.attempt);
  archive.number(wire.token_count, plain.token_count);
  archive.number(wire.checksum, plain.checksum);
  archive.text(wire.finish_reason, plain.finish_reason);
  archive.text(wire.engine, plain.engine);
  archive.number(wire.prompt_tokens, plain.prompt_tokens);
  archive.number(wire.cached_tokens, plain.cached_tokens);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_Refusal& wire, Plain& plain) {
  archive.text(wire.request_id, plain.request_id);
  archive.number(wire.attempt, plain.attempt);
  archive.enumeration(wire.code, plain.code, kLastErrorCode);
  archive.enumeration(wire.run_state, plain.run_state, RunState::Ran);
  archive.duration(wire.retry_after, plain.retry_after);
  archive.text(wire.message, plain.message);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_Cancel& wire, Plain& plain) {
  archive.text(wire.request_id, plain.request_id);
  archive.number(wire.attempt, plain.attempt);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_MemberRecord& wire, Plain& plain) {
  archive.text(wire.name, plain.name);
  archive.text(wire.address, plain.address);
  archive.text(wire.zone, plain.zone);
  archive.text(wire.region, plain.region);
  archive.number(wire.incarnation, plain.incarnation);
  archive.enumeration(wire.state, plain.state, MemberState::Dead);
  archive.number(wire.bundle_version, plain.bundle_version);
  archive.number(wire.capacity, plain.capacity);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_EngineRecord& wire, Plain& plain) {
  archive.text(wire.name, plain.name);
  archive.number(wire.incarnation, plain.incarnation);
  archive.number(wire.leaving, plain.leaving);
  archive.number(wire.dead, plain.dead);
  archive.number(wire.listed_at_ms, plain.listed_at_ms);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_Ping& wire, Plain& plain) {
  archive.number(wire.sequence, plain.sequence);
  archive.text(wire.sender, plain.sender);
  archive.text(wire.target, plain.target);
  archive.number(wire.bundle_version, plain.bundle_version);
  archive.records(wire.members, plain.members);
  archive.records(wire.engines, plain.engines);
  archive.hashes(wire.fingerprints, plain.fingerprints);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_PingAck& wire, Plain& plain) {
  archive.number(wire.sequence, plain.sequence);
  archive.text(wire.sender, plain.sender);
  archive.number(wire.bundle_version, plain.bundle_version);
  archive.records(wire.members, plain.members);
  archive.records(wire.engines, plain.engines);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_BundleRequest& wire, Plain& plain) {
  archive.number(wire.held_version, plain.held_version);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_BundleBody& wire, Plain& plain) {
  archive.number(wire.version, plain.version);
  archive.text(wire.document, plain.document);
  archive.text(wire.author_signature, plain.author_signature);
  archive.text(wire.approver_signature, plain.approver_signature);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_BundleStep& wire, Plain& plain) {
  archive.number(wire.from_version, plain.from_version);
  archive.number(wire.to_version, plain.to_version);
  archive.text(wire.delta, plain.delta);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_BundleUpdate& wire, Plain& plain) {
  archive.records(wire.steps, plain.steps);
  archive.text(wire.author_signature, plain.author_signature);
  archive.text(wire.approver_signature, plain.approver_signature);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_CacheSummary& wire, Plain& plain) {
  archive.text(wire.engine, plain.engine);
  archive.number(wire.engine_incarnation, plain.engine_incarnation);
  archive.number(wire.sequence, plain.sequence);
  archive.hashes(wire.stored, plain.stored);
  archive.hashes(wire.removed, plain.removed);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_EngineLoad& wire, Plain& plain) {
  archive.text(wire.engine, plain.engine);
  archive.number(wire.engine_incarnation, plain.engine_incarnation);
  archive.number(wire.queued_tokens, plain.queued_tokens);
  archive.number(wire.running, plain.running);
  archive.number(wire.age_milliseconds, plain.age_milliseconds);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_TenantUse& wire, Plain& plain) {
  archive.number(wire.tenant, plain.tenant);
  archive.number(wire.admitted, plain.admitted);
  archive.number(wire.admitted_per_second, plain.admitted_per_second);
  archive.number(wire.asked_per_second, plain.asked_per_second);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_BackendLimit& wire, Plain& plain) {
  archive.number(wire.backend, plain.backend);
  archive.number(wire.milli_per_second, plain.milli_per_second);
  archive.number(wire.age_milliseconds, plain.age_milliseconds);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_BackendLimitAbsence& wire, Plain& plain) {
  archive.number(wire.backend, plain.backend);
  archive.number(wire.first_age_milliseconds, plain.first_age_milliseconds);
  archive.number(wire.last_age_milliseconds, plain.last_age_milliseconds);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_PermitRequest& wire, Plain& plain) {
  archive.number(wire.backend, plain.backend);
  archive.number(wire.issuer, plain.issuer);
  archive.number(wire.requested_at, plain.requested_at);
  archive.number(wire.wanted, plain.wanted);
  archive.number(wire.grant, plain.grant);
  archive.number(wire.used, plain.used);
  archive.number(wire.given_back, plain.given_back);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_PermitGrant& wire, Plain& plain) {
  archive.number(wire.backend, plain.backend);
  archive.number(wire.holder, plain.holder);
  archive.number(wire.grant, plain.grant);
  archive.number(wire.permits, plain.permits);
  archive.number(wire.requested_at, plain.requested_at);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_LoadDigest& wire, Plain& plain) {
  archive.text(wire.sender, plain.sender);
  archive.records(wire.loads, plain.loads);
  archive.records(wire.tenants, plain.tenants);
  archive.records(wire.limits, plain.limits);
  archive.records(wire.limit_absences, plain.limit_absences);
  archive.records(wire.permit_requests, plain.permit_requests);
  archive.records(wire.permit_grants, plain.permit_grants);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_ClaimPrepare& wire, Plain& plain) {
  archive.number(wire.epoch, plain.epoch);
  archive.text(wire.key, plain.key);
  archive.text(wire.token, plain.token);
  archive.text(wire.body_hash, plain.body_hash);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_ClaimReply& wire, Plain& plain) {
  archive.number(wire.epoch, plain.epoch);
  archive.text(wire.key, plain.key);
  archive.text(wire.token, plain.token);
  archive.number(wire.granted, plain.granted);
  archive.text(wire.holder, plain.holder);
  archive.text(wire.voter, plain.voter);
  archive.number(wire.voter_incarnation, plain.voter_incarnation);
  archive.duration(wire.covered, plain.covered);
  archive.text(wire.holder_body_hash, plain.holder_body_hash);
  archive.number(wire.holder_has_result, plain.holder_has_result);
  archive.text(wire.holder_result, plain.holder_result);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_ClaimGroupMember& wire, Plain& plain) {
  archive.text(wire.address, plain.address);
  archive.number(wire.incarnation, plain.incarnation);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_ClaimVote& wire, Plain& plain) {
  archive.text(wire.key, plain.key);
  archive.text(wire.token, plain.token);
  archive.number(wire.released, plain.released);
  archive.number(wire.carried, plain.carried);
  archive.text(wire.body_hash, plain.body_hash);
  archive.number(wire.done, plain.done);
  archive.number(wire.has_result, plain.has_result);
  archive.text(wire.result, plain.result);
  archive.number(wire.in_table, plain.in_table);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_ClaimRelease& wire, Plain& plain) {
  archive.number(wire.epoch, plain.epoch);
  archive.text(wire.key, plain.key);
  archive.text(wire.token, plain.token);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_ClaimRecord& wire, Plain& plain) {
  archive.text(wire.key, plain.key);
  archive.text(wire.token, plain.token);
  archive.number(wire.done, plain.done);
  archive.number(wire.has_result, plain.has_result);
  archive.text(wire.result, plain.result);
  archive.number(wire.in_table, plain.in_table);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_ClaimSeal& wire, Plain& plain) {
  archive.number(wire.epoch, plain.epoch);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_ClaimSealed& wire, Plain& plain) {
  archive.number(wire.epoch, plain.epoch);
  archive.text(wire.voter_address, plain.voter.address);
  archive.number(wire.voter_incarnation, plain.voter.incarnation);
  archive.number(wire.installed, plain.installed);
  archive.duration(wire.covered, plain.covered);
  archive.records(wire.votes, plain.votes);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_ClaimInstall& wire, Plain& plain) {
  archive.number(wire.epoch, plain.row.epoch);
  archive.records(wire.members, plain.row.members);
  archive.text(wire.installer, plain.row.installer);
  archive.number(wire.row_version, plain.row.row_version);
  archive.duration(wire.covered, plain.covered);
  archive.duration(wire.quarantine, plain.quarantine);
  archive.records(wire.carried, plain.carried);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_ClaimGroupRequest& wire, Plain& plain) {
  archive.number(wire.known_epoch, plain.known_epoch);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_ClaimGroupInfo& wire, Plain& plain) {
  archive.number(wire.epoch, plain.row.epoch);
  archive.records(wire.members, plain.row.members);
  archive.text(wire.installer, plain.row.installer);
  archive.number(wire.row_version, plain.row.row_version);
  archive.text(wire.sender_address, plain.sender.address);
  archive.number(wire.sender_incarnation, plain.sender.incarnation);
  archive.number(wire.voting_epoch, plain.voting_epoch);
  archive.number(wire.unwritten, plain.unwritten);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_ProtocolError& wire, Plain& plain) {
  archive.enumeration(wire.code, plain.code, kLastErrorCode);
  archive.text(wire.message, plain.message);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_BackendRecord& wire, Plain& plain) {
  archive.text(wire.name, plain.name);
  archive.text(wire.address, plain.address);
  archive.text(wire.zone, plain.zone);
  archive.text(wire.region, plain.region);
  archive.text(wire.pool, plain.pool);
  archive.number(wire.runner, plain.runner);
  archive.number(wire.leaving, plain.leaving);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_BackendListRequest& wire, Plain& plain) {
  archive.text(wire.requester, plain.requester);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_BackendList& wire, Plain& plain) {
  archive.text(wire.sender, plain.sender);
  archive.records(wire.backends, plain.backends);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_BackendNote& wire, Plain& plain) {
  archive.text(wire.name, plain.name);
  archive.number(wire.loading_milliseconds, plain.loading_milliseconds);
  archive.text(wire.model, plain.model);
  archive.text(wire.weights_version, plain.weights_version);
  archive.number(wire.silent_milliseconds, plain.silent_milliseconds);
  archive.number(wire.heard, plain.heard);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_BackendNotes& wire, Plain& plain) {
  archive.records(wire.notes, plain.notes);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_CacheNotePart& wire, Plain& plain) {
  archive.text(wire.scope, plain.scope);
  archive.text(wire.model, plain.model);
  archive.number(wire.part, plain.part);
  archive.number(wire.tokens, plain.tokens);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_CacheNote& wire, Plain& plain) {
  archive.text(wire.backend, plain.backend);
  archive.number(wire.sequence, plain.sequence);
  archive.number(wire.complete, plain.complete);
  archive.records(wire.parts, plain.parts);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_CacheNotes& wire, Plain& plain) {
  archive.records(wire.notes, plain.notes);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_CacheWanted& wire, Plain& plain) {
  archive.text(wire.backend, plain.backend);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_ServingNotice& wire, Plain& plain) {
  archive.number(wire.requests_per_second, plain.requests_per_second);
  archive.number(wire.pressed, plain.pressed);
  archive.number(wire.leaving, plain.leaving);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_RelayedRow& wire, Plain& plain) {
  archive.text(wire.key, plain.key);
  archive.text(wire.value, plain.value);
  archive.number(wire.version, plain.version);
  archive.number(wire.gone, plain.gone);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_RelayedRows& wire, Plain& plain) {
  archive.number(wire.version, plain.version);
  archive.records(wire.rows, plain.rows);
  archive.number(wire.contact_age_milliseconds, plain.contact_age_milliseconds);
  archive.number(wire.held_milliseconds, plain.held_milliseconds);
  archive.number(wire.in_trouble, plain.in_trouble);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_CrashEvidenceRecord& wire, Plain& plain) {
  archive.number(wire.request_high, plain.request_high);
  archive.number(wire.request_low, plain.request_low);
  archive.number(wire.backend, plain.backend);
  archive.number(wire.sent_age_milliseconds, plain.sent_age_milliseconds);
  archive.number(wire.ended_age_milliseconds, plain.ended_age_milliseconds);
  archive.number(wire.part_position, plain.part_position);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_ClearedRequestRecord& wire, Plain& plain) {
  archive.number(wire.request_high, plain.request_high);
  archive.number(wire.request_low, plain.request_low);
  archive.number(wire.age_milliseconds, plain.age_milliseconds);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_LivingBackendRecord& wire, Plain& plain) {
  archive.number(wire.backend, plain.backend);
  archive.number(wire.age_milliseconds, plain.age_milliseconds);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_CrashNotes& wire, Plain& plain) {
  archive.records(wire.crashes, plain.crashes);
  archive.records(wire.cleared, plain.cleared);
  archive.records(wire.living, plain.living);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_StreamOriginRecord& wire, Plain& plain) {
  archive.number(wire.attempt, plain.attempt);
  archive.number(wire.build, plain.build);
  archive.number(wire.several_builds, plain.several_builds);
  archive.number(wire.sole_build, plain.sole_build);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_StreamOriginQuery& wire, Plain& plain) {
  archive.number(wire.attempt, plain.attempt);
  archive.number(wire.pool, plain.pool);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_StreamOrigins& wire, Plain& plain) {
  archive.records(wire.begun, plain.begun);
  archive.records(wire.queries, plain.queries);
  archive.records(wire.answers, plain.answers);
}

template <typename Archive, typename Plain>
void mapFields(Archive& archive, crankspur_wire_CrashDigest& wire, Plain& plain) {
  archive.number(wire.digest, plain.digest);
}

}  // namespace crankspur::wire
