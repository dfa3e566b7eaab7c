#include "sidecar/caller_request.h"

#include <algorithm>
#include <set>
#include <utility>

#include "sidecar/answer_assembler.h"

namespace crankspur {

namespace {

/// Deadline of a request that states none.
constexpr Duration kDefaultDeadline = std::chrono::seconds(60);
/// How long a request waits for a router that can take it before it is refused.
constexpr Duration kRouterPatience = std::chrono::seconds(3);
/// Waits between rounds over all routers.
constexpr Duration kFirstBackoff = std::chrono::milliseconds(50);
constexpr Duration kLongestBackoff = std::chrono::seconds(1);
/// Rounds that wait for the recorded result of an own earlier attempt.
constexpr std::uint32_t kResultRounds = 6;
/// Advice to the caller where the refusing side gave none.
constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

/// What to do after an attempt ended without an answer.
enum class Reaction {
  Final,       ///< Tell the caller.
  NextRouter,  ///< The router could not take it; ask the next one, not counted as an attempt.
  NewAttempt,  ///< Submit again, counted.
  AwaitResult  ///< Another attempt holds the claim; ask again later for its recorded result.
};

Reaction reactionTo(ErrorCode code) {
  switch (code) {
    case ErrorCode::NotReady:
    case ErrorCode::Stopping:
    case ErrorCode::StaleBundle:
    case ErrorCode::VersionMismatch:
    case ErrorCode::RouterUnavailable:
      return Reaction::NextRouter;
    case ErrorCode::EngineLost:
    case ErrorCode::EngineUnavailable:
    case ErrorCode::IncarnationMismatch:
    case ErrorCode::WeightsMismatch:
    case ErrorCode::Unavailable:
    case ErrorCode::Internal:
      return Reaction::NewAttempt;
    case ErrorCode::DuplicateRequest:
      return Reaction::AwaitResult;
    default:
      return Reaction::Final;
  }
}

/// @return whether advice on when to come back makes sense.
bool mayComeBack(ErrorCode code) {
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
    const bool other_weights = accepted.weights_version != weights_;
    if (answer_.tokens() > 0 && other_weights) {
      cancelCurrent();
      finish(ErrorCode::WeightsMismatch, Duration::zero(), "the answer was begun under other weights");
      return;
    }
    engine_ = accepted.engine;
    engine_incarnation_ = accepted.engine_incarnation;
    weights_ = accepted.weights_version;
    startNewPatience();
  }

  void onPiece(const StreamPiece& piece, TimePoint now) override {
    if (!isCurrent(piece.request_id, piece.attempt)) return;
    std::vector<AnswerChunk> chunks;
    const bool fits = answer_.add(piece.offset, piece.token_count, piece.text, chunks);
    for (AnswerChunk& chunk : chunks) {
      actions_.emplace_back(DeliverText{chunk.offset, chunk.token_count, std::move(chunk.text)});
    }
    if (!fits) abandonBrokenAttempt("a piece does not fit the answer", now);
  }

  void onEnd(const StreamEnd& end, TimePoint now) override {
    if (!isCurrent(end.request_id, end.attempt)) return;
    switch (answer_.check(end)) {
      case EndCheck::Complete:
        router_.clear();
        finished_ = true;
        actions_.emplace_back(DeliverEnd{end});
        return;
      case EndCheck::Missing:
        abandonBrokenAttempt("the answer ended with a part missing", now);
        return;
      case EndCheck::Wrong:
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
    switch (reactionAfter(refusal, earlier_may_have_run)) {
      case Reaction::Final:
        finish(refusal.code, refusal.retry_after, refusal.message);
        return;
      case Reaction::NextRouter:
        submit(now);
        return;
      case Reaction::NewAttempt:
        submitCounted(now);
        return;
      case Reaction::AwaitResult:
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

  void onCallerGone(TimePoint) override {
    if (finished_) return;
    finished_ = true;
    retry_at_.reset();
    // An operation goes on to its record, so that the caller finds the result when it asks again.
    if (request_.kind == RequestKind::Completion) cancelCurrent();
  }

  void onTimer(TimePoint now) override {
    if (finished_) return;
    if (now >= deadline_) {
      giveUpAtDeadline();
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

  /// Submits to the best router not tried in this round; without one, waits or gives up.
  void submit(TimePoint now) {
    if (now >= deadline_) {
      giveUpAtDeadline();
      return;
    }
    const std::vector<std::string> ranked = selector_.rank(request_);
    const auto untried = [this](const std::string& name) { return !tried_.contains(name); };
    const auto chosen = std::find_if(ranked.begin(), ranked.end(), untried);
    if (chosen == ranked.end()) {
      waitForRouter(now);
      return;
    }
    tried_.insert(*chosen);
    router_ = *chosen;
    ++request_.attempt;
    request_.deadline = std::chrono::duration_cast<Duration>(deadline_ - now);
    fillResumption();
    actions_.emplace_back(SubmitToRouter{router_, request_});
  }

  /// The request got somewhere: waits for a router are counted afresh.
  void startNewPatience() {
    waiting_since_.reset();
    rounds_ = 0;
  }

  void submitCounted(TimePoint now) {
    startNewPatience();
    if (++counted_attempts_ >= max_attempts_) {
      finish(last_refusal_.code, last_refusal_.retry_after, last_refusal_.message);
      return;
    }
    if (answer_.tokens() > 0 && weights_.empty() && request_.kind == RequestKind::Completion) {
      finish(ErrorCode::EngineLost, Duration::zero(), "the weights of the begun answer are unknown");
      return;
    }
    submit(now);
  }

  void fillResumption() {
    if (request_.kind != RequestKind::Completion || answer_.tokens() == 0) return;
    request_.resume_offset = answer_.tokens();
    request_.resume_text = answer_.text();
    request_.resume_engine = engine_;
    request_.resume_incarnation = engine_incarnation_;
    request_.resume_weights = weights_;
  }

  /// No router is left in this round: starts another after a wait, within kRouterPatience.
  void waitForRouter(TimePoint now) {
    if (!waiting_since_) waiting_since_ = now;
    if (now - *waiting_since_ >= kRouterPatience) {
      const bool refused = last_refusal_.code != ErrorCode::Internal || !last_refusal_.message.empty();
      finish(refused ? last_refusal_.code : ErrorCode::RouterUnavailable, last_refusal_.retry_after,
             refused ? last_refusal_.message : "no router can be reached");
      return;
    }
    tried_.clear();
    retry_at_ = now + nextBackoff();
  }

  Duration nextBackoff() {
    const Duration longest = std::min(kLongestBackoff, kFirstBackoff * (1 << std::min(rounds_, 5U)));
    ++rounds_;
    return Duration(
        static_cast<Duration::rep>(static_cast<double>(longest.count()) * (0.5 + 0.5 * random_.unit())));
  }

  Reaction reactionAfter(const Refusal& refusal, bool earlier_may_have_run) const {
    const Reaction reaction = reactionTo(refusal.code);
    if (reaction == Reaction::AwaitResult) {
      return earlier_may_have_run && rounds_ < kResultRounds ? reaction : Reaction::Final;
    }
    const bool safe = request_.repeatable || refusal.run_state == RunState::NotRun;
    return safe ? reaction : Reaction::Final;
  }

  /// The router sent something that cannot be the whole answer: stops it there and tries elsewhere.
  void abandonBrokenAttempt(const std::string& reason, TimePoint now) {
    cancelCurrent();
    recordRunState(RunState::Ran);
    answer_.forgetWaiting();
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
    answer_.forgetWaiting();
    recordRunState(state);
  }

  /// "Not run" holds for the request only when it holds for each attempt.
  void recordRunState(RunState state) { run_state_ = std::max(run_state_, state); }

  void cancelCurrent() {
    if (router_.empty()) return;
    actions_.emplace_back(CancelAtRouter{router_, {request_.request_id, request_.attempt}});
    recordRunState(RunState::Unknown);
    router_.clear();
  }

  void giveUpAtDeadline() {
    cancelCurrent();
    finish(ErrorCode::DeadlineExceeded, Duration::zero(), "the deadline passed");
  }

  void finish(ErrorCode code, Duration retry_after, const std::string& message) {
    if (answer_.tokens() > 0) recordRunState(RunState::Ran);
    finished_ = true;
    retry_at_.reset();
    Refusal refusal;
    refusal.request_id = request_.request_id;
    refusal.attempt = request_.attempt;
    refusal.code = code;
    refusal.run_state = run_state_;
    refusal.message = message.empty() ? errorName(code) : message;
    refusal.retry_after = retry_after;
    if (refusal.retry_after <= Duration::zero() && mayComeBack(code)) {
      refusal.retry_after = kDefaultRetryAfter;
    }
    actions_.emplace_back(DeliverError{std::move(refusal)});
  }

  SubmitRequest request_;  ///< The attempt submitted last; `attempt` is 0 before the first.
  RouterSelector& selector_;
  std::uint32_t max_attempts_;
  RandomSource random_;
  TimePoint deadline_;
  AnswerAssembler answer_;
  std::string router_;  ///< Router of the open attempt; empty when none is open.
  std::string engine_;  ///< Engine that accepted last.
  std::uint64_t engine_incarnation_ = 0;
  std::string weights_;
  std::set<std::string> tried_;  ///< Routers asked in this round.
  std::uint32_t counted_attempts_ = 0;
  std::uint32_t rounds_ = 0;
  std::optional<TimePoint> waiting_since_;
  std::optional<TimePoint> retry_at_;
  RunState run_state_ = RunState::NotRun;  ///< Merged over ended attempts.
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
