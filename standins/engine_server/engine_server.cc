#include "standins/engine_server/engine_server.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <utility>

#include "standins/engine_server/engine_codec.h"

namespace crankspur::standin {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr std::size_t kStatsRecords = 1000;
constexpr std::uint64_t kMaxPollWaitMilliseconds = 30'000;
constexpr std::size_t kRequestBytes = std::size_t{8} * 1024 * 1024;
const char* const kEmptyObject = "{}";

http::Response badRequest(const std::string& message) {
  return http::errorResponse(kBadRequest, "invalid_request", message, "not_run");
}

http::Response notFound(const http::Request& request) {
  return http::errorResponse(kNotFound, "invalid_request", "no such call: " + request.path(), "not_run");
}

/// @return the numeric query parameter; `fallback` if it is absent, empty if it is not a number.
std::optional<std::uint64_t> queryNumber(const http::Request& request, const std::string& name,
                                         std::uint64_t fallback) {
  const std::string text = request.query(name);
  if (text.empty()) return fallback;
  std::uint64_t number = 0;
  if (!absl::SimpleAtoi(text, &number)) return std::nullopt;
  return number;
}

}  // namespace

EngineServer::EngineServer(const boost::asio::any_io_executor& executor, EngineModel& model,
                           const Clock& clock, EventLog& log, EngineServerOptions options)
    : executor_(executor),
      model_(model),
      clock_(clock),
      log_(log),
      options_(std::move(options)),
      started_(clock.now()),
      client_(http::makeClient(executor)),
      model_timer_(executor),
      long_poll_timer_(executor),
      idle_timer_(executor) {}

std::error_code EngineServer::start(const std::string& address) {
  http::ServerLimits limits;
  limits.body_bytes = kRequestBytes;
  std::error_code error;
  server_ = http::listen(
      executor_, address,
      [this](const http::Request& request, const Writer& writer) { handle(request, writer); }, error, limits);
  return error;
}

void EngineServer::stop(std::function<void()> on_idle) {
  on_idle_ = std::move(on_idle);
  model_.startLeaving(clock_.now());
  processOutputs();
}

void EngineServer::handle(const http::Request& request, const Writer& writer) {
  if (request.path() == "/control") {
    control(request, writer);
  } else if (model_.frozen()) {
    buffered_.push_back({request, writer});
  } else {
    dispatch(request, writer);
  }
}

void EngineServer::dispatch(const http::Request& request, const Writer& writer) {
  if (request.method == "GET") {
    dispatchGet(request, writer);
  } else if (request.method == "POST") {
    dispatchPost(request, writer);
  } else {
    writer->respond(notFound(request));
  }
  processOutputs();
}

void EngineServer::dispatchGet(const http::Request& request, const Writer& writer) {
  const std::string path = request.path();
  if (path == "/v1/engine") return writer->respond(http::jsonResponse(kOk, encodeInfo(model_.info())));
  if (path == "/v1/load") {
    return writer->respond(http::jsonResponse(kOk, encodeLoad(model_.load(clock_.now()))));
  }
  if (path == "/v1/cache_events") return cacheEvents(request, writer);
  if (path == "/v1/cache_digest") return cacheDigest(writer);
  if (path == "/v1/stats") {
    const auto limit = queryNumber(request, "limit", kStatsRecords);
    if (!limit) return writer->respond(badRequest("limit must be a number"));
    return writer->respond(http::jsonResponse(kOk, encodeStats(model_, started_, clock_.now(), *limit)));
  }
  writer->respond(notFound(request));
}

void EngineServer::dispatchPost(const http::Request& request, const Writer& writer) {
  const std::string path = request.path();
  if (path == "/v1/completions") return completions(request, writer);
  if (path == "/v1/resume") return resume(request, writer);
  if (path == "/v1/cancel") return cancel(request, writer);
  if (path == "/v1/orders") return order(request, writer);
  if (path == "/v1/kv/export") return exportBlocks(request, writer);
  writer->respond(notFound(request));
}

void EngineServer::completions(const http::Request& request, const Writer& writer) {
  JsonProblem problem;
  const CompletionRequest completion = decodeCompletionRequest(request.body.text(), problem);
  if (problem.found()) return writer->respond(badRequest(problem.text()));
  model_.submit(openStream(writer), completion, clock_.now());
}

void EngineServer::resume(const http::Request& request, const Writer& writer) {
  JsonProblem problem;
  const ResumeRequest resumption = decodeResumeRequest(request.body.text(), problem);
  if (problem.found()) return writer->respond(badRequest(problem.text()));
  model_.resume(openStream(writer), resumption, clock_.now());
}

StreamId EngineServer::openStream(const Writer& writer) {
  const StreamId id = ++last_stream_;
  streams_[id] = {writer, false};
  writer->onClientDisconnected([this, id] {
    streams_.erase(id);
    model_.onStreamClosed(id, clock_.now());
    processOutputs();
  });
  return id;
}

void EngineServer::cancel(const http::Request& request, const Writer& writer) {
  JsonProblem problem;
  const CancelRequest cancellation = decodeCancelRequest(request.body.text(), problem);
  if (problem.found()) return writer->respond(badRequest(problem.text()));
  model_.cancel(cancellation.request_id, cancellation.attempt, clock_.now());
  writer->respond(http::jsonResponse(kOk, kEmptyObject));
}

void EngineServer::order(const http::Request& request, const Writer& writer) {
  JsonProblem problem;
  const EngineOrder engine_order = decodeOrder(request.body.text(), problem);
  if (problem.found()) return writer->respond(badRequest(problem.text()));
  const ErrorCode code = model_.order(engine_order, clock_.now());
  log_.write(EventId::EngineOrderTaken, {{"token", engine_order.token}, {"outcome", errorName(code)}});
  if (code == ErrorCode::Ok) return writer->respond(http::jsonResponse(kOk, kEmptyObject));
  writer->respond(encodeRefusal({code, RanState::NotRun, Duration{0}, "the order was not taken"}));
}

void EngineServer::exportBlocks(const http::Request& request, const Writer& writer) {
  JsonProblem problem;
  const std::vector<BlockHash> blocks = decodeBlocks(request.body.text(), problem);
  if (problem.found()) return writer->respond(badRequest(problem.text()));
  const std::string body = "{\"held\":" + std::to_string(model_.cachedPrefixLength(blocks)) +
                           ",\"incarnation\":" + std::to_string(model_.incarnation()) + "}";
  writer->respond(http::jsonResponse(kOk, body));
}

void EngineServer::cacheEvents(const http::Request& request, const Writer& writer) {
  const auto after = queryNumber(request, "after", 0);
  const auto wait = queryNumber(request, "wait_ms", 0);
  if (!after || !wait) return writer->respond(badRequest("after and wait_ms must be numbers"));
  const std::chrono::milliseconds bounded(std::min(*wait, kMaxPollWaitMilliseconds));
  long_polls_.push_back({*after, model_.incarnation(), clock_.now() + bounded, writer});
}

void EngineServer::cacheDigest(const Writer& writer) {
  const CacheDigest digest = model_.cacheDigest(clock_.now());
  if (!digest.refused) return writer->respond(http::jsonResponse(kOk, encodeDigest(digest)));
  writer->respond(
      encodeRefusal({ErrorCode::RateLimited, RanState::NotRun, digest.retry_after, "asked too soon"}));
}

void EngineServer::control(const http::Request& request, const Writer& writer) {
  JsonProblem problem;
  const EngineControl command = decodeControl(request.body.text(), problem);
  if (problem.found()) return writer->respond(badRequest(problem.text()));
  log_.write(EventId::StandinControlled, {{"action", request.body}});
  if (command.slowdown) model_.setSlowdown(*command.slowdown);
  if (command.event_gap_probability) model_.setEventGapProbability(*command.event_gap_probability);
  apply(command.action);
  writer->respond(http::jsonResponse(kOk, kEmptyObject));
  processOutputs();
}

void EngineServer::apply(EngineAction action) {
  const TimePoint now = clock_.now();
  switch (action) {
    case EngineAction::None:
      break;
    case EngineAction::Crash:
      model_.crash(now);
      for (const BufferedRequest& call : std::exchange(buffered_, {})) call.writer->abort();
      break;
    case EngineAction::Freeze:
      model_.freeze(now);
      break;
    case EngineAction::Thaw:
      model_.thaw(now);
      for (const BufferedRequest& call : std::exchange(buffered_, {})) dispatch(call.request, call.writer);
      break;
    case EngineAction::Leave:
      model_.startLeaving(now);
      break;
  }
}

}  // namespace crankspur::standin
