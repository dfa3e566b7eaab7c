#include "sidecar/caller_exchange.h"

#include <fmt/format.h>

#include <utility>

#include "base/timer.h"
#include "caller/caller_error.h"

namespace crankspur {

CallerExchange::CallerExchange(const boost::asio::any_io_executor& executor, ExchangeHost& host,
                               std::string request_id, ResponseFormat response_format,
                               std::shared_ptr<http::ResponseWriter> writer, std::size_t slow_caller_bytes)
    : timer_(executor),
      host_(host),
      request_id_(std::move(request_id)),
      response_format_(std::move(response_format)),
      writer_(std::move(writer)),
      slow_caller_bytes_(slow_caller_bytes),
      started_(clock_.now()) {}

void CallerExchange::start(SubmitRequest request, RouterSelector& selector, std::uint32_t max_attempts,
                           std::uint64_t random_seed) {
  const std::weak_ptr<CallerExchange> weak = weak_from_this();
  writer_->onClientDisconnected([weak] {
    if (const auto self = weak.lock())
      self->disconnectCaller(ErrorCode::Cancelled, "the caller closed the connection");
  });
  request_ = makeCallerRequest(std::move(request), selector, max_attempts, random_seed, started_);
  processActions();
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
  processActions();
}

void CallerExchange::onRouterLost(const std::string& router) {
  if (ended_) return;
  request_->onRouterLost(router, true, clock_.now());
  processActions();
}

void CallerExchange::processActions() {
  // A failed submit produces more actions while one is executed; the outer call processes them.
  if (processing_actions_ || ended_) return;
  processing_actions_ = true;
  for (auto actions = request_->takeActions(); !actions.empty() && !ended_;
       actions = request_->takeActions()) {
    for (CallerAction& action : actions) {
      if (!ended_) execute(action);
    }
  }
  processing_actions_ = false;
  if (!ended_) armTimer();
}

void CallerExchange::execute(CallerAction& action) {
  if (const auto* submit = std::get_if<SubmitToRouter>(&action)) {
    executeSubmit(*submit);
  } else if (const auto* cancel = std::get_if<CancelAtRouter>(&action)) {
    host_.cancel(cancel->router, cancel->cancel);
  } else if (const auto* text = std::get_if<DeliverText>(&action)) {
    executeText(*text);
  } else if (const auto* end = std::get_if<DeliverEnd>(&action)) {
    executeEnd(end->end);
  } else if (const auto* error = std::get_if<DeliverError>(&action)) {
    executeError(error->refusal);
  }
}

void CallerExchange::executeSubmit(const SubmitToRouter& action) {
  releaseRouter();
  attempt_ = action.request.attempt;
  if (host_.submit(action.router, action.request)) {
    router_ = action.router;
  } else {
    request_->onRouterLost(action.router, false, clock_.now());
  }
}

void CallerExchange::executeText(const DeliverText& action) {
  if (first_token_ == Duration::zero()) first_token_ = elapsed();
  if (response_format_.kind != ResponseFormat::Kind::Stream) {
    text_ += action.text;
    return;
  }
  std::string chunk = beginStream();
  chunk += textChunk(identity(), action.text);
  writer_->write(std::move(chunk));
  if (writer_->queuedBytes() > slow_caller_bytes_) {
    writer_->abort();
    disconnectCaller(ErrorCode::TooLarge, "the caller reads too slowly");
  }
}

void CallerExchange::executeEnd(const StreamEnd& end) {
  ExchangeOutcome outcome;
  outcome.engine = end.engine.empty() ? accepted_.engine : end.engine;
  outcome.prompt_tokens = end.prompt_tokens;
  outcome.cached_tokens = end.cached_tokens;
  outcome.completion_tokens = end.token_count;
  const TokenUsage usage{end.prompt_tokens, end.token_count, end.cached_tokens};
  if (response_format_.kind == ResponseFormat::Kind::Stream) {
    std::string last = beginStream();
    last += finishChunk(identity(), end.finish_reason);
    if (response_format_.include_usage) last += usageChunk(identity(), usage);
    last += kDoneEvent;
    writer_->write(std::move(last));
    writer_->end();
  } else {
    const bool is_operation = response_format_.kind == ResponseFormat::Kind::Operation;
    http::Response response;
    response.headers = responseHeaders("application/json");
    response.body = is_operation ? operationBody(request_id_, response_format_.operation, text_)
                                 : chatBody(identity(), text_, end.finish_reason, usage);
    writer_->respond(std::move(response));
  }
  finish(std::move(outcome));
}

void CallerExchange::executeError(const Refusal& refusal) {
  const CallerError error = toCallerError(refusal);
  if (stream_started_) {
    // Without [DONE], so that no client takes the stream for complete.
    writer_->write(errorEvent(error));
    writer_->end();
  } else {
    http::Response response = makeErrorResponse(error);
    for (auto& [name, value] : responseHeaders("application/json")) response.headers[name] = value;
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
  if (stream_started_) return {};
  stream_started_ = true;
  http::Headers headers = responseHeaders("text/event-stream");
  headers["Cache-Control"] = "no-cache";
  writer_->begin(200, std::move(headers));
  return roleChunk(identity());
}

void CallerExchange::disconnectCaller(ErrorCode code, const std::string& message) {
  if (ended_) return;
  request_->onCallerDisconnected(clock_.now());
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
  host_.onEnded(request_id_, outcome);
}

void CallerExchange::releaseRouter() {
  if (!router_.empty()) host_.onRouterReleased(router_);
  router_.clear();
}

void CallerExchange::armTimer() {
  const std::optional<TimePoint> next = request_->nextTimer();
  if (next == timer_at_ || !next) return;
  timer_at_ = next;
  expireAt(timer_, *next, clock_.now());
  const std::weak_ptr<CallerExchange> weak = weak_from_this();
  timer_.async_wait([weak](boost::system::error_code error) {
    const auto self = weak.lock();
    if (error || !self || self->ended_) return;
    self->timer_at_.reset();
    self->request_->onTimer(self->clock_.now());
    self->processActions();
  });
}

http::Headers CallerExchange::responseHeaders(const std::string& content_type) const {
  http::Headers headers;
  headers["Content-Type"] = content_type;
  headers["X-Request-Id"] =
      response_format_.caller_request_id.empty() ? request_id_ : response_format_.caller_request_id;
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
  return {"chatcmpl-" + request_id_, response_format_.created, response_format_.model_name};
}

Duration CallerExchange::elapsed() const {
  return clock_.now() - started_;
}

}  // namespace crankspur
