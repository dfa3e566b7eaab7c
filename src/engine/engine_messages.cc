#include "engine/engine_messages.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <cmath>

#include "base/hash.h"
#include "json/json_reader.h"

namespace crankspur {

namespace {

constexpr std::uint64_t kMaxAgeMilliseconds = 3'600'000;
constexpr double kMaxPrefillTokensPerSecond = 1e9;
constexpr double kMaxRetryAfterSeconds = 3600;

std::error_code toErrorCode(const JsonProblem& problem) {
  if (problem.found()) return ErrorCode::Malformed;
  return {};
}

const char* roleName(EngineRole role) {
  switch (role) {
    case EngineRole::Mixed:
      return "mixed";
    case EngineRole::Prefill:
      return "prefill";
    case EngineRole::Decode:
      return "decode";
  }
  return "mixed";
}

EngineRole readRole(const JsonReader& reader) {
  const std::string name = reader.requireString("role");
  for (const EngineRole role : {EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode}) {
    if (name == roleName(role)) return role;
  }
  reader.report("role", "must be mixed, prefill or decode");
  return EngineRole::Mixed;
}

const char* orderName(EngineOrderKind kind) {
  switch (kind) {
    case EngineOrderKind::LoadWeights:
      return "load_weights";
    case EngineOrderKind::LoadAdapter:
      return "load_adapter";
    case EngineOrderKind::SetRole:
      return "set_role";
    case EngineOrderKind::Drain:
      return "drain";
  }
  return "drain";
}

BackendAccepted readAccepted(const JsonReader& reader) {
  BackendAccepted accepted;
  accepted.incarnation = reader.requireUnsigned("incarnation");
  accepted.weights_version = reader.requireString("weights_version");
  accepted.prompt_tokens = reader.requireUnsigned32("prompt_tokens");
  accepted.cached_tokens = reader.requireUnsigned32("cached_tokens");
  if (accepted.cached_tokens > accepted.prompt_tokens) {
    reader.report("cached_tokens", "must not exceed prompt_tokens");
  }
  return accepted;
}

BackendPiece readPiece(const JsonReader& reader) {
  BackendPiece piece;
  piece.offset = reader.requireUnsigned("offset");
  piece.token_count = reader.requireUnsigned32("count");
  piece.text = reader.requireString("text");
  return piece;
}

BackendEnd readEnd(const JsonReader& reader) {
  BackendEnd end;
  end.token_count = reader.requireUnsigned("token_count");
  end.checksum = reader.requireHash("checksum");
  end.finish_reason = reader.requireString("finish_reason");
  return end;
}

RunState readRunState(const JsonReader& reader) {
  const std::string name = reader.getString("ran");
  if (name == "not_run") return RunState::NotRun;
  if (name == "ran") return RunState::Ran;
  return RunState::Unknown;
}

}  // namespace

std::string encodeCompletion(const DispatchCompletion& dispatch) {
  const SubmitRequest& request = dispatch.request;
  boost::json::object body;
  body["request_id"] = request.request_id;
  body["attempt"] = request.attempt;
  body["tenant"] = request.tenant;
  body["model"] = request.model;
  body["adapter"] = request.adapter;
  body["prompt"] = request.prompt;
  body["max_tokens"] = request.max_tokens;
  body["priority"] = request.priority;
  body["expect_incarnation"] = dispatch.expected_incarnation;
  body["expect_weights"] = dispatch.expected_weights;
  body["resume_offset"] = request.resume_offset;
  body["resume_text"] = request.resume_text;
  body["import_from"] = dispatch.import_from;
  body["import_blocks"] = dispatch.import_blocks;
  return boost::json::serialize(body);
}

std::string encodeResume(const EngineResumeRequest& resume) {
  boost::json::object body;
  body["request_id"] = resume.request_id;
  body["attempt"] = resume.attempt;
  body["expect_incarnation"] = resume.expect_incarnation;
  body["offset"] = resume.offset;
  return boost::json::serialize(body);
}

std::string encodeCancel(std::string_view request_id, std::uint32_t attempt) {
  boost::json::object body;
  body["request_id"] = boost::json::string_view(request_id.data(), request_id.size());
  body["attempt"] = attempt;
  return boost::json::serialize(body);
}

std::string encodeOrder(const EngineOrderRequest& order) {
  boost::json::object body;
  body["token"] = order.token;
  body["order"] = orderName(order.kind);
  body["expect_incarnation"] = order.expect_incarnation;
  if (!order.model.empty()) body["model"] = order.model;
  if (!order.weights_version.empty()) body["weights_version"] = order.weights_version;
  if (!order.adapter.empty()) body["adapter"] = order.adapter;
  if (order.kind == EngineOrderKind::SetRole) body["role"] = roleName(order.role);
  return boost::json::serialize(body);
}

std::error_code decodeDescription(std::string_view json, EngineDescription& out) {
  JsonProblem problem;
  const auto object = parseJsonObject(json, problem);
  if (!object) return ErrorCode::Malformed;
  const JsonReader reader(*object, problem);
  out.name = reader.requireString("name");
  out.incarnation = reader.requireUnsigned("incarnation");
  out.role = readRole(reader);
  out.leaving = reader.requireBool("leaving");
  out.models.clear();
  for (const JsonReader& model : reader.requireObjects("models")) {
    out.models.push_back(
        {model.requireString("model"), model.requireString("weights_version"), model.getStrings("adapters")});
  }
  out.batch_limit = reader.requireUnsigned32("batch_limit");
  out.cache_blocks_total = reader.requireUnsigned32("cache_blocks_total");
  return toErrorCode(problem);
}

std::error_code decodeLoad(std::string_view json, TimePoint now, EngineLoadResponse& out) {
  JsonProblem problem;
  const auto object = parseJsonObject(json, problem);
  if (!object) return ErrorCode::Malformed;
  const JsonReader reader(*object, problem);
  LoadReport& report = out.report;
  out.incarnation = reader.requireUnsigned("incarnation");
  report.measured_at = now - std::chrono::milliseconds(reader.requireUnsigned("age_ms", kMaxAgeMilliseconds));
  report.queued_tokens = reader.requireUnsigned32("queued_tokens");
  report.queued_requests = reader.requireUnsigned32("queued_requests");
  report.running_requests = reader.requireUnsigned32("running_requests");
  report.batch_limit = reader.requireUnsigned32("batch_limit");
  report.cache_blocks_total = reader.requireUnsigned32("cache_blocks_total");
  report.cache_blocks_used = reader.requireUnsigned32("cache_blocks_used");
  report.prefill_tokens_per_second =
      reader.requireNumber("prefill_tokens_per_second", 1, kMaxPrefillTokensPerSecond);
  return toErrorCode(problem);
}

std::error_code decodeCacheEvents(std::string_view json, CacheEventsResponse& out) {
  JsonProblem problem;
  const auto object = parseJsonObject(json, problem);
  if (!object) return ErrorCode::Malformed;
  const JsonReader reader(*object, problem);
  out.incarnation = reader.requireUnsigned("incarnation");
  out.last_sequence = reader.requireUnsigned("last_sequence");
  out.events.clear();
  std::uint64_t previous_sequence = 0;
  for (const JsonReader& event : reader.requireObjects("events")) {
    const std::uint64_t sequence = event.requireUnsigned("sequence");
    if (sequence <= previous_sequence) reader.report("events", "must have growing sequences from 1");
    previous_sequence = sequence;
    out.events.push_back({sequence, event.requireHashes("stored"), event.requireHashes("removed")});
  }
  return toErrorCode(problem);
}

std::error_code decodeCacheDigest(std::string_view json, CacheDigestResponse& out) {
  JsonProblem problem;
  const auto object = parseJsonObject(json, problem);
  if (!object) return ErrorCode::Malformed;
  const JsonReader reader(*object, problem);
  out.incarnation = reader.requireUnsigned("incarnation");
  out.sequence = reader.requireUnsigned("sequence");
  out.blocks = reader.requireHashes("blocks");
  return toErrorCode(problem);
}

std::error_code decodeStreamEvent(std::string_view json, BackendEvent& out) {
  JsonProblem problem;
  const auto object = parseJsonObject(json, problem);
  if (!object) return ErrorCode::Malformed;
  const JsonReader reader(*object, problem);
  const std::string type = reader.requireString("type");
  if (type == "accepted") {
    out = readAccepted(reader);
  } else if (type == "tokens") {
    out = readPiece(reader);
  } else if (type == "end") {
    out = readEnd(reader);
  } else {
    reader.report("type", "must be accepted, tokens or end");
  }
  return toErrorCode(problem);
}

EngineErrorResponse decodeError(std::string_view json) {
  EngineErrorResponse error;
  error.code = ErrorCode::Malformed;
  JsonProblem problem;
  const auto object = parseJsonObject(json, problem);
  if (!object) return error;
  const JsonReader reader = JsonReader(*object, problem).requireObject("error");
  const std::string code = reader.requireString("code");
  error.message = reader.getString("message");
  if (problem.found()) return error;
  error.code = errorFromName(code).value_or(ErrorCode::Internal);
  error.ran = readRunState(reader);
  return error;
}

Duration decodeRetryAfter(std::string_view header) {
  double seconds = 0;
  const auto [end, parse_error] = std::from_chars(header.data(), header.data() + header.size(), seconds);
  const bool fully_parsed = parse_error == std::errc() && end == header.data() + header.size();
  if (!fully_parsed || !std::isfinite(seconds) || seconds < 0) return Duration{0};
  const double bounded = std::min(seconds, kMaxRetryAfterSeconds);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bounded));
}

}  // namespace crankspur
