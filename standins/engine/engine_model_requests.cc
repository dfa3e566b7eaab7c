// Request lifecycle of EngineModel: refusal, streams, resume, cancel, end of a run.

#include <algorithm>

#include "base/hash.h"
#include "standins/engine/engine_model.h"

namespace crankspur::standin {

namespace {

constexpr Duration kRetryAfterWeights = std::chrono::seconds(1);
constexpr Duration kRetryAfterStopping = std::chrono::seconds(1);

StreamRefused notRun(ErrorCode code, std::string message, Duration retry_after = Duration{0}) {
  return {code, RanState::NotRun, retry_after, std::move(message)};
}

std::uint32_t blocksOfTokens(std::uint64_t tokens) {
  return static_cast<std::uint32_t>((tokens + kTokensPerBlock - 1) / kTokensPerBlock);
}

}  // namespace

void EngineModel::submit(StreamId stream, const CompletionRequest& request, TimePoint now) {
  if (const auto refusal = findRefusal(request)) {
    refuse(stream, *refusal);
    return;
  }
  if (!supersede(stream, request, now)) return;
  addRun(stream, makeRun(request, now));
  advance(now);
}

std::optional<StreamRefused> EngineModel::findRefusal(const CompletionRequest& request) const {
  if (auto refusal = findFormatRefusal(request)) return refusal;
  if (auto refusal = findIdentityRefusal(request)) return refusal;
  return findOverloadRefusal(request);
}

std::optional<StreamRefused> EngineModel::findFormatRefusal(const CompletionRequest& request) const {
  if (request.request_id.empty()) return notRun(ErrorCode::InvalidRequest, "request_id is empty");
  if (request.prompt.empty()) return notRun(ErrorCode::InvalidRequest, "prompt is empty");
  if (request.resume_text.size() != request.resume_offset * kBytesPerToken) {
    return notRun(ErrorCode::InvalidRequest, "resume_text does not have resume_offset tokens");
  }
  if (request.resume_offset > request.max_tokens) {
    return notRun(ErrorCode::InvalidRequest, "resume_offset is beyond max_tokens");
  }
  const std::uint64_t tokens = countTokens(request.prompt) + std::uint64_t{request.max_tokens};
  if (blocksOfTokens(tokens) > cache_->capacity()) {
    return notRun(ErrorCode::TooLarge, "prompt and answer exceed the engine's memory");
  }
  return std::nullopt;
}

std::optional<StreamRefused> EngineModel::findIdentityRefusal(const CompletionRequest& request) const {
  if (request.expect_incarnation != 0 && request.expect_incarnation != incarnation_) {
    return notRun(ErrorCode::IncarnationMismatch, "the engine restarted");
  }
  const ModelState* state = findModel(request.model);
  if (state == nullptr) return notRun(ErrorCode::UnknownModel, "the model is not loaded");
  if (!state->ready) {
    return notRun(ErrorCode::WeightsMismatch, "the model loads other weights", kRetryAfterWeights);
  }
  if (!request.expect_weights.empty() && request.expect_weights != state->served.weights_version) {
    return notRun(ErrorCode::WeightsMismatch, "the model has other weights");
  }
  const std::vector<std::string>& adapters = state->served.adapters;
  if (!request.adapter.empty() &&
      std::find(adapters.begin(), adapters.end(), request.adapter) == adapters.end()) {
    return notRun(ErrorCode::UnknownModel, "the adapter is not loaded");
  }
  return std::nullopt;
}

std::optional<StreamRefused> EngineModel::findOverloadRefusal(const CompletionRequest& request) const {
  if (leaving_) return notRun(ErrorCode::Stopping, "the engine is leaving", kRetryAfterStopping);
  const std::uint32_t tokens = countTokens(request.prompt);
  const bool tokens_fit = waiting_.empty() || queued_tokens_ + tokens <= timings_.queue_tokens;
  if (tokens_fit && waiting_.size() < timings_.queue_requests) return std::nullopt;
  const double seconds = queued_tokens_ / timings_.prefill_tokens_per_second;
  const auto retry_after = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  return notRun(ErrorCode::Overloaded, "the queue is full", std::max(retry_after, Duration{1000}));
}

/// Ends an older attempt of the same request; refuses an attempt older than the running one.
bool EngineModel::supersede(StreamId stream, const CompletionRequest& request, TimePoint now) {
  const auto found = runs_.find(request.request_id);
  if (found == runs_.end()) return true;
  Run& run = found->second;
  if (request.attempt < run.request.attempt) {
    refuse(stream, {ErrorCode::Stale, RanState::Unknown, Duration{0}, "a newer attempt runs"});
    return false;
  }
  detach(run);
  endRun(run, RunOutcome::Replaced, now);
  return true;
}

EngineModel::Run EngineModel::makeRun(const CompletionRequest& request, TimePoint now) {
  const ServedModel& served = findModel(request.model)->served;
  Run run;
  run.request = request;
  run.weights_version = served.weights_version;
  run.scope = std::make_shared<const CacheScope>(
      CacheScope{request.tenant, request.model, request.adapter, served.weights_version});
  const BlockHash chain = options_.scope_cache_entries ? run.scope->seed() : CacheScope{}.seed();
  const std::string context = request.prompt + request.resume_text;
  run.blocks = hashBlocks(chain, context);
  run.context_tokens = countTokens(context);
  run.completion_seed =
      completionSeed(request.model, served.weights_version, request.adapter, request.prompt);
  run.completion_tokens = completionTokenCount(run.completion_seed, request.max_tokens);
  run.produced = request.resume_offset;
  run.completion_tokens = std::max(run.completion_tokens, run.produced);
  run.arrival = ++arrivals_;

  RequestRecord& record = run.record;
  record.request_id = request.request_id;
  record.attempt = request.attempt;
  record.scope = run.scope;
  record.incarnation = incarnation_;
  record.expect_incarnation = request.expect_incarnation;
  record.expect_weights = request.expect_weights;
  record.priority = request.priority;
  record.resume_offset = request.resume_offset;
  record.prompt_tokens = run.context_tokens;
  record.arrived = now;
  return run;
}

void EngineModel::addRun(StreamId stream, Run new_run) {
  Run& run = runs_.emplace(new_run.request.request_id, std::move(new_run)).first->second;
  run.record.submitted_on = stream;
  waiting_.emplace(rankOf(run), &run);
  queued_tokens_ += run.context_tokens;
  ++totals_.requests;
  totals_.prompt_tokens += run.context_tokens;
  attach(run, stream);
  const std::uint32_t held = std::min(cache_->cachedPrefixLength(run.blocks), reusableBlocks(run));
  send(stream, StreamAccepted{incarnation_, run.weights_version, run.context_tokens,
                              static_cast<std::uint32_t>(held * kTokensPerBlock)});
}

void EngineModel::attach(Run& run, StreamId stream) {
  run.stream = stream;
  streams_[stream] = &run;
  orphans_.erase(run.arrival);
}

/// Aborts the stream that reads the run, if any.
void EngineModel::detach(Run& run) {
  if (!run.stream) return;
  send(*run.stream, StreamAborted{});
  streams_.erase(*run.stream);
  run.stream.reset();
}

void EngineModel::send(StreamId stream, StreamEvent event) {
  outputs_.emplace_back(StreamOutput{stream, std::move(event)});
}

void EngineModel::refuse(StreamId stream, StreamRefused refusal) {
  ++totals_.refused;
  send(stream, std::move(refusal));
}

void EngineModel::resume(StreamId stream, const ResumeRequest& request, TimePoint now) {
  expireFinished(now);
  if (request.expect_incarnation != 0 && request.expect_incarnation != incarnation_) {
    refuse(stream, {ErrorCode::IncarnationMismatch, RanState::Unknown, Duration{0}, "the engine restarted"});
    return;
  }
  if (const auto run = runs_.find(request.request_id); run != runs_.end()) {
    resumeRunning(stream, request, run->second);
    return;
  }
  if (const auto finished = finished_.find(request.request_id); finished != finished_.end()) {
    resumeFinished(stream, request, finished->second);
    return;
  }
  refuse(stream, {ErrorCode::EngineLost, RanState::Unknown, Duration{0}, "the request is not known here"});
}

void EngineModel::resumeRunning(StreamId stream, const ResumeRequest& request, Run& run) {
  if (request.attempt < run.request.attempt) {
    refuse(stream, {ErrorCode::Stale, RanState::Unknown, Duration{0}, "a newer attempt reads the answer"});
    return;
  }
  if (request.offset > run.produced) {
    refuse(stream, {ErrorCode::InvalidRequest, RanState::Unknown, Duration{0}, "offset not yet reached"});
    return;
  }
  detach(run);
  run.request.attempt = request.attempt;
  run.record.attempt = request.attempt;
  attach(run, stream);
  send(stream, StreamAccepted{incarnation_, run.weights_version, run.context_tokens,
                              run.record.cached_tokens + run.record.imported_tokens});
  if (request.offset == run.produced) return;
  send(stream, StreamTokens{request.offset, static_cast<std::uint32_t>(run.produced - request.offset),
                            generatedText(run).substr(request.offset * kBytesPerToken)});
}

void EngineModel::resumeFinished(StreamId stream, const ResumeRequest& request, const FinishedRun& finished) {
  const std::uint64_t tokens = finished.text.size() / kBytesPerToken;
  if (request.offset > tokens) {
    refuse(stream, {ErrorCode::InvalidRequest, RanState::Unknown, Duration{0}, "offset is beyond the end"});
    return;
  }
  send(stream, StreamAccepted{incarnation_, finished.weights_version, finished.prompt_tokens,
                              finished.cached_tokens});
  if (request.offset < tokens) {
    send(stream, StreamTokens{request.offset, static_cast<std::uint32_t>(tokens - request.offset),
                              finished.text.substr(request.offset * kBytesPerToken)});
  }
  send(stream, finishedEvent(finished));
}

StreamFinished EngineModel::finishedEvent(const FinishedRun& finished) {
  return {finished.text.size() / kBytesPerToken, hashBytes(finished.text), finished.finish_reason,
          finished.cached_tokens};
}

std::string EngineModel::generatedText(const Run& run) {
  const std::uint64_t begin = run.request.resume_offset;
  return run.request.resume_text + completionText(run.completion_seed, begin, run.produced - begin);
}

std::string EngineModel::finishReason(const Run& run) {
  return run.completion_tokens < run.request.max_tokens ? "stop" : "length";
}

void EngineModel::cancel(const std::string& request_id, std::uint32_t attempt, TimePoint now) {
  const auto found = runs_.find(request_id);
  if (found == runs_.end() || found->second.request.attempt != attempt) return;
  Run& run = found->second;
  detach(run);
  endRun(run, RunOutcome::Cancelled, now);
  advance(now);
}

void EngineModel::onStreamClosed(StreamId stream, TimePoint now) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) return;
  Run& run = *found->second;
  streams_.erase(found);
  run.stream.reset();
  run.orphaned_at = now;
  orphans_.emplace(run.arrival, &run);
}

void EngineModel::finishRun(Run& run, TimePoint now) {
  FinishedRun finished;
  finished.attempt = run.request.attempt;
  finished.text = generatedText(run);
  finished.finish_reason = finishReason(run);
  finished.weights_version = run.weights_version;
  finished.prompt_tokens = run.context_tokens;
  finished.cached_tokens = run.record.cached_tokens + run.record.imported_tokens;
  finished.ended = now;
  if (run.stream) send(*run.stream, finishedEvent(finished));
  cacheGeneratedText(run);
  finished_order_.push_back(run.request.request_id);
  finished_[run.request.request_id] = std::move(finished);
  endRun(run, RunOutcome::Finished, now);
}

void EngineModel::endRun(Run& run, RunOutcome outcome, TimePoint now) {
  removeFromBatch(run);
  if (run.stream) streams_.erase(*run.stream);
  orphans_.erase(run.arrival);
  run.record.outcome = outcome;
  run.record.ended = now;
  addRecord(run.record);
  const std::string request_id = run.request.request_id;
  runs_.erase(request_id);
}

void EngineModel::addRecord(const RequestRecord& record) {
  totals_.cached_tokens += record.cached_tokens;
  totals_.imported_tokens += record.imported_tokens;
  totals_.recomputed_tokens += record.recomputed_tokens;
  totals_.answer_tokens += record.answer_tokens;
  records_.push_back(record);
  if (records_.size() > kMaxRecords) records_.pop_front();
}

void EngineModel::expireFinished(TimePoint now) {
  while (!finished_order_.empty()) {
    const auto found = finished_.find(finished_order_.front());
    if (found != finished_.end()) {
      if (found->second.ended + timings_.finished_retention > now) return;
      finished_.erase(found);
    }
    finished_order_.pop_front();
  }
}

}  // namespace crankspur::standin
