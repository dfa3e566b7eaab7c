// Batching of EngineModel: prefill scheduling, decode steps, cache blocks of a run.

#include <algorithm>

#include "standins/engine/engine_model.h"

namespace crankspur::standin {

namespace {

Duration durationOf(double tokens, double tokens_per_second) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(tokens / tokens_per_second));
}

std::uint32_t tokensInBlocks(std::uint32_t blocks) {
  return static_cast<std::uint32_t>(blocks * kTokensPerBlock);
}

}  // namespace

std::uint32_t EngineModel::reusableBlocks(const Run& run) const {
  // The last token of the context is always computed: it yields the first generated token.
  return static_cast<std::uint32_t>((run.context_tokens - 1) / kTokensPerBlock);
}

std::uint32_t EngineModel::blocksNeeded(const Run& run) const {
  const std::uint64_t tokens = run.context_tokens + (run.completion_tokens - run.request.resume_offset);
  return static_cast<std::uint32_t>((tokens + kTokensPerBlock - 1) / kTokensPerBlock);
}

std::uint32_t EngineModel::runningCount() const {
  return static_cast<std::uint32_t>(runs_.size() - waiting_.size());
}

bool EngineModel::fits(const Run& run) const {
  if (runningCount() >= timings_.batch_limit) return false;
  const std::uint32_t held = std::min(cache_->cachedPrefixLength(run.blocks), reusableBlocks(run));
  return cache_->fits(std::span(run.blocks).first(held), blocksNeeded(run) - held);
}

EngineModel::Run* EngineModel::nextForPrefill() {
  Run* const current = prefilling_.empty() ? nullptr : prefilling_.begin()->second;
  if (waiting_.empty()) return current;
  Run* const head = waiting_.begin()->second;
  if (current != nullptr && rankOf(*current) < rankOf(*head)) return current;
  return fits(*head) ? head : current;
}

Duration EngineModel::prefillChunkDuration() const {
  const Duration time =
      timings_.prefill_chunk_base + durationOf(prefill_chunk_, timings_.prefill_tokens_per_second);
  return std::chrono::duration_cast<Duration>(time * slowdown_);
}

void EngineModel::startPrefill(TimePoint now) {
  while (prefill_run_ == nullptr) {
    Run* const run = nextForPrefill();
    if (run == nullptr) return;
    if (run->phase == Phase::Waiting) beginRun(*run, now);
    if (run->phase != Phase::Prefilling) continue;
    prefill_run_ = run;
    prefill_chunk_ = std::min(timings_.prefill_chunk_tokens, run->context_tokens - run->computed_tokens);
    prefill_ends_ = now + prefillChunkDuration();
  }
}

/// Admits the run to the batch and reserves its memory.
void EngineModel::beginRun(Run& run, TimePoint now) {
  waiting_.erase(rankOf(run));
  queued_tokens_ -= run.context_tokens;
  run.record.started = now;
  run.record.outcome = RunOutcome::Running;
  const std::uint32_t held = std::min(cache_->cachedPrefixLength(run.blocks), reusableBlocks(run));
  cache_->acquire(std::span(run.blocks).first(held));
  for (std::uint32_t index = 0; index < held; ++index) recordOrigin(run, run.blocks[index]);
  run.stored_blocks = held;
  run.computed_tokens = tokensInBlocks(held);
  run.record.cached_tokens = run.computed_tokens;
  run.reserved_blocks = blocksNeeded(run) - held;
  cache_->reserve(run.reserved_blocks);
  if (!run.request.import_from.empty() && run.request.import_blocks > held) {
    beginImport(run, now);
    return;
  }
  run.phase = Phase::Prefilling;
  prefilling_.emplace(rankOf(run), &run);
}

void EngineModel::beginImport(Run& run, TimePoint now) {
  run.phase = Phase::Importing;
  run.import_blocks = run.stored_blocks;
  run.import_ends = now + timings_.import_timeout;
  importing_.emplace(run.arrival, &run);
  const std::uint32_t requested = std::min(run.request.import_blocks, reusableBlocks(run));
  const auto begin = run.blocks.begin();
  outputs_.emplace_back(ImportQuery{run.request.request_id, run.request.attempt, run.request.import_from,
                                    std::vector<BlockHash>(begin, begin + requested)});
}

void EngineModel::onImportResponse(const std::string& request_id, std::uint32_t attempt, std::uint32_t held,
                                   std::uint64_t source_incarnation, TimePoint now) {
  const auto found = runs_.find(request_id);
  if (found == runs_.end() || found->second.request.attempt != attempt) return;
  Run& run = found->second;
  if (run.phase != Phase::Importing || run.import_blocks > run.stored_blocks) return;
  const std::uint32_t sendable = std::min({held, run.request.import_blocks, reusableBlocks(run)});
  if (sendable <= run.stored_blocks) {
    endImport(run, now);
    advance(now);
    return;
  }
  run.import_blocks = sendable;
  run.import_incarnation = source_incarnation;
  run.import_ends =
      now + timings_.import_latency +
      durationOf(tokensInBlocks(sendable - run.stored_blocks), timings_.import_tokens_per_second);
}

void EngineModel::endImport(Run& run, TimePoint now) {
  importing_.erase(run.arrival);
  const std::uint32_t before = run.computed_tokens;
  run.computed_tokens = std::max(before, tokensInBlocks(run.import_blocks));
  run.record.imported_tokens = run.computed_tokens - before;
  const std::uint32_t first = run.stored_blocks;
  cacheComputedBlocks(run, {run.scope, run.import_incarnation, true});
  for (std::uint32_t index = first; index < run.stored_blocks; ++index) recordOrigin(run, run.blocks[index]);
  run.phase = Phase::Prefilling;
  run.decode_from = now;
  prefilling_.emplace(rankOf(run), &run);
}

/// Caches the full blocks that are computed so far.
void EngineModel::cacheComputedBlocks(Run& run, const BlockWriter& writer) {
  const std::uint32_t complete = static_cast<std::uint32_t>(run.computed_tokens / kTokensPerBlock);
  const std::uint32_t last = std::min<std::uint32_t>(complete, static_cast<std::uint32_t>(run.blocks.size()));
  while (run.stored_blocks < last) {
    cache_->store(run.blocks[run.stored_blocks], writer);
    ++run.stored_blocks;
    --run.reserved_blocks;
  }
}

void EngineModel::recordOrigin(Run& run, BlockHash block) {
  const BlockWriter& writer = *cache_->writer(block);
  std::vector<BlockOrigin>& origins = run.record.used_blocks;
  const bool same_origin = !origins.empty() && origins.back().scope == writer.scope &&
                           origins.back().incarnation == writer.incarnation &&
                           origins.back().imported == writer.imported;
  if (!same_origin) origins.push_back({writer.scope, writer.incarnation, writer.imported, 0});
  ++origins.back().blocks;
}

void EngineModel::endPrefillChunk(TimePoint now) {
  Run& run = *prefill_run_;
  prefill_run_ = nullptr;
  run.computed_tokens += prefill_chunk_;
  run.record.recomputed_tokens += prefill_chunk_;
  cacheComputedBlocks(run, {run.scope, incarnation_, false});
  if (run.computed_tokens >= run.context_tokens) beginDecode(run, now);
}

void EngineModel::beginDecode(Run& run, TimePoint now) {
  prefilling_.erase(rankOf(run));
  run.phase = Phase::Decoding;
  run.decode_from = now;
  if (options_.publish_blocks && !run.blocks.empty()) outputs_.emplace_back(BlocksComputed{run.blocks});
  decoding_.emplace(rankOf(run), &run);
  produce(run, 1, now);
}

Duration EngineModel::decodeStepDuration() const {
  const auto batch = static_cast<std::int64_t>(decoding_.size());
  const Duration step = timings_.decode_step_base + timings_.decode_step_per_request * batch;
  const double prefill_factor = prefill_run_ == nullptr ? 1.0 : timings_.decode_slowdown_while_prefilling;
  const double tokens = timings_.tokens_per_step;
  return std::chrono::duration_cast<Duration>(step * (prefill_factor * slowdown_ * tokens));
}

void EngineModel::startDecodeStep(TimePoint now) {
  if (decode_ends_ || decoding_.empty()) return;
  decode_started_ = now;
  decode_ends_ = now + decodeStepDuration();
}

void EngineModel::endDecodeStep(TimePoint now) {
  decode_ends_.reset();
  std::vector<Run*> members;
  for (const auto& [rank, run] : decoding_) {
    if (run->decode_from <= decode_started_) members.push_back(run);
  }
  for (Run* run : members) produce(*run, timings_.tokens_per_step, now);
}

void EngineModel::produce(Run& run, std::uint64_t count, TimePoint now) {
  const std::uint64_t tokens = std::min(count, run.completion_tokens - run.produced);
  if (tokens > 0 && run.record.first_token == TimePoint{}) run.record.first_token = now;
  if (tokens > 0 && run.stream) {
    send(*run.stream, StreamTokens{run.produced, static_cast<std::uint32_t>(tokens),
                                   completionText(run.completion_seed, run.produced, tokens)});
  }
  run.produced += tokens;
  run.record.answer_tokens += static_cast<std::uint32_t>(tokens);
  if (run.produced == run.completion_tokens) finishRun(run, now);
}

/// Caches the full blocks of prompt and generated text, for a later prompt that continues the conversation.
void EngineModel::cacheGeneratedText(Run& run) {
  const std::string full_text = run.request.prompt + generatedText(run);
  const BlockHash chain = options_.scope_cache_entries ? run.scope->seed() : CacheScope{}.seed();
  const BlockHash last = run.blocks.empty() ? chain : run.blocks.back();
  const std::string_view rest = std::string_view(full_text).substr(run.blocks.size() * kBytesPerBlock);
  for (const BlockHash block : hashBlocks(last, rest)) run.blocks.push_back(block);
  run.computed_tokens = static_cast<std::uint32_t>(full_text.size() / kBytesPerToken);
  cacheComputedBlocks(run, {run.scope, incarnation_, false});
}

/// Removes the run from all queues and releases its memory.
void EngineModel::removeFromBatch(Run& run) {
  if (run.phase == Phase::Waiting) queued_tokens_ -= run.context_tokens;
  if (prefill_run_ == &run) prefill_run_ = nullptr;
  waiting_.erase(rankOf(run));
  prefilling_.erase(rankOf(run));
  decoding_.erase(rankOf(run));
  importing_.erase(run.arrival);
  cache_->release(std::span(run.blocks).first(run.stored_blocks));
  cache_->releaseReserved(run.reserved_blocks);
}

}  // namespace crankspur::standin
