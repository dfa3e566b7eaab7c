// Output processing and timers of EngineServer.

#include <boost/json/serialize.hpp>
#include <utility>

#include "base/timer.h"
#include "standins/engine_server/engine_codec.h"
#include "standins/engine_server/engine_server.h"

namespace crankspur::standin {

namespace {

constexpr int kOk = 200;
constexpr std::size_t kQueuedBytesLimit = std::size_t{4} * 1024 * 1024;
constexpr Duration kIdleCheckInterval = std::chrono::milliseconds(20);

http::Request blocksRequest(const std::string& path, const std::vector<BlockHash>& blocks) {
  boost::json::object body;
  body["blocks"] = hashesToJson(blocks);
  http::Request request;
  request.method = "POST";
  request.target = path;
  request.headers["Content-Type"] = "application/json";
  request.body = boost::json::serialize(body);
  return request;
}

/// Response of a source of KV blocks to POST /v1/kv/export.
struct ExportResponse {
  std::uint32_t held = 0;
  std::uint64_t incarnation = 0;
};

ExportResponse decodeExportResponse(std::error_code error, const http::Response& response) {
  JsonProblem problem;
  if (error || response.status != kOk) return {};
  const auto object = parseJsonObject(response.body, problem);
  if (!object) return {};
  const JsonReader reader(*object, problem);
  const ExportResponse decoded{reader.requireUnsigned32("held"), reader.getUnsigned("incarnation", 0)};
  return problem.found() ? ExportResponse{} : decoded;
}

std::optional<Duration> decodeLoadTime(std::error_code error, const http::Response& response) {
  constexpr double kMaxLoadSeconds = 3600;
  JsonProblem problem;
  if (error || response.status != kOk) return std::nullopt;
  const auto object = parseJsonObject(response.body, problem);
  if (!object) return std::nullopt;
  const double seconds = JsonReader(*object, problem).requireNumber("seconds", 0, kMaxLoadSeconds);
  if (problem.found()) return std::nullopt;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

void EngineServer::processOutputs() {
  model_.onTimer(clock_.now());
  for (auto outputs = model_.takeOutputs(); !outputs.empty(); outputs = model_.takeOutputs()) {
    for (const EngineOutput& output : outputs) {
      std::visit([this](const auto& alternative) { execute(alternative); }, output);
    }
  }
  completeLongPolls();
  armTimers();
  checkIdle();
}

void EngineServer::execute(const StreamOutput& output) {
  const auto found = streams_.find(output.stream);
  if (found == streams_.end()) return;
  Stream& stream = found->second;
  if (const auto* refused = std::get_if<StreamRefused>(&output.event)) {
    stream.writer->respond(encodeRefusal(*refused));
    endStream(output.stream);
  } else if (const auto* accepted = std::get_if<StreamAccepted>(&output.event)) {
    stream.writer->begin(kOk, {{"Content-Type", "text/event-stream"}});
    writeEvent(output.stream, stream, encodeEvent(*accepted));
  } else if (const auto* tokens = std::get_if<StreamTokens>(&output.event)) {
    writeEvent(output.stream, stream, encodeEvent(*tokens));
  } else if (const auto* finished = std::get_if<StreamFinished>(&output.event)) {
    stream.writer->write(encodeEvent(*finished));
    stream.writer->end();
    endStream(output.stream);
  } else {
    stream.writer->abort();
    endStream(output.stream);
  }
}

/// Writes an event; aborts the stream if too many bytes are queued because the reader is too slow.
void EngineServer::writeEvent(StreamId id, Stream& stream, std::string text) {
  if (stream.writer->queuedBytes() <= kQueuedBytesLimit) return stream.writer->write(std::move(text));
  stream.writer->abort();
  model_.onStreamClosed(id, clock_.now());
  endStream(id);
}

void EngineServer::endStream(StreamId id) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) return;
  found->second.writer->onClientDisconnected({});
  streams_.erase(found);
}

void EngineServer::execute(const ImportQuery& query) {
  http::ExchangeCallbacks callbacks;
  callbacks.on_done = [this, query](std::error_code error, http::SendState, const http::Response& response) {
    const ExportResponse source = decodeExportResponse(error, response);
    model_.onImportResponse(query.request_id, query.attempt, source.held, source.incarnation, clock_.now());
    processOutputs();
  };
  client_->start(query.address, blocksRequest("/v1/kv/export", query.blocks), std::move(callbacks));
}

void EngineServer::execute(const WeightsQuery& query) {
  if (options_.weight_store.empty()) {
    model_.onWeightsResponse(query.model, query.weights_version, options_.default_weights_load, clock_.now());
    return;
  }
  http::Request request;
  request.target = "/v1/weights/" + query.model + "/" + query.weights_version;
  http::ExchangeCallbacks callbacks;
  callbacks.on_done = [this, query](std::error_code error, http::SendState, const http::Response& response) {
    model_.onWeightsResponse(query.model, query.weights_version, decodeLoadTime(error, response),
                             clock_.now());
    processOutputs();
  };
  client_->start(options_.weight_store, std::move(request), std::move(callbacks));
}

void EngineServer::execute(const BlocksComputed& computed) {
  if (options_.kv_store.empty()) return;
  client_->start(options_.kv_store, blocksRequest("/v1/kv/put", computed.blocks), {});
}

void EngineServer::completeLongPolls() {
  const TimePoint now = clock_.now();
  for (auto poll = long_polls_.begin(); poll != long_polls_.end();) {
    const CacheChanges changes = model_.cacheChanges(poll->after, now);
    const bool restarted = poll->incarnation != changes.incarnation;
    const bool from_previous_incarnation = poll->after > model_.latestCacheSequence();
    const bool due = changes.last_sequence > poll->after || now >= poll->deadline || restarted ||
                     from_previous_incarnation || on_idle_;
    if (due) poll->writer->respond(http::jsonResponse(kOk, encodeChanges(changes)));
    poll = due ? long_polls_.erase(poll) : std::next(poll);
  }
}

void EngineServer::armTimers() {
  model_timer_.cancel();
  if (const auto due = model_.nextTimer()) {
    expireAt(model_timer_, *due, clock_.now());
    model_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) processOutputs();
    });
  }
  long_poll_timer_.cancel();
  if (long_polls_.empty()) return;
  TimePoint earliest = TimePoint::max();
  for (const LongPoll& poll : long_polls_) {
    earliest = std::min(earliest, poll.deadline);
    if (const auto visible = model_.nextCacheChange(poll.after)) earliest = std::min(earliest, *visible);
  }
  expireAt(long_poll_timer_, earliest, clock_.now());
  long_poll_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) processOutputs();
  });
}

void EngineServer::checkIdle() {
  if (!on_idle_ || model_.inFlight() > 0) return;
  if (server_->openRequests() == 0) return on_idle_();
  idle_timer_.expires_after(kIdleCheckInterval);
  idle_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) checkIdle();
  });
}

}  // namespace crankspur::standin
