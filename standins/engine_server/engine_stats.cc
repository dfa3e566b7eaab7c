// JSON encoding of GET /v1/stats of the engine stand-in.

#include <algorithm>
#include <boost/json/serialize.hpp>

#include "standins/engine_server/engine_codec.h"

namespace crankspur::standin {

namespace {

const char* outcomeName(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::Waiting:
      return "waiting";
    case RunOutcome::Running:
      return "running";
    case RunOutcome::Finished:
      return "finished";
    case RunOutcome::Cancelled:
      return "cancelled";
    case RunOutcome::Replaced:
      return "replaced";
    case RunOutcome::Orphaned:
      return "orphaned";
    case RunOutcome::Crashed:
      return "crashed";
  }
  return "waiting";
}

/// @return milliseconds since `start`, or null if `at` is not set.
boost::json::value millisecondsSince(TimePoint start, TimePoint at) {
  if (at == TimePoint{}) return nullptr;
  return toMilliseconds(at - start);
}

boost::json::object scopeJson(const CacheScope& scope) {
  boost::json::object object;
  object["tenant"] = scope.tenant;
  object["model"] = scope.model;
  object["adapter"] = scope.adapter;
  object["weights_version"] = scope.weights_version;
  return object;
}

boost::json::array originsJson(const std::vector<BlockOrigin>& origins) {
  boost::json::array array;
  for (const BlockOrigin& origin : origins) {
    boost::json::object object = scopeJson(*origin.scope);
    object["incarnation"] = origin.incarnation;
    object["imported"] = origin.imported;
    object["blocks"] = origin.blocks;
    array.push_back(std::move(object));
  }
  return array;
}

boost::json::object recordJson(const RequestRecord& record, TimePoint start) {
  boost::json::object object = scopeJson(*record.scope);
  object["request_id"] = record.request_id;
  object["attempt"] = record.attempt;
  object["incarnation"] = record.incarnation;
  object["expect_incarnation"] = record.expect_incarnation;
  object["expect_weights"] = record.expect_weights;
  object["priority"] = record.priority;
  object["resume_offset"] = record.resume_offset;
  object["prompt_tokens"] = record.prompt_tokens;
  object["cached_tokens"] = record.cached_tokens;
  object["imported_tokens"] = record.imported_tokens;
  object["recomputed_tokens"] = record.recomputed_tokens;
  object["answer_tokens"] = record.answer_tokens;
  object["used_blocks"] = originsJson(record.used_blocks);
  object["arrived_ms"] = millisecondsSince(start, record.arrived);
  object["started_ms"] = millisecondsSince(start, record.started);
  object["first_token_ms"] = millisecondsSince(start, record.first_token);
  object["ended_ms"] = millisecondsSince(start, record.ended);
  object["outcome"] = outcomeName(record.outcome);
  return object;
}

boost::json::object totalsJson(const EngineTotals& totals) {
  boost::json::object object;
  object["requests"] = totals.requests;
  object["refused"] = totals.refused;
  object["prompt_tokens"] = totals.prompt_tokens;
  object["cached_tokens"] = totals.cached_tokens;
  object["imported_tokens"] = totals.imported_tokens;
  object["recomputed_tokens"] = totals.recomputed_tokens;
  object["answer_tokens"] = totals.answer_tokens;
  object["evicted_blocks"] = totals.evicted_blocks;
  return object;
}

}  // namespace

std::string encodeStats(const EngineModel& model, TimePoint start, TimePoint now, std::size_t limit) {
  boost::json::array records;
  const std::size_t kept = model.records().size();
  for (std::size_t index = kept - std::min(kept, limit); index < kept; ++index) {
    records.push_back(recordJson(model.records()[index], start));
  }
  boost::json::array running;
  for (const RequestRecord& record : model.runningRecords()) running.push_back(recordJson(record, start));
  boost::json::object body;
  body["incarnation"] = model.incarnation();
  body["uptime_ms"] = toMilliseconds(now - start);
  body["frozen"] = model.frozen();
  body["totals"] = totalsJson(model.totals());
  body["running"] = std::move(running);
  body["records"] = std::move(records);
  return boost::json::serialize(body);
}

}  // namespace crankspur::standin
