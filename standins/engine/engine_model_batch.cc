// Batching of EngineModel: which request prefills, decode steps, cache blocks of a run.

#include <algorithm>

#include "standins/engine/engine_model.h"

namespace crankspur::standin {

namespace {

Duration timeOf(double tokens, double tokens_per_second) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(tokens / tokens_per_second));
}

std::uint32_t tokensOf(std::uint32_t blocks) {
  return static_cast<std::uint32_t>(blocks * kTokensPerBlock);
}

}  // namespace

std::uint32_t EngineModel::usableBlocks(const Run& run) const {
  // The last token of the context is always computed: the first answer token comes out of it.
  return static_cast<std::uint32_t>((run.context_tokens - 1) / kTokensPerBlock);
}

std::uint32_t EngineModel::blocksNeeded(const Run& run) const {
  const std::uint64_t tokens = run.context_tokens + (run.answer_tokens - run.request.resume_offset);
  return static_cast<std::uint32_t>((tokens + kTokensPerBlock - 1) / kTokensPerBlock);
}

std::uint32_t EngineModel::runningCount() const {
  return static_cast<std::uint32_t>(runs_.size() - waiting_.size());
}

bool EngineModel::fits(const Run& run) const {
  if (runningCount() >= timings_.batch_limit) return false;
  const std::uint32_t held = std::min(cache_->heldPrefix(run.blocks), usableBlocks(run));
  return cache_->fits(std::span(run.blocks).first(held), blocksNeeded(run) - held);
}

EngineModel::Run* EngineModel::nextForPrefill() {
  Run* const begun = prefilling_.empty() ? nullptr : prefilling_.begin()->second;
  if (waiting_.empty()) return begun;
  Run* const head = waiting_.begin()->second;
  if (begun != nullptr && rankOf(*begun) < rankOf(*head)) return begun;
  return fits(*head) ? head : begun;
}

Duration EngineModel::chunkTime() const {
  const Duration time =
      timings_.prefill_chunk_base + timeOf(prefill_chunk_, timings_.prefill_tokens_per_second);
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
    prefill_ends_ = now + chunkTime();
  }
}

/// Gives the run its place in the batch and its memory.
void EngineModel::beginRun(Run& run, TimePoint now) {
  waiting_.erase(rankOf(run));
  queued_tokens_ -= run.context_tokens;
  run.record.started = now;
  run.record.outcome = RunOutcome::Running;
  const std::uint32_t held = std::min(cache_->heldPrefix(run.blocks), usableBlocks(run));
  cache_->acquire(std::span(run.blocks).first(held));
  for (std::uint32_t index = 0; index < held; ++index) noteOrigin(run, run.blocks[index]);
  run.stored_blocks = held;
  run.computed_tokens = tokensOf(held);
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
  const std::uint32_t wanted = std::min(run.request.import_blocks, usableBlocks(run));
  const auto begin = run.blocks.begin();
  outputs_.emplace_back(ImportQuery{run.request.request_id, run.request.attempt, run.request.import_from,
                                    std::vector<BlockHash>(begin, begin + wanted)});
}

void EngineModel::importAnswered(const std::string& request_id, std::uint32_t attempt, std::uint32_t held,
                                 std::uint64_t source_incarnation, TimePoint now) {
  const auto found = runs_.find(request_id);
  if (found == runs_.end() || found->second.request.attempt != attempt) return;
  Run& run = found->second;
  if (run.phase != Phase::Importing || run.import_blocks > run.stored_blocks) return;
  const std::uint32_t sendable = std::min({held, run.request.import_blocks, usableBlocks(run)});
  if (sendable <= run.stored_blocks) {
    endImport(run, now);
    afterChange(now);
    return;
  }
  run.import_blocks = sendable;
  run.import_incarnation = source_incarnation;
  run.import_ends = now + timings_.import_latency +
                    timeOf(tokensOf(sendable - run.stored_blocks), timings_.import_tokens_per_second);
}

void EngineModel::endImport(Run& run, TimePoint now) {
  importing_.erase(run.arrival);
  const std::uint32_t before = run.computed_tokens;
  run.computed_tokens = std::max(before, tokensOf(run.import_blocks));
  run.record.imported_tokens = run.computed_tokens - before;
  const std::uint32_t first = run.stored_blocks;
  storeComputed(run, {run.scope, run.import_incarnation, true});
  for (std::uint32_t index = first; index < run.stored_blocks; ++index) noteOrigin(run, run.blocks[index]);
  run.phase = Phase::Prefilling;
  run.decode_from = now;
  prefilling_.emplace(rankOf(run), &run);
}

/// Puts the full blocks that are computed by now into the cache.
void EngineModel::storeComputed(Run& run, const BlockWriter& writer) {
  const std::uint32_t complete = static_cast<std::uint32_t>(run.computed_tokens / kTokensPerBlock);
  const std::uint32_t last = std::min<std::uint32_t>(complete, static_cast<std::uint32_t>(run.blocks.size()));
  while (run.stored_blocks < last) {
    cache_->store(run.blocks[run.stored_blocks], writer);
    ++run.stored_blocks;
    --run.reserved_blocks;
  }
}

void EngineModel::noteOrigin(Run& run, BlockHash block) {
  const BlockWriter& writer = *cache_->writer(block);
  std::vector<BlockOrigin>& origins = run.record.used_blocks;
  const bool same = !origins.empty() && origins.back().scope == writer.scope &&
                    origins.back().incarnation == writer.incarnation &&
                    origins.back().imported == writer.imported;
  if (!same) origins.push_back({writer.scope, writer.incarnation, writer.imported, 0});
  ++origins.back().blocks;
}

void EngineModel::endPrefillChunk(TimePoint now) {
  Run& run = *prefill_run_;
  prefill_run_ = nullptr;
  run.computed_tokens += prefill_chunk_;
  run.record.recomputed_tokens += prefill_chunk_;
  storeComputed(run, {run.scope, incarnation_, false});
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

Duration EngineModel::decodeStep() const {
  const auto batch = static_cast<std::int64_t>(decoding_.size());
  const Duration step = timings_.decode_step_base + timings_.decode_step_per_request * batch;
  const double beside_prefill = prefill_run_ == nullptr ? 1.0 : timings_.decode_slowdown_while_prefilling;
  const double tokens = timings_.tokens_per_step;
  return std::chrono::duration_cast<Duration>(step * (beside_prefill * slowdown_ * tokens));
}

void EngineModel::startDecodeStep(TimePoint now) {
  if (decode_ends_ || decoding_.empty()) return;
  decode_started_ = now;
  decode_ends_ = now + decodeStep();
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
  const std::uint64_t tokens = std::min(count, run.answer_tokens - run.produced);
  if (tokens > 0 && run.record.first_token == TimePoint{}) run.record.first_token = now;
  if (tokens > 0 && run.stream) {
    send(*run.stream, StreamTokens{run.produced, static_cast<std::uint32_t>(tokens),
                                   answerText(run.answer, run.produced, tokens)});
  }
  run.produced += tokens;
  run.record.answer_tokens += static_cast<std::uint32_t>(tokens);
  if (run.produced == run.answer_tokens) finish(run, now);
}

/// Caches the full blocks that the answer has completed, for a prompt that goes on from it.
void EngineModel::storeAnswer(Run& run) {
  const std::string whole = run.request.prompt + answerSoFar(run);
  const BlockHash chain = options_.scope_cache_entries ? run.scope->seed() : CacheScope{}.seed();
  const BlockHash last = run.blocks.empty() ? chain : run.blocks.back();
  const std::string_view rest = std::string_view(whole).substr(run.blocks.size() * kBytesPerBlock);
  for (const BlockHash block : hashBlocks(last, rest)) run.blocks.push_back(block);
  run.computed_tokens = static_cast<std::uint32_t>(whole.size() / kBytesPerToken);
  storeComputed(run, {run.scope, incarnation_, false});
}

/// Takes the run out of every list and gives its memory back.
void EngineModel::leaveBatch(Run& run) {
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
