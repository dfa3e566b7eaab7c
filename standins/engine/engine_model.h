#pragma once
/// @file Model of a language-model engine: continuous batching, a bounded prefix cache, priorities, resume
/// and cancel, KV import, late cache events, lagging load, fenced orders, crash and freeze. Pure state
/// holder: it takes (event, now) and returns outputs; the stand-in process and the simulation drive it. While
/// frozen() a driver holds back every call and passes it on after thaw(), as a stopped process's socket
/// buffers would.

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
#include "standins/engine/answer_text.h"
#include "standins/engine/block_cache.h"
#include "standins/engine/change_log.h"
#include "standins/engine/engine_types.h"
#include "standins/engine/load_history.h"

namespace crankspur::standin {

/// One engine.
class EngineModel {
public:
  static constexpr std::size_t kRecordsKept = 100'000;

  EngineModel(EngineOptions options, EngineTimings timings, std::uint64_t seed, TimePoint now);

  /// Calls that answer through takeOutputs(), by stream.
  void submit(StreamId stream, const CompletionRequest& request, TimePoint now);
  void resume(StreamId stream, const ResumeRequest& request, TimePoint now);
  /// Stops a request. Ignored unless `attempt` is the newest that reads it.
  void cancel(const std::string& request_id, std::uint32_t attempt, TimePoint now);
  /// The reader went away; the request runs on for EngineTimings::orphan_kept.
  void streamClosed(StreamId stream, TimePoint now);
  /// Answers an ImportQuery. @param held leading blocks the source can send; 0 when it could not be asked.
  void importAnswered(const std::string& request_id, std::uint32_t attempt, std::uint32_t held,
                      std::uint64_t source_incarnation, TimePoint now);
  /// Answers a WeightsQuery. @param load_time empty when the weight store gave no answer.
  void weightsAnswered(const std::string& model, const std::string& weights_version,
                       std::optional<Duration> load_time, TimePoint now);

  /// @return Ok, Stale (a higher token was seen), IncarnationMismatch, UnknownModel or InvalidRequest.
  ErrorCode order(const EngineOrder& order, TimePoint now);
  /// Takes no new request from now on; those taken go on.
  void startLeaving(TimePoint now);

  /// The process dies and comes back at once: cache, requests and order token are gone, the incarnation is
  /// new, models are loaded as at the start. Streams are cut.
  void crash(TimePoint now);
  void freeze(TimePoint now);
  /// Progress goes on as if no time had passed.
  void thaw(TimePoint now);
  bool frozen() const { return frozen_since_.has_value(); }
  /// Makes prefill and decode take `factor` times as long from the next chunk and step on, as a throttled
  /// accelerator does. The load report goes on telling the nominal speed. @param factor at least 1.
  void setSlowdown(double factor) { slowdown_ = factor; }
  /// Changes how many cache events are lost from now on.
  void setEventGapProbability(double probability);

  void onTimer(TimePoint now);
  /// @return when onTimer() has something to do; empty while frozen or idle.
  std::optional<TimePoint> nextTimer() const;
  /// @return outputs in order, taken once.
  std::vector<EngineOutput> takeOutputs();

  EngineInfo info() const;
  EngineLoadReport load(TimePoint now) const { return load_history_.report(now); }
  CacheChanges cacheChanges(std::uint64_t after, TimePoint now) const;
  /// @return when a reader of cacheChanges(after) sees something newer, if anything is on its way.
  std::optional<TimePoint> nextCacheChange(std::uint64_t after) const;
  /// @return number of the newest cache change of this incarnation, whether readers see it or not.
  std::uint64_t newestCacheChange() const { return changes_->lastSequence(); }
  CacheDigest cacheDigest(TimePoint now);
  /// @return how many leading blocks can be exported.
  std::uint32_t heldPrefix(std::span<const BlockHash> blocks) const { return cache_->heldPrefix(blocks); }
  std::uint64_t incarnation() const { return incarnation_; }
  /// @return requests waiting or running.
  std::size_t inFlight() const { return runs_.size(); }

  /// @return records of accepted requests that ended, oldest first, crashes included; the newest
  /// kRecordsKept.
  const std::deque<RequestRecord>& records() const { return records_; }
  /// @return records of requests that wait or run.
  std::vector<RequestRecord> runningRecords() const;
  const std::vector<OrderRecord>& orders() const { return orders_; }
  EngineTotals totals() const;

private:
  enum class Phase { Waiting, Importing, Prefilling, Decoding };

  /// A request that waits or runs.
  struct Run {
    CompletionRequest request;
    std::shared_ptr<const CacheScope> scope;
    std::string weights_version;
    std::vector<BlockHash> blocks;  ///< Of prompt and resumed text; at the end of the answer too.
    AnswerSeed answer = 0;
    std::uint64_t answer_tokens = 0;  ///< Of the whole answer.
    std::uint64_t produced = 0;       ///< Next token offset.
    std::uint64_t arrival = 0;        ///< Order of arrival.
    Phase phase = Phase::Waiting;
    std::uint32_t context_tokens = 0;   ///< Prompt and resumed text.
    std::uint32_t computed_tokens = 0;  ///< Of the context: cached, imported or prefilled.
    std::uint32_t stored_blocks = 0;    ///< Leading blocks in use in the cache.
    std::uint32_t reserved_blocks = 0;
    std::uint32_t import_blocks = 0;  ///< Leading blocks held once the import ends.
    std::uint64_t import_incarnation = 0;
    TimePoint import_ends{};
    TimePoint decode_from{};
    std::optional<StreamId> stream;
    TimePoint orphaned_at{};
    RequestRecord record;
  };

  /// A finished answer that can still be resumed.
  struct Finished {
    std::uint32_t attempt = 0;
    std::string text;
    std::string finish_reason;
    std::string weights_version;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
    TimePoint ended{};
  };
  static StreamFinished endOf(const Finished& finished);
  static std::string finishReason(const Run& run);
  static std::string answerSoFar(const Run& run);

  struct ModelState {
    ServedModel served;
    bool ready = true;
    std::string wanted_weights;             ///< Set while not ready.
    bool asked = false;                     ///< A WeightsQuery is outstanding or its load runs.
    std::optional<TimePoint> loaded_at;     ///< End of the running load.
    std::optional<TimePoint> ask_again_at;  ///< After the weight store gave no answer.
  };

  struct AdapterLoad {
    std::string model;
    std::string adapter;
    TimePoint loaded_at;
  };

  /// Order in which requests get prefill: priority, then arrival.
  struct Rank {
    std::uint32_t priority;
    std::uint64_t arrival;
    bool operator<(const Rank& other) const {
      return std::tie(priority, arrival) < std::tie(other.priority, other.arrival);
    }
  };
  static Rank rankOf(const Run& run) { return {run.request.priority, run.arrival}; }

  // Requests (engine_model_requests.cc).
  std::optional<StreamRefused> reasonToRefuse(const CompletionRequest& request) const;
  std::optional<StreamRefused> reasonOfForm(const CompletionRequest& request) const;
  std::optional<StreamRefused> reasonOfIdentity(const CompletionRequest& request) const;
  std::optional<StreamRefused> reasonOfLoad(const CompletionRequest& request) const;
  bool supersede(StreamId stream, const CompletionRequest& request, TimePoint now);
  Run makeRun(const CompletionRequest& request, TimePoint now);
  void addRun(StreamId stream, Run run);
  void attach(Run& run, StreamId stream);
  void detach(Run& run);
  void send(StreamId stream, StreamEvent event);
  void refuse(StreamId stream, StreamRefused refusal);
  void resumeRunning(StreamId stream, const ResumeRequest& request, Run& run);
  void resumeFinished(StreamId stream, const ResumeRequest& request, const Finished& finished);
  void finish(Run& run, TimePoint now);
  void endRun(Run& run, RunOutcome outcome, TimePoint now);
  void keepRecord(const RequestRecord& record);
  void forgetFinished(TimePoint now);

  // Batching (engine_model_batch.cc).
  void startPrefill(TimePoint now);
  Run* nextForPrefill();
  bool fits(const Run& run) const;
  void beginRun(Run& run, TimePoint now);
  void beginImport(Run& run, TimePoint now);
  void endImport(Run& run, TimePoint now);
  void endPrefillChunk(TimePoint now);
  void beginDecode(Run& run, TimePoint now);
  void storeComputed(Run& run, const BlockWriter& writer);
  void noteOrigin(Run& run, BlockHash block);
  void startDecodeStep(TimePoint now);
  void endDecodeStep(TimePoint now);
  void produce(Run& run, std::uint64_t count, TimePoint now);
  void storeAnswer(Run& run);
  void leaveBatch(Run& run);
  std::uint32_t usableBlocks(const Run& run) const;
  std::uint32_t blocksNeeded(const Run& run) const;
  std::uint32_t runningCount() const;
  Duration decodeStep() const;
  Duration chunkTime() const;

  // Orders (engine_model_orders.cc).
  ErrorCode orderWeights(const EngineOrder& order);
  ErrorCode orderAdapter(const EngineOrder& order, TimePoint now);
  void advanceLoads(TimePoint now);
  void advanceLoad(ModelState& state, TimePoint now);
  void advanceAdapters(TimePoint now);
  std::optional<TimePoint> nextLoad() const;
  bool modelInUse(const std::string& model) const;
  ModelState* findModel(const std::string& model);
  const ModelState* findModel(const std::string& model) const;

  void comeUp(TimePoint now);
  void runDue(TimePoint now);
  void afterChange(TimePoint now);
  void publishChanges(TimePoint now);
  void noteLoad(TimePoint now);
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

  std::map<std::string, Run> runs_;  ///< By request id; the maps below point into it.
  std::map<Rank, Run*> waiting_;
  std::map<Rank, Run*> prefilling_;
  std::map<Rank, Run*> decoding_;
  std::map<std::uint64_t, Run*> importing_;  ///< By arrival.
  std::map<std::uint64_t, Run*> orphans_;    ///< By arrival.
  std::map<StreamId, Run*> streams_;
  std::map<std::string, Finished> finished_;  ///< By request id.
  std::deque<std::string> finished_order_;    ///< Oldest first.
  std::uint32_t queued_tokens_ = 0;
  std::uint64_t arrivals_ = 0;

  Run* prefill_run_ = nullptr;  ///< Run whose chunk is being computed.
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
