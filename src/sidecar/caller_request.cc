#include "sidecar/caller_request.h"

#include <algorithm>
#include <set>
#include <utility>

#include "sidecar/response_assembler.h"

namespace crankspur {

namespace {

/// Deadline of a request without one.
constexpr Duration kDefaultDeadline = std::chrono::seconds(60);
/// How long a request waits for a router that accepts it before it is rejected.
constexpr Duration kRouterWaitLimit = std::chrono::seconds(3);
/// Delays between rounds over all routers.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxBackoff = std::chrono::seconds(1);
/// Maximum number of rounds that wait for the recorded result of an earlier attempt.
constexpr std::uint32_t kMaxResultRounds = 6;
/// Retry-After for the caller if the refusal has none.
constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

/// What to do after an attempt failed.
enum class RetryDecision {
  Final,       ///< Report the failure to the caller.
  NextRouter,  ///< The router did not accept it; try the next one, not counted as an attempt.
  NewAttempt,  ///< Submit again, counted as an attempt.
  AwaitResult  ///< Another attempt holds the claim; retry later to get its recorded result.
};

RetryDecision decisionFor(ErrorCode code) {
  switch (code) {
    case ErrorCode::NotReady:
    case ErrorCode::Stopping:
    case ErrorCode::StaleBundle:
    case ErrorCode::VersionMismatch:
    case ErrorCode::RouterUnavailable:
      return RetryDecision::NextRouter;
    case ErrorCode::EngineLost:
    case ErrorCode::EngineUnavailable:
    case ErrorCode::IncarnationMismatch:
    case ErrorCode::WeightsMismatch:
    case ErrorCode::Unavailable:
    case ErrorCode::Internal:
      return RetryDecision::NewAttempt;
    case ErrorCode::DuplicateRequest:
      return RetryDecision::AwaitResult;
    default:
      return RetryDecision::Final;
  }
}

/// @return whether the caller receives a retry delay with this error, by default kDefaultRetryAfter.
bool isRetryableByCaller(ErrorCode code) {
  switch (code) {
    case ErrorCode::InvalidRequest:
    case ErrorCode::Unauthorized:
    case ErrorCode::UnknownModel:
    case ErrorCode::TooLarge:
    case ErrorCode::Cancelled:
      return false;
    default:
      return true;
  }
}

class CallerRequestImpl : public CallerRequest {
public:
  CallerRequestImpl(SubmitRequest request, RouterSelector& selector, std::uint32_t max_attempts,
                    std::uint64_t random_seed, TimePoint now)
      : request_(std::move(request)),
        selector_(selector),
        max_attempts_(std::max<std::uint32_t>(max_attempts, 1)),
        random_(random_seed) {
    deadline_ = now + (request_.deadline > Duration::zero() ? request_.deadline : kDefaultDeadline);
    request_.attempt = std::max<std::uint32_t>(request_.attempt, 1) - 1;
    submit(now);
  }

  void onAccepted(const Accepted& accepted, TimePoint) override {
    if (!isCurrent(accepted.request_id, accepted.attempt)) return;
    const bool weights_changed = accepted.weights_version != weights_;
    if (assembler_.tokens() > 0 && weights_changed) {
      cancelCurrent();
      finish(ErrorCode::WeightsMismatch, Duration::zero(), "the answer was begun under other weights");
      return;
    }
    engine_ = accepted.engine;
    engine_incarnation_ = accepted.engine_incarnation;
    weights_ = accepted.weights_version;
    resetRouterWait();
  }

  void onPiece(const StreamPiece& piece, TimePoint now) override {
    if (!isCurrent(piece.request_id, piece.attempt)) return;
    std::vector<ResponseChunk> chunks;
    const bool valid = assembler_.add(piece.offset, piece.token_count, piece.text, chunks);
    for (ResponseChunk& chunk : chunks) {
      actions_.emplace_back(DeliverText{chunk.offset, chunk.token_count, std::move(chunk.text)});
    }
    if (!valid) abandonInvalidAttempt("a piece does not fit the answer", now);
  }

  void onEnd(const StreamEnd& end, TimePoint now) override {
    if (!isCurrent(end.request_id, end.attempt)) return;
    switch (assembler_.check(end)) {
      case EndCheck::Complete:
        router_.clear();
        finished_ = true;
        actions_.emplace_back(DeliverEnd{end});
        return;
      case EndCheck::Incomplete:
        abandonInvalidAttempt("the answer ended with a part missing", now);
        return;
      case EndCheck::Mismatch:
        router_.clear();
        recordRunState(RunState::Ran);
        finish(ErrorCode::Internal, Duration::zero(), "the answer does not match its checksum");
        return;
    }
  }

  void onRefusal(const Refusal& refusal, TimePoint now) override {
    if (!isCurrent(refusal.request_id, refusal.attempt)) return;
    const bool earlier_may_have_run = run_state_ != RunState::NotRun;
    endAttempt(refusal.run_state);
    last_refusal_ = refusal;
    switch (decideAfterRefusal(refusal, earlier_may_have_run)) {
      case RetryDecision::Final:
        finish(refusal.code, refusal.retry_after, refusal.message);
        return;
      case RetryDecision::NextRouter:
        submit(now);
        return;
      case RetryDecision::NewAttempt:
        submitCounted(now);
        return;
      case RetryDecision::AwaitResult:
        tried_.clear();
        retry_at_ = now + std::max(refusal.retry_after, nextBackoff());
        return;
    }
  }

  void onRouterLost(const std::string& router, bool submitted, TimePoint now) override {
    if (finished_ || router.empty() || router != router_) return;
    endAttempt(submitted ? RunState::Unknown : RunState::NotRun);
    last_refusal_ = Refusal{};
    last_refusal_.code = ErrorCode::RouterUnavailable;
    last_refusal_.message = "the connection to the router was lost";
    if (!submitted) {
      submit(now);
    } else if (request_.repeatable || !request_.idempotency_key.empty()) {
      submitCounted(now);
    } else {
      finish(ErrorCode::RouterUnavailable, Duration::zero(), last_refusal_.message);
    }
  }

  void onCallerDisconnected(TimePoint) override {
    if (finished_) return;
    finished_ = true;
    retry_at_.reset();
    // An operation continues until its result is recorded, so that the caller gets it on a retry.
    if (request_.kind == RequestKind::Completion) cancelCurrent();
  }

  void onTimer(TimePoint now) override {
    if (finished_) return;
    if (now >= deadline_) {
      failAtDeadline();
      return;
    }
    if (retry_at_ && now >= *retry_at_) {
      retry_at_.reset();
      submit(now);
    }
  }

  std::optional<TimePoint> nextTimer() const override {
    if (finished_) return std::nullopt;
    return retry_at_ ? std::min(*retry_at_, deadline_) : deadline_;
  }

  std::vector<CallerAction> takeActions() override { return std::exchange(actions_, {}); }
  bool finished() const override { return finished_; }

private:
  bool isCurrent(const std::string& request_id, std::uint32_t attempt) const {
    return !finished_ && !router_.empty() && attempt == request_.attempt && request_id == request_.request_id;
  }

  /// Submits to the best router not tried in this round. Without one, waits or fails.
  void submit(TimePoint now) {
    if (now >= deadline_) {
      failAtDeadline();
      return;
    }
    const std::vector<std::string> ranked = selector_.rank(request_);
    const auto untried = [this](const std::string& name) { return !tried_.contains(name); };
    const auto selected = std::find_if(ranked.begin(), ranked.end(), untried);
    if (selected == ranked.end()) {
      waitForRouter(now);
      return;
    }
    tried_.insert(*selected);
    router_ = *selected;
    ++request_.attempt;
    request_.deadline = std::chrono::duration_cast<Duration>(deadline_ - now);
    setResumeFields();
    actions_.emplace_back(SubmitToRouter{router_, request_});
  }

  /// The request made progress: restarts the limits on waiting for a router.
  void resetRouterWait() {
    waiting_since_.reset();
    rounds_ = 0;
  }

  void submitCounted(TimePoint now) {
    resetRouterWait();
    if (++counted_attempts_ >= max_attempts_) {
      finish(last_refusal_.code, last_refusal_.retry_after, last_refusal_.message);
      return;
    }
    if (assembler_.tokens() > 0 && weights_.empty() && request_.kind == RequestKind::Completion) {
      finish(ErrorCode::EngineLost, Duration::zero(), "the weights of the begun answer are unknown");
      return;
    }
    submit(now);
  }

  void setResumeFields() {
    if (request_.kind != RequestKind::Completion || assembler_.tokens() == 0) return;
    request_.resume_offset = assembler_.tokens();
    request_.resume_text = assembler_.text();
    request_.resume_engine = engine_;
    request_.resume_incarnation = engine_incarnation_;
    request_.resume_weights = weights_;
  }

  /// All routers were tried in this round: starts another after a backoff, up to kRouterWaitLimit.
  void waitForRouter(TimePoint now) {
    if (!waiting_since_) waiting_since_ = now;
    if (now - *waiting_since_ >= kRouterWaitLimit) {
      const bool has_refusal = last_refusal_.code != ErrorCode::Internal || !last_refusal_.message.empty();
      finish(has_refusal ? last_refusal_.code : ErrorCode::RouterUnavailable, last_refusal_.retry_after,
             has_refusal ? last_refusal_.message : "no router can be reached");
      return;
    }
    tried_.clear();
    retry_at_ = now + nextBackoff();
  }

  Duration nextBackoff() {
    const Duration max_delay = std::min(kMaxBackoff, kInitialBackoff * (1 << std::min(rounds_, 5U)));
    ++rounds_;
    return Duration(
        static_cast<Duration::rep>(static_cast<double>(max_delay.count()) * (0.5 + 0.5 * random_.unit())));
  }

  RetryDecision decideAfterRefusal(const Refusal& refusal, bool earlier_may_have_run) const {
    const RetryDecision decision = decisionFor(refusal.code);
    if (decision == RetryDecision::AwaitResult) {
      return earlier_may_have_run && rounds_ < kMaxResultRounds ? decision : RetryDecision::Final;
    }
    const bool safe_to_retry = request_.repeatable || refusal.run_state == RunState::NotRun;
    return safe_to_retry ? decision : RetryDecision::Final;
  }

  /// The router sent an invalid or incomplete response: cancels the attempt and tries another router.
  void abandonInvalidAttempt(const std::string& reason, TimePoint now) {
    cancelCurrent();
    recordRunState(RunState::Ran);
    assembler_.discardBuffered();
    last_refusal_ = Refusal{};
    last_refusal_.code = ErrorCode::EngineLost;
    last_refusal_.message = reason;
    if (request_.repeatable || !request_.idempotency_key.empty()) {
      submitCounted(now);
    } else {
      finish(ErrorCode::EngineLost, Duration::zero(), reason);
    }
  }

  void endAttempt(RunState state) {
    router_.clear();
    assembler_.discardBuffered();
    recordRunState(state);
  }

  /// The request is "not run" only if every attempt is.
  void recordRunState(RunState state) { run_state_ = std::max(run_state_, state); }

  void cancelCurrent() {
    if (router_.empty()) return;
    actions_.emplace_back(CancelAtRouter{router_, {request_.request_id, request_.attempt}});
    recordRunState(RunState::Unknown);
    router_.clear();
  }

  void failAtDeadline() {
    cancelCurrent();
    finish(ErrorCode::DeadlineExceeded, Duration::zero(), "the deadline passed");
  }

  void finish(ErrorCode code, Duration retry_after, const std::string& message) {
    if (assembler_.tokens() > 0) recordRunState(RunState::Ran);
    finished_ = true;
    retry_at_.reset();
    Refusal refusal;
    refusal.request_id = request_.request_id;
    refusal.attempt = request_.attempt;
    refusal.code = code;
    refusal.run_state = run_state_;
    refusal.message = message.empty() ? errorName(code) : message;
    refusal.retry_after = retry_after;
    if (refusal.retry_after <= Duration::zero() && isRetryableByCaller(code)) {
      refusal.retry_after = kDefaultRetryAfter;
    }
    actions_.emplace_back(DeliverError{std::move(refusal)});
  }

  SubmitRequest request_;  ///< Last submitted attempt; `attempt` is 0 before the first.
  RouterSelector& selector_;
  std::uint32_t max_attempts_;
  RandomSource random_;
  TimePoint deadline_;
  ResponseAssembler assembler_;
  std::string router_;  ///< Router of the current attempt; empty if there is none.
  std::string engine_;  ///< Engine of the latest accepted attempt.
  std::uint64_t engine_incarnation_ = 0;
  std::string weights_;
  std::set<std::string> tried_;  ///< Routers tried in this round.
  std::uint32_t counted_attempts_ = 0;
  std::uint32_t rounds_ = 0;
  std::optional<TimePoint> waiting_since_;
  std::optional<TimePoint> retry_at_;
  RunState run_state_ = RunState::NotRun;  ///< Merged over all ended attempts.
  Refusal last_refusal_;
  bool finished_ = false;
  std::vector<CallerAction> actions_;
};

}  // namespace

std::unique_ptr<CallerRequest> makeCallerRequest(SubmitRequest request, RouterSelector& selector,
                                                 std::uint32_t max_attempts, std::uint64_t random_seed,
                                                 TimePoint now) {
  return std::make_unique<CallerRequestImpl>(std::move(request), selector, max_attempts, random_seed, now);
}

}  // namespace crankspur
