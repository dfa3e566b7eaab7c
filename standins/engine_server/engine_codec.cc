#include "standins/engine_server/engine_codec.h"

#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <boost/json/serialize.hpp>

#include "base/hash.h"

namespace crankspur::standin {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

const char* roleName(ServingRole role) {
  switch (role) {
    case ServingRole::Mixed:
      return "mixed";
    case ServingRole::Prefill:
      return "prefill";
    case ServingRole::Decode:
      return "decode";
  }
  return "mixed";
}

int statusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::Overloaded:
    case ErrorCode::RateLimited:
      return kTooManyRequests;
    case ErrorCode::Stopping:
      return kUnavailable;
    case ErrorCode::IncarnationMismatch:
    case ErrorCode::WeightsMismatch:
    case ErrorCode::Stale:
      return kConflict;
    case ErrorCode::UnknownModel:
    case ErrorCode::EngineLost:
      return kNotFound;
    case ErrorCode::TooLarge:
      return kTooLarge;
    default:
      return kBadRequest;
  }
}

OrderKind readOrderKind(const JsonReader& reader) {
  const std::string name = reader.requireString("order");
  if (name == "load_weights") return OrderKind::LoadWeights;
  if (name == "load_adapter") return OrderKind::LoadAdapter;
  if (name == "set_role") return OrderKind::SetRole;
  if (name != "drain") reader.report("order", "must be load_weights, load_adapter, set_role or drain");
  return OrderKind::Drain;
}

ServingRole readRole(const JsonReader& reader) {
  const std::optional<ServingRole> role = parseRole(reader.requireString("role"));
  if (!role) reader.report("role", "must be mixed, prefill or decode");
  return role.value_or(ServingRole::Mixed);
}

EngineAction readAction(const JsonReader& reader) {
  const std::string name = reader.getString("action");
  if (name == "crash") return EngineAction::Crash;
  if (name == "freeze") return EngineAction::Freeze;
  if (name == "thaw") return EngineAction::Thaw;
  if (name == "leave") return EngineAction::Leave;
  if (reader.has("action")) reader.report("action", "must be crash, freeze, thaw or leave");
  return EngineAction::None;
}

std::string eventLine(const boost::json::object& event) {
  return "data: " + boost::json::serialize(event) + "\n\n";
}

}  // namespace

std::optional<ServingRole> parseRole(std::string_view name) {
  for (const ServingRole role : {ServingRole::Mixed, ServingRole::Prefill, ServingRole::Decode}) {
    if (name == roleName(role)) return role;
  }
  return std::nullopt;
}

CompletionRequest decodeCompletionRequest(std::string_view body, JsonProblem& problem) {
  CompletionRequest request;
  const auto object = parseJsonObject(body, problem);
  if (!object) return request;
  const JsonReader reader(*object, problem);
  request.request_id = reader.requireString("request_id");
  request.attempt = reader.requireUnsigned32("attempt");
  request.tenant = reader.requireString("tenant");
  request.model = reader.requireString("model");
  request.adapter = reader.getString("adapter");
  request.prompt = reader.requireString("prompt");
  request.max_tokens = reader.requireUnsigned32("max_tokens");
  request.priority = reader.getUnsigned32("priority", request.priority);
  request.expect_incarnation = reader.getUnsigned("expect_incarnation", 0);
  request.expect_weights = reader.getString("expect_weights");
  request.resume_offset = reader.getUnsigned("resume_offset", 0);
  request.resume_text = reader.getString("resume_text");
  request.import_from = reader.getString("import_from");
  request.import_blocks = reader.getUnsigned32("import_blocks", 0);
  return request;
}

ResumeRequest decodeResumeRequest(std::string_view body, JsonProblem& problem) {
  ResumeRequest request;
  const auto object = parseJsonObject(body, problem);
  if (!object) return request;
  const JsonReader reader(*object, problem);
  request.request_id = reader.requireString("request_id");
  request.attempt = reader.requireUnsigned32("attempt");
  request.expect_incarnation = reader.getUnsigned("expect_incarnation", 0);
  request.offset = reader.requireUnsigned("offset");
  return request;
}

CancelRequest decodeCancelRequest(std::string_view body, JsonProblem& problem) {
  const auto object = parseJsonObject(body, problem);
  if (!object) return {};
  const JsonReader reader(*object, problem);
  return {reader.requireString("request_id"), reader.requireUnsigned32("attempt")};
}

EngineControl decodeControl(std::string_view body, JsonProblem& problem) {
  constexpr double kMaxSlowdown = 1000;
  EngineControl control;
  const auto object = parseJsonObject(body, problem);
  if (!object) return control;
  const JsonReader reader(*object, problem);
  if (reader.has("slowdown")) control.slowdown = reader.requireNumber("slowdown", 1, kMaxSlowdown);
  if (reader.has("event_gap_probability")) {
    control.event_gap_probability = reader.requireNumber("event_gap_probability", 0, 1);
  }
  control.action = readAction(reader);
  return control;
}

EngineOrder decodeOrder(std::string_view body, JsonProblem& problem) {
  EngineOrder order;
  const auto object = parseJsonObject(body, problem);
  if (!object) return order;
  const JsonReader reader(*object, problem);
  order.token = reader.requireUnsigned("token");
  order.kind = readOrderKind(reader);
  order.expect_incarnation = reader.getUnsigned("expect_incarnation", 0);
  if (order.kind == OrderKind::LoadWeights) order.weights_version = reader.requireString("weights_version");
  if (order.kind == OrderKind::LoadAdapter) order.adapter = reader.requireString("adapter");
  if (order.kind == OrderKind::SetRole) order.role = readRole(reader);
  const bool requires_model = order.kind == OrderKind::LoadWeights || order.kind == OrderKind::LoadAdapter;
  if (requires_model) order.model = reader.requireString("model");
  return order;
}

std::vector<BlockHash> decodeBlocks(std::string_view body, JsonProblem& problem) {
  const auto object = parseJsonObject(body, problem);
  if (!object) return {};
  return JsonReader(*object, problem).requireHashes("blocks");
}

std::string encodeInfo(const EngineInfo& info) {
  boost::json::array models;
  for (const ServedModel& served : info.models) {
    boost::json::array adapters(served.adapters.begin(), served.adapters.end());
    models.push_back({{"model", served.model},
                      {"weights_version", served.weights_version},
                      {"adapters", std::move(adapters)}});
  }
  boost::json::object body;
  body["name"] = info.name;
  body["incarnation"] = info.incarnation;
  body["role"] = roleName(info.role);
  body["leaving"] = info.leaving;
  body["models"] = std::move(models);
  body["batch_limit"] = info.batch_limit;
  body["cache_blocks_total"] = info.cache_blocks_total;
  body["order_token"] = info.order_token;
  return boost::json::serialize(body);
}

std::string encodeLoad(const EngineLoadReport& load) {
  boost::json::object body;
  body["incarnation"] = load.incarnation;
  body["age_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(load.age).count();
  body["queued_tokens"] = load.queued_tokens;
  body["queued_requests"] = load.queued_requests;
  body["running_requests"] = load.running_requests;
  body["batch_limit"] = load.batch_limit;
  body["cache_blocks_total"] = load.cache_blocks_total;
  body["cache_blocks_used"] = load.cache_blocks_used;
  body["prefill_tokens_per_second"] = load.prefill_tokens_per_second;
  return boost::json::serialize(body);
}

std::string encodeChanges(const CacheChanges& changes) {
  boost::json::array events;
  for (const CacheChange& change : changes.events) {
    events.push_back({{"sequence", change.sequence},
                      {"stored", hashesToJson(change.stored)},
                      {"removed", hashesToJson(change.removed)}});
  }
  boost::json::object body;
  body["incarnation"] = changes.incarnation;
  body["last_sequence"] = changes.last_sequence;
  body["events"] = std::move(events);
  return boost::json::serialize(body);
}

std::string encodeDigest(const CacheDigest& digest) {
  boost::json::object body;
  body["incarnation"] = digest.incarnation;
  body["sequence"] = digest.sequence;
  body["blocks"] = hashesToJson(digest.blocks);
  return boost::json::serialize(body);
}

std::string encodeEvent(const StreamAccepted& accepted) {
  boost::json::object event;
  event["type"] = "accepted";
  event["incarnation"] = accepted.incarnation;
  event["weights_version"] = accepted.weights_version;
  event["prompt_tokens"] = accepted.prompt_tokens;
  event["cached_tokens"] = accepted.cached_tokens;
  return eventLine(event);
}

std::string encodeEvent(const StreamTokens& tokens) {
  boost::json::object event;
  event["type"] = "tokens";
  event["offset"] = tokens.offset;
  event["count"] = tokens.count;
  event["text"] = tokens.text;
  return eventLine(event);
}

std::string encodeEvent(const StreamFinished& finished) {
  boost::json::object event;
  event["type"] = "end";
  event["token_count"] = finished.token_count;
  event["checksum"] = toHex(finished.checksum);
  event["finish_reason"] = finished.finish_reason;
  event["cached_tokens"] = finished.cached_tokens;
  return eventLine(event);
}

http::Response encodeRefusal(const StreamRefused& refusal) {
  const char* ran = refusal.ran == RanState::NotRun ? "not_run" : "unknown";
  http::Response response =
      http::errorResponse(statusOf(refusal.code), errorName(refusal.code), refusal.message, ran);
  const bool retryable = refusal.retry_after > Duration{0} || refusal.code == ErrorCode::Overloaded;
  if (retryable) response.headers["Retry-After"] = fmt::format("{:.3f}", toSeconds(refusal.retry_after));
  return response;
}

std::vector<ServedModel> parseServedModels(std::string_view text, JsonProblem& problem) {
  std::vector<ServedModel> models;
  const std::vector<std::string> entries = absl::StrSplit(std::string(text), ';', absl::SkipEmpty());
  for (const std::string& entry : entries) {
    const std::vector<std::string> parts = absl::StrSplit(entry, ':');
    const bool complete = parts.size() == 2 || parts.size() == 3;
    if (!complete || parts[0].empty() || parts[1].empty()) {
      problem.record("models", "must be model:weights[:adapter,...];... but one part is \"" + entry + "\"");
      return {};
    }
    ServedModel served{parts[0], parts[1], {}};
    if (parts.size() == 3) served.adapters = absl::StrSplit(parts[2], ',', absl::SkipEmpty());
    models.push_back(std::move(served));
  }
  if (models.empty()) problem.record("models", "must name at least one model");
  return models;
}

void checkTimings(const EngineTimings& timings, JsonProblem& problem) {
  const auto check = [&problem](bool valid, std::string_view key, std::string_view reason) {
    if (!valid) problem.record(key, reason);
  };
  check(timings.prefill_tokens_per_second > 0, "prefill_tokens_per_second", "must be above 0");
  check(timings.import_tokens_per_second > 0, "import_tokens_per_second", "must be above 0");
  check(timings.prefill_chunk_tokens > 0, "prefill_chunk_tokens", "must be above 0");
  check(timings.prefill_chunk_base >= Duration{0}, "prefill_chunk_base_ms", "must not be below 0");
  check(timings.decode_step_base > Duration{0}, "decode_step_ms", "must be above 0");
  check(timings.decode_step_per_request >= Duration{0}, "decode_step_per_request_ms", "must not be below 0");
  check(timings.decode_slowdown_while_prefilling >= 1, "decode_slowdown_while_prefilling",
        "must be at least 1");
  check(timings.batch_limit > 0, "batch_limit", "must be above 0");
  check(timings.cache_blocks > 0, "cache_blocks", "must be above 0");
  const double gap_probability = timings.event_gap_probability;
  check(gap_probability >= 0 && gap_probability <= 1, "event_gap_probability", "must be from 0 to 1");
  check(timings.event_delay >= Duration{0}, "event_delay_ms", "must not be below 0");
  check(timings.load_lag >= Duration{0}, "load_lag_ms", "must not be below 0");
  check(timings.weights_load >= Duration{0}, "weights_load_ms", "must not be below 0");
}

}  // namespace crankspur::standin
