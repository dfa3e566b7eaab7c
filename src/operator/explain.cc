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

std::string text(const json::object& object, std::string_view name) {
  return stringField(object, name).value_or("?");
}

std::string number(const json::object& object, std::string_view name) {
  // Whole numbers are printed digit by digit: an incarnation has more of them than a double holds.
  const json::value* whole = object.if_contains(json::string_view(name.data(), name.size()));
  if (whole != nullptr && whole->is_int64()) return fmt::format("{}", whole->get_int64());
  if (whole != nullptr && whole->is_uint64()) return fmt::format("{}", whole->get_uint64());
  const std::optional<double> value = numberField(object, name);
  return value ? fmt::format("{:.6g}", *value) : "?";
}

/// Prints the candidates with their estimates.
void printCandidates(const json::object& record, Report& report) {
  const auto candidates = objectsField(record, "candidates");
  if (!candidates || candidates->empty()) {
    return;
  }
  std::vector<TableLine> lines = {
      {"  candidate", "cached blocks", "queue ms", "prefill ms", "import ms", "cost"}};
  for (const json::object* candidate : *candidates) {
    const std::string name =
        stringField(*candidate, "engine").value_or("slot " + number(*candidate, "engine_slot"));
    lines.push_back({"  " + name, number(*candidate, "cached_blocks"), number(*candidate, "queue_ms"),
                     number(*candidate, "prefill_ms"), number(*candidate, "import_ms"),
                     number(*candidate, "cost")});
  }
  report.output += formatTable(lines);
}

void printRecord(const json::object& record, Report& report) {
  report.print("request {} attempt {} at router {}", text(record, "request_id"), number(record, "attempt"),
               text(record, "router"));
  report.print("  tenant {}, model {}, bundle version {}", text(record, "tenant"), text(record, "model"),
               number(record, "bundle_version"));
  report.print("  chosen: engine {} (incarnation {}), weights {}", text(record, "engine"),
               number(record, "engine_incarnation"), text(record, "weights_version"));
  report.print("  expected: {} cached blocks, first token after {} ms",
               number(record, "expected_cached_blocks"), number(record, "expected_first_token_ms"));
  if (const std::string source = stringField(record, "import_from").value_or(""); !source.empty()) {
    report.print("  imports {} blocks from {}", number(record, "import_blocks"), source);
  }
  report.print("  happened: {}; {} of {} prompt tokens cached, first token after {} ms",
               text(record, "outcome"), number(record, "cached_tokens"), number(record, "prompt_tokens"),
               number(record, "time_to_first_token_ms"));
  printCandidates(record, report);
}

/// A gateway keeps the lines of its log that name the request.
void printLines(const json::object& record, const json::array& lines, Report& report) {
  report.print("request {} at gateway {}", text(record, "request_id"), text(record, "gateway"));
  for (const json::value& line : lines) {
    if (line.is_string()) report.print("  {}", std::string_view(line.get_string()));
  }
}

}  // namespace

std::string explainTarget(const std::string& request_id) {
  return "/explain?request_id=" + percentEncode(request_id);
}

ExitCode printExplanation(const std::string& request_id, const std::vector<AdminAnswer>& answers,
                          Report& report) {
  bool found = false;
  bool all_answered = true;
  for (const AdminAnswer& answer : answers) {
    const int status = answer.response ? answer.response->status : 0;
    const std::optional<json::object> record =
        status == kOk ? parseJsonObject(answer.response->body) : std::nullopt;
    if (record) {
      const json::array* lines = arrayField(*record, "lines");
      if (lines != nullptr) {
        printLines(*record, *lines, report);
      } else {
        printRecord(*record, report);
      }
      found = true;
    } else if (status != kNotFound) {
      report.fail(ExitCode::Unavailable, "{}: no answer", answer.address);
      all_answered = false;
    }
  }
  if (found) {
    return ExitCode::Ok;
  }
  if (!all_answered) {
    return ExitCode::Unavailable;
  }
  return report.fail(ExitCode::Refused, "no router keeps a record of request {}", request_id);
}

}  // namespace crankspur
