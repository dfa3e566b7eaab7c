#include "standins/engine/engine_model.h"

#include <algorithm>
#include <utility>

namespace crankspur::standin {

namespace {

/// Incarnations stay below 2^53, so that JSON readers that parse numbers as double keep them exact.
constexpr std::uint64_t kMaxIncarnation = (std::uint64_t{1} << 53) - 1;
/// If the driver calls a timer later than this, the excess time is dropped, so that work does not catch up in
/// a burst.
constexpr Duration kMaxTimerDelay = std::chrono::milliseconds(100);

void updateMin(std::optional<TimePoint>& earliest, TimePoint candidate) {
  if (!earliest || candidate < *earliest) earliest = candidate;
}

}  // namespace

EngineModel::EngineModel(EngineOptions options, EngineTimings timings, std::uint64_t seed, TimePoint now)
    : options_(std::move(options)), timings_(timings), random_(seed), load_history_(timings.load_lag) {
  startIncarnation(now);
}

void EngineModel::startIncarnation(TimePoint now) {
  incarnation_ = random_.uniform(1, kMaxIncarnation);
  leaving_ = false;
  role_ = options_.role;
  order_token_ = 0;
  frozen_since_.reset();
  models_.clear();
  for (const ServedModel& served : options_.models) {
    ModelState state;
    state.served = served;
    models_.push_back(std::move(state));
  }
  adapter_loads_.clear();
  cache_ = std::make_unique<BlockCache>(timings_.cache_blocks);
  changes_ = std::make_unique<ChangeLog>(timings_.event_delay, timings_.event_gap_probability,
                                         timings_.event_log_length);
  load_history_ = LoadHistory(timings_.load_lag);
  last_digest_.reset();
  finished_.clear();
  finished_order_.clear();
  recordLoad(now);
}

void EngineModel::crash(TimePoint now) {
  totals_.evicted_blocks += cache_->evicted();
  while (!runs_.empty()) {
    Run& run = runs_.begin()->second;
    detach(run);
    endRun(run, RunOutcome::Crashed, now);
  }
  decode_ends_.reset();
  startIncarnation(now);
}

void EngineModel::freeze(TimePoint now) {
  if (!frozen_since_) frozen_since_ = now;
}

void EngineModel::thaw(TimePoint now) {
  if (!frozen_since_) return;
  shiftTimes(now - *frozen_since_);
  frozen_since_.reset();
  advance(now);
}

void EngineModel::shiftTimes(Duration by) {
  prefill_ends_ += by;
  decode_started_ += by;
  if (decode_ends_) *decode_ends_ += by;
  for (auto& [id, run] : runs_) {
    run.import_ends += by;
    run.decode_from += by;
    run.orphaned_at += by;
  }
  for (ModelState& state : models_) {
    if (state.loaded_at) *state.loaded_at += by;
    if (state.retry_at) *state.retry_at += by;
  }
  for (AdapterLoad& load : adapter_loads_) load.loaded_at += by;
}

void EngineModel::setEventGapProbability(double probability) {
  timings_.event_gap_probability = probability;
  changes_->setGapProbability(probability);
}

void EngineModel::startLeaving(TimePoint now) {
  leaving_ = true;
  advance(now);
}

std::optional<TimePoint> EngineModel::nextTimer() const {
  if (frozen_since_) return std::nullopt;
  std::optional<TimePoint> earliest = nextLoadTimer();
  if (prefill_run_ != nullptr) updateMin(earliest, prefill_ends_);
  if (decode_ends_) updateMin(earliest, *decode_ends_);
  for (const auto& [arrival, run] : importing_) updateMin(earliest, run->import_ends);
  for (const auto& [arrival, run] : orphans_) updateMin(earliest, run->orphaned_at + timings_.orphan_timeout);
  return earliest;
}

void EngineModel::onTimer(TimePoint now) {
  while (true) {
    const std::optional<TimePoint> due = nextTimer();
    if (!due || *due > now) return;
    const TimePoint at = std::max(*due, now - kMaxTimerDelay);
    runDueTimers(at);
    advance(at);
  }
}

void EngineModel::runDueTimers(TimePoint now) {
  if (prefill_run_ != nullptr && prefill_ends_ <= now) endPrefillChunk(now);
  if (decode_ends_ && *decode_ends_ <= now) endDecodeStep(now);
  std::vector<Run*> imported;
  for (const auto& [arrival, run] : importing_) {
    if (run->import_ends <= now) imported.push_back(run);
  }
  for (Run* run : imported) endImport(*run, now);
  std::vector<Run*> expired;
  for (const auto& [arrival, run] : orphans_) {
    if (run->orphaned_at + timings_.orphan_timeout <= now) expired.push_back(run);
  }
  for (Run* run : expired) endRun(*run, RunOutcome::Orphaned, now);
}

void EngineModel::advance(TimePoint now) {
  advanceLoads(now);
  startPrefill(now);
  startDecodeStep(now);
  expireFinished(now);
  publishChanges(now);
  recordLoad(now);
}

void EngineModel::publishChanges(TimePoint now) {
  std::vector<BlockHash> stored = cache_->takeStored();
  std::vector<BlockHash> removed = cache_->takeRemoved();
  // A block may be stored and removed within one step: the event contains only the final state.
  std::erase_if(stored, [this](BlockHash block) { return cache_->writer(block) == nullptr; });
  std::erase_if(removed, [this](BlockHash block) { return cache_->writer(block) != nullptr; });
  if (stored.empty() && removed.empty()) return;
  changes_->append(std::move(stored), std::move(removed), random_, now);
}

void EngineModel::recordLoad(TimePoint now) {
  EngineLoadReport load;
  load.incarnation = incarnation_;
  load.queued_tokens = queued_tokens_;
  load.queued_requests = static_cast<std::uint32_t>(waiting_.size());
  load.running_requests = runningCount();
  load.batch_limit = timings_.batch_limit;
  load.cache_blocks_total = cache_->capacity();
  load.cache_blocks_used = cache_->used();
  load.prefill_tokens_per_second = timings_.prefill_tokens_per_second;
  load_history_.record(load, now);
}

std::vector<EngineOutput> EngineModel::takeOutputs() {
  return std::exchange(outputs_, {});
}

EngineInfo EngineModel::info() const {
  EngineInfo info;
  info.name = options_.name;
  info.incarnation = incarnation_;
  info.role = role_;
  info.leaving = leaving_;
  for (const ModelState& state : models_) {
    if (state.ready) info.models.push_back(state.served);
  }
  info.batch_limit = timings_.batch_limit;
  info.cache_blocks_total = cache_->capacity();
  info.order_token = order_token_;
  return info;
}

CacheChanges EngineModel::cacheChanges(std::uint64_t after, TimePoint now) const {
  return changes_->read(after, incarnation_, now);
}

std::optional<TimePoint> EngineModel::nextCacheChange(std::uint64_t after) const {
  return changes_->nextVisibleTime(after);
}

CacheDigest EngineModel::cacheDigest(TimePoint now) {
  CacheDigest digest;
  digest.incarnation = incarnation_;
  if (last_digest_ && now < *last_digest_ + timings_.digest_interval) {
    digest.refused = true;
    digest.retry_after = *last_digest_ + timings_.digest_interval - now;
    return digest;
  }
  last_digest_ = now;
  digest.sequence = changes_->lastSequence();
  digest.blocks = cache_->blocks();
  return digest;
}

std::vector<RequestRecord> EngineModel::runningRecords() const {
  std::vector<RequestRecord> records;
  for (const auto& [id, run] : runs_) records.push_back(run.record);
  return records;
}

EngineTotals EngineModel::totals() const {
  EngineTotals totals = totals_;
  totals.evicted_blocks += cache_->evicted();
  return totals;
}

}  // namespace crankspur::standin
