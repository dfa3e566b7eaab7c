#pragma once
/// @file Drives an EngineModel on a virtual clock for tests.

#include <algorithm>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "standins/engine/engine_model.h"

namespace crankspur::standin {

/// The events received on one stream so far.
struct StreamLog {
  std::vector<StreamAccepted> accepted;
  std::vector<StreamRefused> refused;
  std::vector<StreamFinished> finished;
  std::string text;
  std::uint64_t next_offset = 0;
  bool contiguous = true;
  bool aborted = false;
};

/// An engine, its virtual clock and the events of its streams.
class EngineDriver {
public:
  explicit EngineDriver(EngineTimings timings = {}, EngineOptions options = oneModel())
      : model(std::move(options), timings, 7, now) {}

  static EngineOptions oneModel() {
    EngineOptions options;
    options.name = "engine-1";
    options.models = {{"small", "w1", {"franchise"}}};
    return options;
  }

  static CompletionRequest request(const std::string& id, std::size_t prompt_tokens,
                                   std::uint32_t max_tokens = 8) {
    CompletionRequest request;
    request.request_id = id;
    request.tenant = "parts";
    request.model = "small";
    request.prompt = std::string(prompt_tokens * kBytesPerToken, 'p');
    request.max_tokens = max_tokens;
    return request;
  }

  StreamId submit(const CompletionRequest& request) {
    const StreamId stream = ++last_stream_;
    model.submit(stream, request, now);
    collectOutputs();
    return stream;
  }

  StreamId resume(const ResumeRequest& request) {
    const StreamId stream = ++last_stream_;
    model.resume(stream, request, now);
    collectOutputs();
    return stream;
  }

  /// Advances the clock by `duration`, running each timer when it is due.
  void advance(Duration duration) {
    const TimePoint end = now + duration;
    while (true) {
      const auto due = model.nextTimer();
      if (!due || *due > end) break;
      now = std::max(now, *due);
      model.onTimer(now);
      collectOutputs();
    }
    now = end;
  }

  void collectOutputs() {
    for (const EngineOutput& output : model.takeOutputs()) {
      if (const auto* event = std::get_if<StreamOutput>(&output)) recordEvent(*event);
      if (const auto* query = std::get_if<WeightsQuery>(&output)) weights_queries.push_back(*query);
      if (const auto* query = std::get_if<ImportQuery>(&output)) import_queries.push_back(*query);
    }
  }

  const RequestRecord& record(const std::string& id) const {
    for (const RequestRecord& record : model.records()) {
      if (record.request_id == id) return record;
    }
    throw std::runtime_error("no record of " + id);
  }

  TimePoint now{std::chrono::seconds(100)};
  EngineModel model;
  std::map<StreamId, StreamLog> streams;
  std::vector<WeightsQuery> weights_queries;
  std::vector<ImportQuery> import_queries;

private:
  void recordEvent(const StreamOutput& output) {
    StreamLog& log = streams[output.stream];
    if (const auto* accepted = std::get_if<StreamAccepted>(&output.event)) log.accepted.push_back(*accepted);
    if (const auto* refused = std::get_if<StreamRefused>(&output.event)) log.refused.push_back(*refused);
    if (const auto* finished = std::get_if<StreamFinished>(&output.event)) log.finished.push_back(*finished);
    if (std::holds_alternative<StreamAborted>(output.event)) log.aborted = true;
    if (const auto* tokens = std::get_if<StreamTokens>(&output.event)) {
      if (log.text.empty()) log.next_offset = tokens->offset;
      log.contiguous = log.contiguous && tokens->offset == log.next_offset;
      log.next_offset = tokens->offset + tokens->count;
      log.text += tokens->text;
    }
  }

  StreamId last_stream_ = 0;
};

}  // namespace crankspur::standin
