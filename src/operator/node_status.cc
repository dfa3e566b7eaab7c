#include "operator/node_status.h"

#include <algorithm>

#include "bundle/bundle_row.h"
#include "json/json_fields.h"
#include "operator/text_table.h"

namespace crankspur {

namespace {

constexpr int kOk = 200;

std::optional<NodeStatus> statusOf(const AdminResponse& response) {
  if (!response.response || response.response->status != kOk) {
    return std::nullopt;
  }
  return parseNodeStatus(response.response->body);
}

std::optional<std::size_t> arraySize(const boost::json::object& object, std::string_view name) {
  const boost::json::array* array = arrayField(object, name);
  return array == nullptr ? std::nullopt : std::optional<std::size_t>(array->size());
}

std::string countText(const std::optional<std::size_t>& count) {
  return count ? fmt::to_string(*count) : "-";
}

std::string platformText(const std::optional<bool>& reachable) {
  if (!reachable) {
    return "-";
  }
  return *reachable ? "reachable" : "unreachable";
}

TableLine statusLine(const AdminResponse& response, const std::optional<NodeStatus>& status) {
  if (!status) {
    return {response.address, "-", "-", "-", "-", "-", "-", "-", "-", "-", "no answer"};
  }
  return {status->name,
          status->role,
          status->zone,
          status->region,
          fmt::to_string(status->bundle_version),
          fmt::to_string(status->requests_in_flight),
          countText(status->members),
          countText(status->engines),
          platformText(status->platform_reachable),
          status->claim_mode.empty() ? "-" : status->claim_mode,
          status->stopping ? "stopping" : "serving"};
}

/// The accepted bundle row, if the platform responded and has one.
struct AcceptedRow {
  bool responded = false;
  std::optional<BundleRow> row;
};

AcceptedRow readAccepted(PlatformPort& platform, Report& report) {
  const ReadResult result = platform.readRow(bundleRowKey());
  const auto* row = std::get_if<TableRow>(&result);
  if (row == nullptr) {
    report.fail(ExitCode::Unavailable, "the platform did not answer");
    return {};
  }
  const std::optional<BundleRow> accepted = parseBundleRow(row->value);
  if (accepted) {
    report.print("accepted: version {} sha256 {} rolled by {}", accepted->version, accepted->document_sha256,
                 accepted->rolled_by);
  } else {
    report.print("accepted: none");
  }
  return {true, accepted};
}

std::string bundleStateText(std::uint64_t held, const AcceptedRow& accepted) {
  if (!accepted.row) {
    return "-";
  }
  if (held < accepted.row->version) {
    return "behind";
  }
  return held == accepted.row->version ? "in force" : "newer than the row";
}

}  // namespace

std::optional<NodeStatus> parseNodeStatus(std::string_view text) {
  const std::optional<boost::json::object> object = parseJsonObject(text);
  if (!object) {
    return std::nullopt;
  }
  const auto name = stringField(*object, "name");
  const auto role = stringField(*object, "role");
  const auto bundle_version = unsignedField(*object, "bundle_version");
  if (!name || !role || !bundle_version) {
    return std::nullopt;
  }
  NodeStatus status;
  status.name = *name;
  status.role = *role;
  status.zone = stringField(*object, "zone").value_or("");
  status.region = stringField(*object, "region").value_or("");
  status.version = stringField(*object, "version").value_or("");
  status.bundle_version = *bundle_version;
  status.requests_in_flight = unsignedField(*object, "requests_in_flight").value_or(0);
  status.stopping = boolField(*object, "stopping").value_or(false);
  status.platform_reachable = boolField(*object, "platform_reachable");
  status.members = arraySize(*object, "members");
  status.engines = arraySize(*object, "engines");
  const boost::json::value* claims = object->if_contains("claims");
  if (claims != nullptr && claims->is_object()) {
    status.claim_mode = stringField(claims->get_object(), "mode").value_or("");
  }
  return status;
}

ExitCode printNodeStatus(const std::vector<AdminResponse>& responses, Report& report) {
  std::vector<TableLine> lines = {{"NODE", "ROLE", "ZONE", "REGION", "BUNDLE", "IN_FLIGHT", "MEMBERS",
                                   "ENGINES", "PLATFORM", "CLAIMS", "STATE"}};
  ExitCode code = ExitCode::Ok;
  for (const AdminResponse& response : responses) {
    const std::optional<NodeStatus> status = statusOf(response);
    code = status ? code : ExitCode::Unavailable;
    lines.push_back(statusLine(response, status));
  }
  report.output += formatTable(lines);
  return code;
}

ExitCode printBundleStatus(PlatformPort& platform, const std::vector<AdminResponse>& responses,
                           Report& report) {
  const AcceptedRow accepted = readAccepted(platform, report);
  std::vector<TableLine> lines = {{"NODE", "ROLE", "ZONE", "BUNDLE", "HOLDS"}};
  bool all_responded = accepted.responded;
  bool all_hold = true;
  for (const AdminResponse& response : responses) {
    const std::optional<NodeStatus> status = statusOf(response);
    if (!status) {
      all_responded = false;
      lines.push_back({response.address, "-", "-", "-", "no answer"});
      continue;
    }
    all_hold = all_hold && (!accepted.row || status->bundle_version >= accepted.row->version);
    lines.push_back({status->name, status->role, status->zone, fmt::to_string(status->bundle_version),
                     bundleStateText(status->bundle_version, accepted)});
  }
  report.output += formatTable(lines);
  if (!all_responded) {
    return ExitCode::Unavailable;
  }
  return all_hold ? ExitCode::Ok : ExitCode::Refused;
}

}  // namespace crankspur
