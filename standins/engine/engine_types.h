#pragma once
/// @file Input and output types of the engine stand-in's model.

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "prefix_index/block_hash.h"

namespace crankspur::standin {

/// Identifies one response stream of the model; chosen by the driver, unique within the model.
using StreamId = std::uint64_t;

/// Role of an engine. It is only reported and does not change the behaviour of the model.
enum class ServingRole { Mixed, Prefill, Decode };

/// A model with its weights version and the adapters that are loaded.
struct ServedModel {
  std::string model;
  std::string weights_version;
  std::vector<std::string> adapters;
};

/// Identity and features of one engine.
struct EngineOptions {
  std::string name;
  ServingRole role = ServingRole::Mixed;
  std::vector<ServedModel> models;
  /// If false, cache entries of any tenant, adapter or weights version serve any request. Used only to show
  /// that a checker detects such use.
  bool scope_cache_entries = true;
  bool publish_blocks = false;  ///< Output BlocksComputed for each prefilled prompt.
};

/// Parameters of the timing model. The values are assumptions; docs/STANDINS.md gives the reason for each.
struct EngineTimings {
  double prefill_tokens_per_second = 8000;
  std::uint32_t prefill_chunk_tokens = 512;  ///< A more urgent request waits for at most one chunk.
  Duration prefill_chunk_base = std::chrono::milliseconds(5);  ///< Fixed cost of a chunk.
  Duration decode_step_base = std::chrono::milliseconds(20);
  Duration decode_step_per_request = std::chrono::microseconds(400);
  double decode_slowdown_while_prefilling = 1.5;
  std::uint32_t tokens_per_step = 1;  ///< Tokens per request and step; a larger value makes fewer events.
  double import_tokens_per_second = 100'000;
  Duration import_latency = std::chrono::milliseconds(5);
  Duration import_timeout = std::chrono::milliseconds(500);  ///< Maximum wait for the response of the source.
  std::uint32_t batch_limit = 32;       ///< Maximum number of concurrently running requests.
  std::uint32_t cache_blocks = 6000;    ///< Memory for running requests and cached prefixes, in blocks.
  std::uint32_t queue_tokens = 40'000;  ///< Maximum queued prompt tokens; more are refused as overloaded.
  std::uint32_t queue_requests = 256;   ///< Maximum number of queued requests.
  Duration event_delay = std::chrono::milliseconds(200);      ///< Delay until readers see a cache event.
  double event_gap_probability = 0.0;                         ///< Probability that an event is lost.
  std::uint32_t event_log_length = 4096;                      ///< Events kept for readers that lag behind.
  Duration digest_interval = std::chrono::milliseconds(500);  ///< Minimum time between two digests.
  Duration load_lag = std::chrono::milliseconds(100);         ///< Age of the reported load.
  Duration finished_retention = std::chrono::seconds(10);  ///< How long a finished completion can be resumed.
  Duration orphan_timeout = std::chrono::seconds(5);       ///< How long a request continues without a reader.
  Duration weights_load = std::chrono::seconds(8);         ///< Load time for drivers without a weight store.
  Duration weights_retry = std::chrono::seconds(2);  ///< Retry delay if the weight store does not respond.
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
  std::uint32_t max_tokens = 0;          ///< Of the complete text, from offset 0.
  std::uint32_t priority = 1;            ///< 0 is the highest priority.
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

/// Whether a refused request may have run, as far as the engine knows.
enum class RanState { NotRun, Unknown };

/// The call is refused; this is the last event of the stream.
struct StreamRefused {
  ErrorCode code = ErrorCode::Internal;
  RanState ran = RanState::NotRun;
  Duration retry_after{0};
  std::string message;
};
/// The request is queued and will run.
struct StreamAccepted {
  std::uint64_t incarnation = 0;
  std::string weights_version;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;  ///< Leading tokens found in the cache on arrival.
};
/// Generated tokens.
struct StreamTokens {
  std::uint64_t offset = 0;
  std::uint32_t count = 0;
  std::string text;
};
/// The completion is finished.
struct StreamFinished {
  std::uint64_t token_count = 0;
  std::uint64_t checksum = 0;       ///< hashBytes over the complete text from offset 0.
  std::string finish_reason;        ///< "stop" or "length".
  std::uint32_t cached_tokens = 0;  ///< Prompt tokens that were cached or imported in the end.
};
/// The stream is aborted before the completion is finished.
struct StreamAborted {};

using StreamEvent = std::variant<StreamRefused, StreamAccepted, StreamTokens, StreamFinished, StreamAborted>;

/// Output: an event for a stream, in order.
struct StreamOutput {
  StreamId stream = 0;
  StreamEvent event;
};
/// Output: query the source for the number of leading blocks that it can send. The driver passes the response
/// to onImportResponse().
struct ImportQuery {
  std::string request_id;
  std::uint32_t attempt = 0;
  std::string address;
  std::vector<BlockHash> blocks;
};
/// Output: query the weight store for the load time. The driver passes the response to onWeightsResponse().
struct WeightsQuery {
  std::string model;
  std::string weights_version;
};

/// Output: all blocks of a prompt are cached; a driver may put them into a KV store.
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

/// An order that the engine accepted; for checkers.
struct OrderRecord {
  EngineOrder order;
  std::uint64_t incarnation = 0;
  TimePoint at{};
};

/// Response to GET /v1/engine.
struct EngineInfo {
  std::string name;
  std::uint64_t incarnation = 0;
  ServingRole role = ServingRole::Mixed;
  bool leaving = false;
  std::vector<ServedModel> models;  ///< Models ready to serve; a model that is loading weights is omitted.
  std::uint32_t batch_limit = 0;
  std::uint32_t cache_blocks_total = 0;
  std::uint64_t order_token = 0;  ///< Highest token received since the start.
};

/// Response to GET /v1/load.
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

/// Response to GET /v1/cache_events.
struct CacheChanges {
  std::uint64_t incarnation = 0;
  std::uint64_t last_sequence = 0;  ///< Latest visible sequence number, lost events included.
  std::vector<CacheChange> events;
};

/// Response to GET /v1/cache_digest.
struct CacheDigest {
  bool refused = false;  ///< Rate limited; retry after `retry_after`.
  Duration retry_after{0};
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::vector<BlockHash> blocks;
};

/// Leading blocks of a request that have the same origin. A checker compares scope and incarnation with those
/// of the request.
struct BlockOrigin {
  std::shared_ptr<const CacheScope> scope;  ///< Scope of the request that computed the blocks.
  std::uint64_t incarnation = 0;            ///< Incarnation of the engine that computed them.
  bool imported = false;                    ///< Imported from another engine or a KV store.
  std::uint32_t blocks = 0;
};

/// State of a request, or how it ended.
enum class RunOutcome { Waiting, Running, Finished, Cancelled, Replaced, Orphaned, Crashed };

/// Record of one accepted request; for checkers and measurements.
struct RequestRecord {
  std::string request_id;
  StreamId submitted_on = 0;  ///< Stream on which the request was submitted.
  std::uint32_t attempt = 0;  ///< Latest attempt that read the stream.
  std::shared_ptr<const CacheScope> scope;
  std::uint64_t incarnation = 0;
  std::uint64_t expect_incarnation = 0;
  std::string expect_weights;
  std::uint32_t priority = 0;
  std::uint64_t resume_offset = 0;
  std::uint32_t prompt_tokens = 0;      ///< Including the resumed text.
  std::uint32_t cached_tokens = 0;      ///< Found in the engine's own cache.
  std::uint32_t imported_tokens = 0;    ///< Imported from another engine or a KV store.
  std::uint32_t recomputed_tokens = 0;  ///< Prefilled.
  std::uint32_t answer_tokens = 0;      ///< Generated by this run.
  std::vector<BlockOrigin> used_blocks;
  TimePoint arrived{};
  TimePoint started{};      ///< Prefill or import began.
  TimePoint first_token{};  ///< Clock epoch if no token was generated.
  TimePoint ended{};        ///< Clock epoch while the request runs.
  RunOutcome outcome = RunOutcome::Waiting;
};

/// Totals over all requests since the driver created the model; they survive crash().
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
