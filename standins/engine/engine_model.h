#pragma once
/// @file Model of a language-model engine: continuous batching, a bounded prefix cache, priorities, resume
/// and cancel, KV import, delayed cache events, lagging load reports, fenced orders, crash and freeze. Pure
/// state without I/O: it takes (event, now) and returns outputs; the stand-in process and the simulation
/// drive it. While frozen() a driver buffers every call and delivers it after thaw(), like the socket buffers
/// of a stopped process.

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <vector>

#include "base/random.h"
#include "standins/engine/block_cache.h"
#include "standins/engine/change_log.h"
#include "standins/engine/completion_text.h"
#include "standins/engine/engine_types.h"
#include "standins/engine/load_history.h"

namespace crankspur::standin {

/// See the file comment. Not thread-safe.
class EngineModel {
public:
  static constexpr std::size_t kMaxRecords = 100'000;

  EngineModel(EngineOptions options, EngineTimings timings, std::uint64_t seed, TimePoint now);

  /// Calls whose responses are returned by takeOutputs() as events of the stream.
  void submit(StreamId stream, const CompletionRequest& request, TimePoint now);
  void resume(StreamId stream, const ResumeRequest& request, TimePoint now);
  /// Cancels a request. Ignored unless `attempt` is the latest attempt that reads it.
  void cancel(const std::string& request_id, std::uint32_t attempt, TimePoint now);
  /// The reader disconnected. The request continues for up to EngineTimings::orphan_timeout without a reader.
  void onStreamClosed(StreamId stream, TimePoint now);
  /// Response to an ImportQuery. @param held leading blocks that the source can send; 0 if the query failed.
  void onImportResponse(const std::string& request_id, std::uint32_t attempt, std::uint32_t held,
                        std::uint64_t source_incarnation, TimePoint now);
  /// Response to a WeightsQuery. @param load_time empty if the weight store did not respond.
  void onWeightsResponse(const std::string& model, const std::string& weights_version,
                         std::optional<Duration> load_time, TimePoint now);

  /// @return Ok, Stale (a higher token was received), IncarnationMismatch, UnknownModel or InvalidRequest.
  ErrorCode order(const EngineOrder& order, TimePoint now);
  /// Refuses new requests from now on; accepted requests continue.
  void startLeaving(TimePoint now);

  /// The process crashes and restarts immediately: cache, requests and order token are lost, the incarnation
  /// changes, the configured models are loaded. Streams are aborted.
  void crash(TimePoint now);
  void freeze(TimePoint now);
  /// Resumes as if no time had passed.
  void thaw(TimePoint now);
  bool frozen() const { return frozen_since_.has_value(); }
  /// Makes prefill and decode take `factor` times as long from the next chunk and step on, like a throttled
  /// accelerator. The load report still contains the nominal speed. @param factor at least 1.
  void setSlowdown(double factor) { slowdown_ = factor; }
  /// Sets the probability that a cache event is lost.
  void setEventGapProbability(double probability);

  void onTimer(TimePoint now);
  /// @return when onTimer() is due; empty while frozen or idle.
  std::optional<TimePoint> nextTimer() const;
  /// @return the outputs since the last call, in order.
  std::vector<EngineOutput> takeOutputs();

  EngineInfo info() const;
  EngineLoadReport load(TimePoint now) const { return load_history_.report(now); }
  CacheChanges cacheChanges(std::uint64_t after, TimePoint now) const;
  /// @return when cacheChanges(after) returns a later event; empty if there is none.
  std::optional<TimePoint> nextCacheChange(std::uint64_t after) const;
  /// @return sequence number of the latest cache change of this incarnation, visible or not.
  std::uint64_t latestCacheSequence() const { return changes_->lastSequence(); }
  CacheDigest cacheDigest(TimePoint now);
  /// @return the number of leading blocks that can be exported.
  std::uint32_t cachedPrefixLength(std::span<const BlockHash> blocks) const {
    return cache_->cachedPrefixLength(blocks);
  }
  std::uint64_t incarnation() const { return incarnation_; }
  /// @return the number of waiting and running requests.
  std::size_t inFlight() const { return runs_.size(); }

  /// @return records of the last kMaxRecords accepted requests that ended, oldest first. They survive
  /// crash().
  const std::deque<RequestRecord>& records() const { return records_; }
  /// @return records of the waiting and running requests.
  std::vector<RequestRecord> runningRecords() const;
  const std::vector<OrderRecord>& orders() const { return orders_; }
  EngineTotals totals() const;

private:
  enum class Phase { Waiting, Importing, Prefilling, Decoding };

  /// A waiting or running request.
  struct Run {
    CompletionRequest request;
    std::shared_ptr<const CacheScope> scope;
    std::string weights_version;
    std::vector<BlockHash> blocks;  ///< Of prompt and resumed text; when finished, of the generated text too.
    CompletionSeed completion_seed = 0;
    std::uint64_t completion_tokens = 0;  ///< Of the complete text.
    std::uint64_t produced = 0;           ///< Offset of the next token.
    std::uint64_t arrival = 0;            ///< Position in the order of arrival.
    Phase phase = Phase::Waiting;
    std::uint32_t context_tokens = 0;   ///< Of prompt and resumed text.
    std::uint32_t computed_tokens = 0;  ///< Tokens of the context that are cached, imported or prefilled.
    std::uint32_t stored_blocks = 0;    ///< Leading blocks referenced in the cache.
    std::uint32_t reserved_blocks = 0;
    std::uint32_t import_blocks = 0;  ///< Leading blocks available once the import ends.
    std::uint64_t import_incarnation = 0;
    TimePoint import_ends{};
    TimePoint decode_from{};
    std::optional<StreamId> stream;
    TimePoint orphaned_at{};
    RequestRecord record;
  };

  /// A finished completion that can still be resumed.
  struct FinishedRun {
    std::uint32_t attempt = 0;
    std::string text;
    std::string finish_reason;
    std::string weights_version;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
    TimePoint ended{};
  };
  static StreamFinished finishedEvent(const FinishedRun& finished);
  static std::string finishReason(const Run& run);
  static std::string generatedText(const Run& run);

  struct ModelState {
    ServedModel served;
    bool ready = true;
    std::string target_weights;          ///< Set while `ready` is false.
    bool load_requested = false;         ///< A WeightsQuery is outstanding or the load is in progress.
    std::optional<TimePoint> loaded_at;  ///< When the load in progress ends.
    std::optional<TimePoint> retry_at;   ///< Set if the weight store did not respond.
  };

  struct AdapterLoad {
    std::string model;
    std::string adapter;
    TimePoint loaded_at;
  };

  /// Order of prefill: by priority, then by arrival.
  struct Rank {
    std::uint32_t priority;
    std::uint64_t arrival;
    bool operator<(const Rank& other) const {
      return std::tie(priority, arrival) < std::tie(other.priority, other.arrival);
    }
  };
  static Rank rankOf(const Run& run) { return {run.request.priority, run.arrival}; }

  // Request lifecycle (engine_model_requests.cc).
  std::optional<StreamRefused> findRefusal(const CompletionRequest& request) const;
  std::optional<StreamRefused> findFormatRefusal(const CompletionRequest& request) const;
  std::optional<StreamRefused> findIdentityRefusal(const CompletionRequest& request) const;
  std::optional<StreamRefused> findOverloadRefusal(const CompletionRequest& request) const;
  bool supersede(StreamId stream, const CompletionRequest& request, TimePoint now);
  Run makeRun(const CompletionRequest& request, TimePoint now);
  void addRun(StreamId stream, Run run);
  void attach(Run& run, StreamId stream);
  void detach(Run& run);
  void send(StreamId stream, StreamEvent event);
  void refuse(StreamId stream, StreamRefused refusal);
  void resumeRunning(StreamId stream, const ResumeRequest& request, Run& run);
  void resumeFinished(StreamId stream, const ResumeRequest& request, const FinishedRun& finished);
  void finishRun(Run& run, TimePoint now);
  void endRun(Run& run, RunOutcome outcome, TimePoint now);
  void addRecord(const RequestRecord& record);
  void expireFinished(TimePoint now);

  // Batching (engine_model_batch.cc).
  void startPrefill(TimePoint now);
  Run* nextForPrefill();
  bool fits(const Run& run) const;
  void beginRun(Run& run, TimePoint now);
  void beginImport(Run& run, TimePoint now);
  void endImport(Run& run, TimePoint now);
  void endPrefillChunk(TimePoint now);
  void beginDecode(Run& run, TimePoint now);
  void cacheComputedBlocks(Run& run, const BlockWriter& writer);
  void recordOrigin(Run& run, BlockHash block);
  void startDecodeStep(TimePoint now);
  void endDecodeStep(TimePoint now);
  void produce(Run& run, std::uint64_t count, TimePoint now);
  void cacheGeneratedText(Run& run);
  void removeFromBatch(Run& run);
  std::uint32_t reusableBlocks(const Run& run) const;
  std::uint32_t blocksNeeded(const Run& run) const;
  std::uint32_t runningCount() const;
  Duration decodeStepDuration() const;
  Duration prefillChunkDuration() const;

  // Orders (engine_model_orders.cc).
  ErrorCode applyWeightsOrder(const EngineOrder& order);
  ErrorCode applyAdapterOrder(const EngineOrder& order, TimePoint now);
  void advanceLoads(TimePoint now);
  void advanceLoad(ModelState& state, TimePoint now);
  void advanceAdapters(TimePoint now);
  std::optional<TimePoint> nextLoadTimer() const;
  bool modelInUse(const std::string& model) const;
  ModelState* findModel(const std::string& model);
  const ModelState* findModel(const std::string& model) const;

  void startIncarnation(TimePoint now);
  void runDueTimers(TimePoint now);
  void advance(TimePoint now);
  void publishChanges(TimePoint now);
  void recordLoad(TimePoint now);
  void shiftTimes(Duration by);

  EngineOptions options_;
  EngineTimings timings_;
  RandomSource random_;

  std::uint64_t incarnation_ = 0;
  bool leaving_ = false;
  ServingRole role_ = ServingRole::Mixed;
  std::uint64_t order_token_ = 0;
  std::optional<TimePoint> frozen_since_;
  double slowdown_ = 1;
  std::vector<ModelState> models_;
  std::vector<AdapterLoad> adapter_loads_;

  std::unique_ptr<BlockCache> cache_;
  std::unique_ptr<ChangeLog> changes_;
  LoadHistory load_history_;
  std::optional<TimePoint> last_digest_;

  std::map<std::string, Run> runs_;  ///< By request id; the containers below point into this map.
  std::map<Rank, Run*> waiting_;
  std::map<Rank, Run*> prefilling_;
  std::map<Rank, Run*> decoding_;
  std::map<std::uint64_t, Run*> importing_;  ///< By arrival.
  std::map<std::uint64_t, Run*> orphans_;    ///< By arrival.
  std::map<StreamId, Run*> streams_;
  std::map<std::string, FinishedRun> finished_;  ///< By request id.
  std::deque<std::string> finished_order_;       ///< Oldest first.
  std::uint32_t queued_tokens_ = 0;
  std::uint64_t arrivals_ = 0;

  Run* prefill_run_ = nullptr;  ///< Run whose prefill chunk is in progress.
  std::uint32_t prefill_chunk_ = 0;
  TimePoint prefill_ends_{};
  TimePoint decode_started_{};
  std::optional<TimePoint> decode_ends_;

  std::vector<EngineOutput> outputs_;
  std::deque<RequestRecord> records_;
  std::vector<OrderRecord> orders_;
  EngineTotals totals_;
};

}  // namespace crankspur::standin
