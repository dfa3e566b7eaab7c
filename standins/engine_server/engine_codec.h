#pragma once
/// @file JSON encoding of the engine protocol on the engine's side; see docs/ARCHITECTURE.md "Model engine".

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/message.h"
#include "json/json_reader.h"
#include "standins/engine/engine_model.h"

namespace crankspur::standin {

/// Arguments of POST /v1/cancel.
struct CancelRequest {
  std::string request_id;
  std::uint32_t attempt = 0;
};

/// Faults that tests inject.
enum class EngineAction { None, Crash, Freeze, Thaw, Leave };

/// Body of POST /control; unset members leave the value unchanged.
struct EngineControl {
  std::optional<double> slowdown;
  std::optional<double> event_gap_probability;
  EngineAction action = EngineAction::None;
};

/// Decoders of request bodies; errors are reported to `problem`.
CompletionRequest decodeCompletionRequest(std::string_view body, JsonProblem& problem);
ResumeRequest decodeResumeRequest(std::string_view body, JsonProblem& problem);
CancelRequest decodeCancelRequest(std::string_view body, JsonProblem& problem);
EngineControl decodeControl(std::string_view body, JsonProblem& problem);
EngineOrder decodeOrder(std::string_view body, JsonProblem& problem);
std::vector<BlockHash> decodeBlocks(std::string_view body, JsonProblem& problem);

std::string encodeInfo(const EngineInfo& info);
std::string encodeLoad(const EngineLoadReport& load);
std::string encodeChanges(const CacheChanges& changes);
std::string encodeDigest(const CacheDigest& digest);
/// @return one server-sent event, including the terminating blank line.
std::string encodeEvent(const StreamAccepted& accepted);
std::string encodeEvent(const StreamTokens& tokens);
std::string encodeEvent(const StreamFinished& finished);
http::Response encodeRefusal(const StreamRefused& refusal);
/// Records and totals for tests. @param start time that the times of records are relative to. @param limit
/// maximum number of records; the latest are included.
std::string encodeStats(const EngineModel& model, TimePoint start, TimePoint now, std::size_t limit);

/// Parses "model:weights[:adapter,...];...".
/// @return the models, or empty with `problem` set.
std::vector<ServedModel> parseServedModels(std::string_view text, JsonProblem& problem);

/// Reports values that the model does not support, such as a speed of 0, to `problem`.
void checkTimings(const EngineTimings& timings, JsonProblem& problem);

/// @return the role of this name, or empty if there is none.
std::optional<ServingRole> parseRole(std::string_view name);

}  // namespace crankspur::standin
