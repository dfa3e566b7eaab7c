#include "operator/explain.h"

#include <boost/json/value.hpp>
#include <optional>

#include "json/json_fields.h"
#include "operator/text_table.h"
#include "platform_service/service_caller.h"

namespace crankspur {

namespace {

namespace json = boost::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;

std::string textOf(const json::object& object, std::string_view name) {
  return stringField(object, name).value_or("?");
}

std::string numberOf(const json::object& object, std::string_view name) {
  // Integers are printed without a conversion to double, which cannot represent every incarnation exactly.
  const json::value* integer = object.if_contains(json::string_view(name.data(), name.size()));
  if (integer != nullptr && integer->is_int64()) return fmt::format("{}", integer->get_int64());
  if (integer != nullptr && integer->is_uint64()) return fmt::format("{}", integer->get_uint64());
  const std::optional<double> value = numberField(object, name);
  return value ? fmt::format("{:.6g}", *value) : "?";
}

/// Prints the candidates and their estimates as a table.
void printCandidates(const json::object& record, Report& report) {
  const auto candidates = objectsField(record, "candidates");
  if (!candidates || candidates->empty()) {
    return;
  }
  std::vector<TableLine> lines = {
      {"  candidate", "cached blocks", "queue ms", "prefill ms", "import ms", "cost"}};
  for (const json::object* candidate : *candidates) {
    const std::string name =
        stringField(*candidate, "engine").value_or("slot " + numberOf(*candidate, "engine_slot"));
    lines.push_back({"  " + name, numberOf(*candidate, "cached_blocks"), numberOf(*candidate, "queue_ms"),
                     numberOf(*candidate, "prefill_ms"), numberOf(*candidate, "import_ms"),
                     numberOf(*candidate, "cost")});
  }
  report.output += formatTable(lines);
}

void printRecord(const json::object& record, Report& report) {
  report.print("request {} attempt {} at router {}", textOf(record, "request_id"),
               numberOf(record, "attempt"), textOf(record, "router"));
  report.print("  tenant {}, model {}, bundle version {}", textOf(record, "tenant"), textOf(record, "model"),
               numberOf(record, "bundle_version"));
  report.print("  chosen: engine {} (incarnation {}), weights {}", textOf(record, "engine"),
               numberOf(record, "engine_incarnation"), textOf(record, "weights_version"));
  report.print("  expected: {} cached blocks, first token after {} ms",
               numberOf(record, "expected_cached_blocks"), numberOf(record, "expected_first_token_ms"));
  if (const std::string source = stringField(record, "import_from").value_or(""); !source.empty()) {
    report.print("  imports {} blocks from {}", numberOf(record, "import_blocks"), source);
  }
  report.print("  happened: {}; {} of {} prompt tokens cached, first token after {} ms",
               textOf(record, "outcome"), numberOf(record, "cached_tokens"),
               numberOf(record, "prompt_tokens"), numberOf(record, "time_to_first_token_ms"));
  printCandidates(record, report);
}

/// Prints a gateway's record, which consists of the log lines that contain the request's id.
void printLogLines(const json::object& record, const json::array& lines, Report& report) {
  report.print("request {} at gateway {}", textOf(record, "request_id"), textOf(record, "gateway"));
  for (const json::value& line : lines) {
    if (line.is_string()) report.print("  {}", std::string_view(line.get_string()));
  }
}

}  // namespace

std::string explainTarget(const std::string& request_id) {
  return "/explain?request_id=" + percentEncode(request_id);
}

ExitCode printExplanation(const std::string& request_id, const std::vector<AdminResponse>& responses,
                          Report& report) {
  bool found = false;
  bool all_responded = true;
  for (const AdminResponse& response : responses) {
    const int status = response.response ? response.response->status : 0;
    const std::optional<json::object> record =
        status == kOk ? parseJsonObject(response.response->body) : std::nullopt;
    if (record) {
      const json::array* lines = arrayField(*record, "lines");
      if (lines != nullptr) {
        printLogLines(*record, *lines, report);
      } else {
        printRecord(*record, report);
      }
      found = true;
    } else if (status != kNotFound) {
      report.fail(ExitCode::Unavailable, "{}: no answer", response.address);
      all_responded = false;
    }
  }
  if (found) {
    return ExitCode::Ok;
  }
  if (!all_responded) {
    return ExitCode::Unavailable;
  }
  return report.fail(ExitCode::Refused, "no router keeps a record of request {}", request_id);
}

}  // namespace crankspur
