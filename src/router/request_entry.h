#pragma once
/// @file State of one request in a RequestRouter.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admission/admission.h"
#include "attempt/attempt.h"
#include "router/request_router.h"

namespace crankspur {

/// The current dispatch of a request.
struct CurrentDispatch {
  DispatchId id = 0;
  std::unique_ptr<Attempt> attempt;
  std::string backend;  ///< Name of the engine or runner.
  EngineSlot engine = 0;
  std::uint64_t incarnation = 0;
  std::string weights_version;
  std::uint64_t first_token_offset = 0;      ///< Offset of the first token of this dispatch.
  std::uint32_t computed_prompt_tokens = 0;  ///< Prompt tokens that the engine did not have cached.
  std::uint32_t import_tokens = 0;           ///< Leading tokens held after an import; 0: no import.
  bool prefill_done = false;                 ///< The first token was received.
  TimePoint dispatched_at{};
  bool resume = false;           ///< Reattaches to work that is already running.
  bool costless = false;         ///< Ended without work or load at the back end.
  TimePoint last_activity_at{};  ///< When it was sent, or when the last event from the back end was received.
};

/// An engine that failed a request. Excluded from its placement until the incarnation changes.
struct ExcludedEngine {
  EngineSlot slot = 0;
  std::uint64_t incarnation = 0;
};

/// State of one request.
struct RequestEntry {
  enum class Phase {
    WaitingForBundle,  ///< The shard's bundle is older than the sidecar's.
    Claiming,          ///< Waiting for the decision on the operation's claim.
    Running,           ///< A dispatch is in progress.
  };

  std::uint64_t serial = 0;  ///< Identifies the entry within the shard.
  SubmitRequest request;
  SidecarId sidecar = 0;
  Phase phase = Phase::Running;
  TimePoint submitted_at{};
  TimePoint deadline{};
  TimePoint timer = TimePoint::max();  ///< Time registered with the shard's timers.
  TimePoint bundle_wait_end{};         ///< End of WaitingForBundle.

  std::optional<CurrentDispatch> dispatch;
  std::uint32_t dispatches = 0;           ///< Dispatches that started work at a back end.
  std::uint32_t resumes = 0;              ///< Dispatches that resumed a stream at an engine.
  RunState run_state = RunState::NotRun;  ///< Highest of the dispatches that ended.
  std::vector<ExcludedEngine> excluded;   ///< Engines that failed this request.
  std::vector<std::string> excluded_runners;
  ErrorCode last_error = ErrorCode::EngineUnavailable;
  Duration last_retry_after{0};

  std::vector<BlockHash> blocks;
  std::string blocks_weights;       ///< Weights version that `blocks` is salted with.
  std::string text;                 ///< Generated text so far, from offset 0.
  std::uint64_t tokens = 0;         ///< Generated tokens so far, from offset 0.
  std::string answer_weights;       ///< Weights version of `text`; empty while there is no text.
  std::uint32_t prompt_tokens = 0;  ///< As counted by the engine; 0 until accepted.
  std::uint32_t cached_tokens = 0;

  std::uint32_t priority = 1;                ///< As set by admission control.
  std::optional<AdmissionRequest> admitted;  ///< Set while admission control counts the request.
  std::optional<std::uint64_t> claim;        ///< Identifies the claim of an operation.
  bool claim_granted = false;
  bool first_token_seen = false;
  /// The sidecar received its final response or disconnected; only the claim's record is still needed.
  bool record_only = false;
  DecisionRecord record;
};

}  // namespace crankspur
