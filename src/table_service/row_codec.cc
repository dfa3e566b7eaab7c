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

std::string encodeLeaseRow(const LeaseRow& row) {
  return json::serialize(
      json::object{{"holder", row.holder}, {"token", row.token}, {"renewal", row.renewal}});
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
  return LeaseRow{*holder, *token, *renewal, row.version};
}

}  // namespace crankspur
