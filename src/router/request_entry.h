#pragma once
/// @file One request inside a RequestRouter, from its submission to its end.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admission/admission.h"
#include "attempt/attempt.h"
#include "router/request_router.h"

namespace crankspur {

/// The dispatch that a request waits for now.
struct CurrentDispatch {
  DispatchId id = 0;
  std::unique_ptr<Attempt> attempt;
  std::string backend;  ///< Name of the engine or runner.
  EngineSlot engine = 0;
  std::uint64_t incarnation = 0;
  std::string weights_version;
  std::uint64_t first_token = 0;             ///< Offset of the first token it gives.
  std::uint32_t computed_prompt_tokens = 0;  ///< Prompt tokens the engine did not find cached.
  std::uint32_t import_tokens = 0;           ///< Leading tokens that an import leaves it with; 0: none.
  bool prefill_done = false;                 ///< A token came.
  TimePoint dispatched_at{};
  bool resume = false;        ///< Takes up work that already runs.
  bool costless = false;      ///< It ended without any work or load at the back end.
  TimePoint last_heard_at{};  ///< When it was sent, or the back end was last heard of.
};

/// An engine that failed a request, until it comes back under another incarnation.
struct ExcludedEngine {
  EngineSlot slot = 0;
  std::uint64_t incarnation = 0;
};

/// State of one request.
struct RequestEntry {
  enum class Phase {
    WaitingForBundle,  ///< The shard's bundle is older than the sidecar's.
    Claiming,          ///< The claim of an operation is not decided.
    Running,           ///< A dispatch is under way.
  };

  std::uint64_t serial = 0;  ///< Names the entry within the shard.
  SubmitRequest request;
  SidecarId sidecar = 0;
  Phase phase = Phase::Running;
  TimePoint submitted_at{};
  TimePoint deadline{};
  TimePoint timer = TimePoint::max();  ///< The instant registered with the shard's timers.
  TimePoint hold_until{};              ///< End of WaitingForBundle.

  std::optional<CurrentDispatch> dispatch;
  std::uint32_t dispatches = 0;           ///< Dispatches that asked a back end to begin work.
  std::uint32_t resumes = 0;              ///< Dispatches that asked an engine to go on.
  RunState run_state = RunState::NotRun;  ///< Highest over the dispatches that ended.
  std::vector<ExcludedEngine> excluded;   ///< Engines that failed this request.
  std::vector<std::string> excluded_runners;
  ErrorCode last_error = ErrorCode::EngineUnavailable;
  Duration last_retry_after{0};

  std::vector<BlockHash> blocks;
  std::string blocks_weights;       ///< Weights version that `blocks` is salted with.
  std::string text;                 ///< The answer's text so far, from offset 0.
  std::uint64_t tokens = 0;         ///< The answer's tokens so far, from offset 0.
  std::string answer_weights;       ///< Weights version of `text`; empty while there is none.
  std::uint32_t prompt_tokens = 0;  ///< As the engine counted; 0 until accepted.
  std::uint32_t cached_tokens = 0;

  std::uint32_t priority = 1;                ///< As admission set it.
  std::optional<AdmissionRequest> admitted;  ///< Set while the request counts as in flight.
  std::optional<std::uint64_t> claim;        ///< Names the claim of an operation.
  bool claim_granted = false;
  bool first_token_seen = false;
  bool answered = false;  ///< The sidecar has its final answer or is gone; only the record matters.
  DecisionRecord record;
};

}  // namespace crankspur
