#pragma once
/// @file Values that go into and come out of the engine stand-in's model.

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "prefix_index/block_hash.h"

namespace crankspur::standin {

/// Names one response stream of the model; chosen by the driver, unique within the model.
using StreamId = std::uint64_t;

/// What an engine is used for; reported only, it does not change how the model computes.
enum class ServingRole { Mixed, Prefill, Decode };

/// A model that is loaded at the start.
struct ServedModel {
  std::string model;
  std::string weights_version;
  std::vector<std::string> adapters;
};

/// What one engine is.
struct EngineOptions {
  std::string name;
  ServingRole role = ServingRole::Mixed;
  std::vector<ServedModel> models;
  /// False lets entries of any tenant, adapter or weights serve any request: only to show that a checker
  /// finds such use.
  bool scope_cache_entries = true;
  bool publish_blocks = false;  ///< Give out BlocksComputed for each prefilled prompt.
};

/// Figures of the timing model. They are assumptions; docs/STANDINS.md gives the reason for each.
struct EngineTimings {
  double prefill_tokens_per_second = 8000;
  std::uint32_t prefill_chunk_tokens = 512;  ///< A more urgent request waits for one chunk at most.
  Duration prefill_chunk_base = std::chrono::milliseconds(5);  ///< Fixed cost of a chunk.
  Duration decode_step_base = std::chrono::milliseconds(20);
  Duration decode_step_per_request = std::chrono::microseconds(400);
  double decode_slowdown_while_prefilling = 1.5;
  std::uint32_t tokens_per_step = 1;  ///< Tokens a request gains in one step; more makes fewer events.
  double import_tokens_per_second = 100'000;
  Duration import_latency = std::chrono::milliseconds(5);
  Duration import_timeout = std::chrono::milliseconds(500);  ///< Longest wait for the source's answer.
  std::uint32_t batch_limit = 32;                            ///< Requests that run at once.
  std::uint32_t cache_blocks = 6000;    ///< Memory for running requests and cached prefixes, in blocks.
  std::uint32_t queue_tokens = 40'000;  ///< Prompt tokens that may wait; more is refused as overloaded.
  std::uint32_t queue_requests = 256;   ///< Requests that may wait.
  Duration event_delay = std::chrono::milliseconds(200);      ///< Age of a cache event when readers see it.
  double event_gap_probability = 0.0;                         ///< Chance that an event is lost.
  std::uint32_t event_log_length = 4096;                      ///< Events kept for readers that are behind.
  Duration digest_interval = std::chrono::milliseconds(500);  ///< Least time between two digests.
  Duration load_lag = std::chrono::milliseconds(100);         ///< Age of the load that is reported.
  Duration finished_kept = std::chrono::seconds(10);          ///< How long a finished answer can be resumed.
  Duration orphan_kept = std::chrono::seconds(5);    ///< How long a request runs on without a reader.
  Duration weights_load = std::chrono::seconds(8);   ///< Used by drivers without a weight store.
  Duration weights_retry = std::chrono::seconds(2);  ///< Wait after the weight store gave no answer.
  Duration adapter_load = std::chrono::seconds(1);
};

/// Body of POST /v1/completions.
struct CompletionRequest {
  std::string request_id;
  std::uint32_t attempt = 1;
  std::string tenant;
  std::string model;
  std::string adapter;
  std::string prompt;
  std::uint32_t max_tokens = 0;          ///< Of the whole answer, from offset 0.
  std::uint32_t priority = 1;            ///< 0 is the most urgent.
  std::uint64_t expect_incarnation = 0;  ///< 0: any.
  std::string expect_weights;            ///< Empty: any.
  std::uint64_t resume_offset = 0;
  std::string resume_text;
  std::string import_from;  ///< Address of the engine or KV store that holds blocks; empty: none.
  std::uint32_t import_blocks = 0;
};

/// Body of POST /v1/resume.
struct ResumeRequest {
  std::string request_id;
  std::uint32_t attempt = 1;
  std::uint64_t expect_incarnation = 0;
  std::uint64_t offset = 0;
};

/// Whether a refused request ran, as the engine knows it.
enum class RanState { NotRun, Unknown };

/// The call is refused; the stream ends with it.
struct StreamRefused {
  ErrorCode code = ErrorCode::Internal;
  RanState ran = RanState::NotRun;
  Duration retry_after{0};
  std::string message;
};
/// The engine has queued the request and will run it.
struct StreamAccepted {
  std::uint64_t incarnation = 0;
  std::string weights_version;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;  ///< Leading tokens found in the cache on arrival.
};
/// New text.
struct StreamTokens {
  std::uint64_t offset = 0;
  std::uint32_t count = 0;
  std::string text;
};
/// The answer is whole.
struct StreamFinished {
  std::uint64_t token_count = 0;
  std::uint64_t checksum = 0;       ///< hashBytes over the whole answer's text from offset 0.
  std::string finish_reason;        ///< "stop" or "length".
  std::uint32_t cached_tokens = 0;  ///< Prompt tokens taken from the cache or imported, as it came out.
};
/// The stream ends without a whole answer.
struct StreamCut {};

using StreamEvent = std::variant<StreamRefused, StreamAccepted, StreamTokens, StreamFinished, StreamCut>;

/// Output: an event for a stream, in order.
struct StreamOutput {
  StreamId stream = 0;
  StreamEvent event;
};
/// Output: ask the source how many leading blocks it can send; answered by importAnswered().
struct ImportQuery {
  std::string request_id;
  std::uint32_t attempt = 0;
  std::string address;
  std::vector<BlockHash> blocks;
};
/// Output: ask the weight store how long a load takes; answered by weightsAnswered().
struct WeightsQuery {
  std::string model;
  std::string weights_version;
};

/// Output: the blocks of a prompt are all in the cache; a driver may put them into a KV store.
struct BlocksComputed {
  std::vector<BlockHash> blocks;
};

using EngineOutput = std::variant<StreamOutput, ImportQuery, WeightsQuery, BlocksComputed>;

/// Kinds of fenced orders.
enum class OrderKind { LoadWeights, LoadAdapter, SetRole, Drain };

/// Body of POST /v1/orders.
struct EngineOrder {
  std::uint64_t token = 0;
  OrderKind kind = OrderKind::Drain;
  std::string model;
  std::string weights_version;
  std::string adapter;
  ServingRole role = ServingRole::Mixed;
  std::uint64_t expect_incarnation = 0;  ///< 0: any.
};

/// An order that the engine took, for checkers.
struct OrderRecord {
  EngineOrder order;
  std::uint64_t incarnation = 0;
  TimePoint at{};
};

/// What GET /v1/engine tells.
struct EngineInfo {
  std::string name;
  std::uint64_t incarnation = 0;
  ServingRole role = ServingRole::Mixed;
  bool leaving = false;
  std::vector<ServedModel> models;  ///< Those ready to serve; one that loads weights is missing.
  std::uint32_t batch_limit = 0;
  std::uint32_t cache_blocks_total = 0;
  std::uint64_t order_token = 0;  ///< Highest token seen since the start.
};

/// What GET /v1/load tells.
struct EngineLoadReport {
  std::uint64_t incarnation = 0;
  Duration age{0};
  std::uint32_t queued_tokens = 0;
  std::uint32_t queued_requests = 0;
  std::uint32_t running_requests = 0;
  std::uint32_t batch_limit = 0;
  std::uint32_t cache_blocks_total = 0;
  std::uint32_t cache_blocks_used = 0;
  double prefill_tokens_per_second = 0;
};

/// One change of the cache.
struct CacheChange {
  std::uint64_t sequence = 0;
  std::vector<BlockHash> stored;
  std::vector<BlockHash> removed;
};

/// What GET /v1/cache_events tells.
struct CacheChanges {
  std::uint64_t incarnation = 0;
  std::uint64_t last_sequence = 0;  ///< Newest sequence that readers may see, lost ones included.
  std::vector<CacheChange> events;
};

/// What GET /v1/cache_digest tells.
struct CacheDigest {
  bool refused = false;  ///< Asked too soon; try again after `retry_after`.
  Duration retry_after{0};
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::vector<BlockHash> blocks;
};

/// Leading blocks of a request that came from one writer. A checker compares scope and incarnation with
/// those of the request.
struct BlockOrigin {
  std::shared_ptr<const CacheScope> scope;  ///< Scope of the request that computed the blocks.
  std::uint64_t incarnation = 0;            ///< Incarnation of the engine that computed them.
  bool imported = false;                    ///< They came from another engine or a KV store.
  std::uint32_t blocks = 0;
};

/// How the run of a request ended.
enum class RunOutcome { Waiting, Running, Finished, Cancelled, Replaced, Orphaned, Crashed };

/// What the engine did for one accepted request; for checkers and measurements.
struct RequestRecord {
  std::string request_id;
  StreamId submitted_on = 0;  ///< Stream of the submission that this is the run of.
  std::uint32_t attempt = 0;  ///< The newest attempt that read the stream.
  std::shared_ptr<const CacheScope> scope;
  std::uint64_t incarnation = 0;
  std::uint64_t expect_incarnation = 0;
  std::string expect_weights;
  std::uint32_t priority = 0;
  std::uint64_t resume_offset = 0;
  std::uint32_t prompt_tokens = 0;      ///< Resumed text counted in.
  std::uint32_t cached_tokens = 0;      ///< Taken from the engine's own cache.
  std::uint32_t imported_tokens = 0;    ///< Taken from elsewhere.
  std::uint32_t recomputed_tokens = 0;  ///< Prefilled.
  std::uint32_t answer_tokens = 0;      ///< Produced by this run.
  std::vector<BlockOrigin> used_blocks;
  TimePoint arrived{};
  TimePoint started{};      ///< Prefill or import began.
  TimePoint first_token{};  ///< Epoch when none was made.
  TimePoint ended{};        ///< Epoch while it runs.
  RunOutcome outcome = RunOutcome::Waiting;
};

/// Sums over all requests since the process started, crashes included.
struct EngineTotals {
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  std::uint64_t imported_tokens = 0;
  std::uint64_t recomputed_tokens = 0;
  std::uint64_t answer_tokens = 0;
  std::uint64_t evicted_blocks = 0;
};

}  // namespace crankspur::standin
