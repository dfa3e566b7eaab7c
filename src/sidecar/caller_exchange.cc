#include "sidecar/caller_exchange.h"

#include <fmt/format.h>

#include <utility>

#include "base/timer.h"
#include "caller/caller_error.h"

namespace crankspur {

CallerExchange::CallerExchange(const boost::asio::any_io_executor& executor, ExchangeHost& host,
                               std::string request_id, AnswerForm form,
                               std::shared_ptr<http::ResponseWriter> writer, std::size_t slow_caller_bytes)
    : timer_(executor),
      host_(host),
      request_id_(std::move(request_id)),
      form_(std::move(form)),
      writer_(std::move(writer)),
      slow_caller_bytes_(slow_caller_bytes),
      started_(clock_.now()) {}

void CallerExchange::start(SubmitRequest request, RouterSelector& selector, std::uint32_t max_attempts,
                           std::uint64_t random_seed) {
  const std::weak_ptr<CallerExchange> weak = weak_from_this();
  writer_->onClientGone([weak] {
    if (const auto held = weak.lock())
      held->dropCaller(ErrorCode::Cancelled, "the caller closed the connection");
  });
  request_ = makeCallerRequest(std::move(request), selector, max_attempts, random_seed, started_);
  pump();
}

void CallerExchange::onMessage(const Message& message) {
  if (ended_) return;
  const TimePoint now = clock_.now();
  if (const auto* accepted = std::get_if<Accepted>(&message)) {
    if (accepted->attempt == attempt_) accepted_ = *accepted;
    request_->onAccepted(*accepted, now);
  } else if (const auto* piece = std::get_if<StreamPiece>(&message)) {
    request_->onPiece(*piece, now);
  } else if (const auto* end = std::get_if<StreamEnd>(&message)) {
    request_->onEnd(*end, now);
  } else if (const auto* refusal = std::get_if<Refusal>(&message)) {
    request_->onRefusal(*refusal, now);
  }
  pump();
}

void CallerExchange::onRouterLost(const std::string& router) {
  if (ended_) return;
  request_->onRouterLost(router, true, clock_.now());
  pump();
}

void CallerExchange::pump() {
  // A failed submit feeds the request again from inside an action; the outer call goes on with it.
  if (pumping_ || ended_) return;
  pumping_ = true;
  for (auto actions = request_->takeActions(); !actions.empty() && !ended_;
       actions = request_->takeActions()) {
    for (CallerAction& action : actions) {
      if (!ended_) perform(action);
    }
  }
  pumping_ = false;
  if (!ended_) armTimer();
}

void CallerExchange::perform(CallerAction& action) {
  if (const auto* submit = std::get_if<SubmitToRouter>(&action)) {
    performSubmit(*submit);
  } else if (const auto* cancel = std::get_if<CancelAtRouter>(&action)) {
    host_.cancel(cancel->router, cancel->cancel);
  } else if (const auto* text = std::get_if<DeliverText>(&action)) {
    performText(*text);
  } else if (const auto* end = std::get_if<DeliverEnd>(&action)) {
    performEnd(end->end);
  } else if (const auto* error = std::get_if<DeliverError>(&action)) {
    performError(error->refusal);
  }
}

void CallerExchange::performSubmit(const SubmitToRouter& action) {
  releaseRouter();
  attempt_ = action.request.attempt;
  if (host_.submit(action.router, action.request)) {
    router_ = action.router;
  } else {
    request_->onRouterLost(action.router, false, clock_.now());
  }
}

void CallerExchange::performText(const DeliverText& action) {
  if (first_token_ == Duration::zero()) first_token_ = elapsed();
  if (form_.kind != AnswerForm::Kind::Stream) {
    text_ += action.text;
    return;
  }
  std::string chunk = beginStream();
  chunk += textChunk(identity(), action.text);
  writer_->write(std::move(chunk));
  if (writer_->queuedBytes() > slow_caller_bytes_) {
    writer_->abort();
    dropCaller(ErrorCode::TooLarge, "the caller reads too slowly");
  }
}

void CallerExchange::performEnd(const StreamEnd& end) {
  ExchangeOutcome outcome;
  outcome.engine = end.engine.empty() ? accepted_.engine : end.engine;
  outcome.prompt_tokens = end.prompt_tokens;
  outcome.cached_tokens = end.cached_tokens;
  outcome.answer_tokens = end.token_count;
  const TokenUsage usage{end.prompt_tokens, end.token_count, end.cached_tokens};
  if (form_.kind == AnswerForm::Kind::Stream) {
    std::string last = beginStream();
    last += finishChunk(identity(), end.finish_reason);
    if (form_.include_usage) last += usageChunk(identity(), usage);
    last += kDoneEvent;
    writer_->write(std::move(last));
    writer_->end();
  } else {
    const bool operation = form_.kind == AnswerForm::Kind::Operation;
    http::Response response;
    response.headers = answerHeaders("application/json");
    response.body = operation ? operationBody(request_id_, form_.operation, text_)
                              : chatBody(identity(), text_, end.finish_reason, usage);
    writer_->respond(std::move(response));
  }
  finish(std::move(outcome));
}

void CallerExchange::performError(const Refusal& refusal) {
  const CallerError error = toCallerError(refusal);
  if (stream_begun_) {
    // No [DONE] follows, so that no client can take the stream for whole.
    writer_->write(errorEvent(error));
    writer_->end();
  } else {
    http::Response response = makeErrorResponse(error);
    for (auto& [name, value] : answerHeaders("application/json")) response.headers[name] = value;
    writer_->respond(std::move(response));
  }
  ExchangeOutcome outcome;
  outcome.code = refusal.code;
  outcome.run_state = refusal.run_state;
  outcome.message = refusal.message;
  outcome.engine = accepted_.engine;
  finish(std::move(outcome));
}

std::string CallerExchange::beginStream() {
  if (stream_begun_) return {};
  stream_begun_ = true;
  http::Headers headers = answerHeaders("text/event-stream");
  headers["Cache-Control"] = "no-cache";
  writer_->begin(200, std::move(headers));
  return roleChunk(identity());
}

void CallerExchange::dropCaller(ErrorCode code, const std::string& message) {
  if (ended_) return;
  request_->onCallerGone(clock_.now());
  for (CallerAction& action : request_->takeActions()) {
    if (const auto* cancel = std::get_if<CancelAtRouter>(&action))
      host_.cancel(cancel->router, cancel->cancel);
  }
  ExchangeOutcome outcome;
  outcome.code = code;
  outcome.run_state = RunState::Unknown;
  outcome.message = message;
  outcome.engine = accepted_.engine;
  finish(std::move(outcome));
}

void CallerExchange::finish(ExchangeOutcome outcome) {
  ended_ = true;
  timer_.cancel();
  releaseRouter();
  outcome.attempts = attempt_;
  outcome.first_token = first_token_;
  outcome.total = elapsed();
  host_.ended(request_id_, outcome);
}

void CallerExchange::releaseRouter() {
  if (!router_.empty()) host_.released(router_);
  router_.clear();
}

void CallerExchange::armTimer() {
  const std::optional<TimePoint> next = request_->nextTimer();
  if (next == timer_at_ || !next) return;
  timer_at_ = next;
  expireAt(timer_, *next, clock_.now());
  const std::weak_ptr<CallerExchange> weak = weak_from_this();
  timer_.async_wait([weak](boost::system::error_code error) {
    const auto held = weak.lock();
    if (error || !held || held->ended_) return;
    held->timer_at_.reset();
    held->request_->onTimer(held->clock_.now());
    held->pump();
  });
}

http::Headers CallerExchange::answerHeaders(const std::string& content_type) const {
  http::Headers headers;
  headers["Content-Type"] = content_type;
  headers["X-Request-Id"] = form_.caller_id.empty() ? request_id_ : form_.caller_id;
  headers["x-crankspur-request-id"] = request_id_;
  headers["x-crankspur-attempts"] = fmt::format("{}", attempt_);
  if (!accepted_.engine.empty()) {
    headers["x-crankspur-engine"] = accepted_.engine;
    headers["x-crankspur-prompt-tokens"] = fmt::format("{}", accepted_.prompt_tokens);
    headers["x-crankspur-cached-tokens"] = fmt::format("{}", accepted_.cached_tokens);
  }
  return headers;
}

ChatIdentity CallerExchange::identity() const {
  return {"chatcmpl-" + request_id_, form_.created, form_.model_name};
}

Duration CallerExchange::elapsed() const {
  return clock_.now() - started_;
}

}  // namespace crankspur
