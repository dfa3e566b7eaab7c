#include "table_service/row_codec.h"

#include <fmt/format.h>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "json/json_fields.h"

namespace crankspur {

namespace json = boost::json;

namespace {

const char* phaseName(ClaimRow::Phase phase) {
  switch (phase) {
    case ClaimRow::Phase::Claimed:
      return "claimed";
    case ClaimRow::Phase::Done:
      return "done";
    case ClaimRow::Phase::Released:
      return "released";
  }
  return "claimed";
}

std::optional<ClaimRow::Phase> phaseFromName(std::string_view name) {
  for (const ClaimRow::Phase phase :
       {ClaimRow::Phase::Claimed, ClaimRow::Phase::Done, ClaimRow::Phase::Released}) {
    if (name == phaseName(phase)) {
      return phase;
    }
  }
  return std::nullopt;
}

}  // namespace

std::string leaseRowKey(std::string_view lease_name) {
  return fmt::format("crankspur/lease/{}", lease_name);
}

std::string encodeClaimRow(const ClaimRow& row) {
  return json::serialize(json::object{{"phase", phaseName(row.phase)},
                                      {"token", row.token},
                                      {"body_hash", row.body_hash},
                                      {"result", row.result}});
}

std::optional<ClaimRow> decodeClaimRow(const TableRow& row) {
  if (row.version == 0) {
    return ClaimRow{};
  }
  const std::optional<json::object> object = parseJsonObject(row.value);
  if (!object) {
    return std::nullopt;
  }
  const auto phase = phaseFromName(stringField(*object, "phase").value_or(""));
  const auto token = stringField(*object, "token");
  const auto body_hash = stringField(*object, "body_hash");
  const auto result = stringField(*object, "result");
  if (!phase || !token || !body_hash || !result) {
    return std::nullopt;
  }
  return ClaimRow{*phase, *token, *body_hash, *result, row.version};
}

std::string encodeClaimGroupRow(const ClaimGroupRow& row) {
  json::array members;
  for (const ClaimGroupMember& member : row.members) {
    members.push_back(json::object{{"address", member.address}, {"incarnation", member.incarnation}});
  }
  return json::serialize(
      json::object{{"epoch", row.epoch}, {"installer", row.installer}, {"members", std::move(members)}});
}

std::optional<ClaimGroupRow> decodeClaimGroupRow(const TableRow& row) {
  ClaimGroupRow group;
  group.row_version = row.version;
  if (row.version == 0) {
    return group;
  }
  const std::optional<json::object> object = parseJsonObject(row.value);
  if (!object) {
    return std::nullopt;
  }
  const auto epoch = unsignedField(*object, "epoch");
  const auto installer = stringField(*object, "installer");
  const json::array* members = arrayField(*object, "members");
  if (!epoch || *epoch == 0 || !installer || members == nullptr || members->empty()) {
    return std::nullopt;
  }
  group.epoch = *epoch;
  group.installer = *installer;
  for (const json::value& value : *members) {
    const json::object* member = value.if_object();
    const auto address = member == nullptr ? std::nullopt : stringField(*member, "address");
    const auto incarnation = member == nullptr ? std::nullopt : unsignedField(*member, "incarnation");
    if (!address || !incarnation) {
      return std::nullopt;
    }
    group.members.push_back({*address, *incarnation});
  }
  return group;
}

std::string encodeLeaseRow(const LeaseRow& row) {
  return json::serialize(json::object{{"holder", row.holder},
                                      {"token", row.token},
                                      {"renewal", row.renewal},
                                      {"sent_ms", row.sent_ms},
                                      {"writer", row.writer}});
}

std::optional<LeaseRow> decodeLeaseRow(const TableRow& row) {
  if (row.version == 0) {
    return LeaseRow{};
  }
  const std::optional<json::object> object = parseJsonObject(row.value);
  if (!object) {
    return std::nullopt;
  }
  const auto holder = stringField(*object, "holder");
  const auto token = unsignedField(*object, "token");
  const auto renewal = unsignedField(*object, "renewal");
  if (!holder || !token || !renewal) {
    return std::nullopt;
  }
  LeaseRow lease{*holder, *token, *renewal, row.version};
  lease.sent_ms = unsignedField(*object, "sent_ms").value_or(0);
  lease.writer = unsignedField(*object, "writer").value_or(0);
  return lease;
}

}  // namespace crankspur
