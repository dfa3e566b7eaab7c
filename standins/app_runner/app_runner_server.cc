#include "standins/app_runner/app_runner_server.h"

#include <boost/json/serialize.hpp>
#include <utility>

#include "base/timer.h"
#include "json/json_reader.h"

namespace crankspur::standin {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr std::uint64_t kMaxDelayMilliseconds = 3'600'000;
constexpr Duration kIdleCheckInterval = std::chrono::milliseconds(20);
const char* const kEmptyObject = "{}";

http::Response badRequest(const std::string& message) {
  return http::errorResponse(kBadRequest, "invalid_request", message, "not_run");
}

ExecuteRequest decodeExecute(std::string_view body, JsonProblem& problem) {
  ExecuteRequest request;
  const auto object = parseJsonObject(body, problem);
  if (!object) return request;
  const JsonReader reader(*object, problem);
  request.request_id = reader.requireString("request_id");
  request.attempt = reader.requireUnsigned32("attempt");
  request.tenant = reader.requireString("tenant");
  request.operation = reader.requireString("operation");
  request.idempotency_key = reader.getString("idempotency_key");
  request.body = reader.requireString("body");
  return request;
}

/// Body of POST /control; unset members leave the value unchanged.
struct RunnerControl {
  std::optional<Duration> delay;
  std::optional<std::uint32_t> lose_answers;
  std::optional<std::uint32_t> lose_requests;
  RunnerAction action = RunnerAction::None;
};

RunnerAction readAction(const JsonReader& reader) {
  const std::string name = reader.getString("action");
  if (name == "crash") return RunnerAction::Crash;
  if (name == "freeze") return RunnerAction::Freeze;
  if (name == "thaw") return RunnerAction::Thaw;
  if (name == "leave") return RunnerAction::Leave;
  if (reader.has("action")) reader.report("action", "must be crash, freeze, thaw or leave");
  return RunnerAction::None;
}

RunnerControl decodeControl(std::string_view body, JsonProblem& problem) {
  RunnerControl control;
  const auto object = parseJsonObject(body, problem);
  if (!object) return control;
  const JsonReader reader(*object, problem);
  if (reader.has("delay_ms")) {
    control.delay = std::chrono::milliseconds(reader.requireUnsigned("delay_ms", kMaxDelayMilliseconds));
  }
  if (reader.has("lose_answers")) control.lose_answers = reader.requireUnsigned32("lose_answers");
  if (reader.has("lose_requests")) control.lose_requests = reader.requireUnsigned32("lose_requests");
  control.action = readAction(reader);
  return control;
}

http::Response encodeRefusal(const ExecutionRefused& refused) {
  const int status = refused.code == ErrorCode::Stopping ? kUnavailable : kBadRequest;
  http::Response response = http::errorResponse(status, errorName(refused.code), refused.message, "not_run");
  if (status == kUnavailable) response.headers["Retry-After"] = "1";
  return response;
}

std::string encodeDone(const ExecutionDone& done) {
  return boost::json::serialize(boost::json::object{{"result", done.result}, {"execution", done.execution}});
}

}  // namespace

std::error_code AppRunnerServer::start(const std::string& address) {
  std::error_code error;
  server_ = http::listen(
      executor_, address,
      [this](const http::Request& request, const Writer& writer) { handle(request, writer); }, error);
  return error;
}

void AppRunnerServer::stop(std::function<void()> on_idle) {
  on_idle_ = std::move(on_idle);
  model_.startLeaving();
  processOutputs();
}

void AppRunnerServer::handle(const http::Request& request, const Writer& writer) {
  const std::string path = request.path();
  if (path == "/control") {
    control(request, writer);
  } else if (path == "/v1/executions") {
    writer->respond(http::jsonResponse(kOk, encodeExecutions()));
  } else if (model_.frozen()) {
    buffered_.push_back({request, writer});
  } else {
    dispatch(request, writer);
  }
  processOutputs();
}

void AppRunnerServer::dispatch(const http::Request& request, const Writer& writer) {
  const std::string path = request.path();
  if (request.method == "POST" && path == "/v1/execute") return execute(request, writer);
  if (request.method == "GET" && path == "/v1/runner") {
    return writer->respond(http::jsonResponse(kOk, encodeRunner()));
  }
  writer->respond(http::errorResponse(kNotFound, "invalid_request", "no such call: " + path, "not_run"));
}

void AppRunnerServer::execute(const http::Request& request, const Writer& writer) {
  JsonProblem problem;
  const ExecuteRequest execution = decodeExecute(request.body.text(), problem);
  if (problem.found()) return writer->respond(badRequest(problem.text()));
  const RunnerCallId call = ++last_call_;
  calls_[call] = writer;
  model_.execute(call, execution, clock_.now());
}

void AppRunnerServer::control(const http::Request& request, const Writer& writer) {
  JsonProblem problem;
  const RunnerControl command = decodeControl(request.body.text(), problem);
  if (problem.found()) return writer->respond(badRequest(problem.text()));
  if (command.delay) model_.setDelay(*command.delay);
  if (command.lose_answers) model_.loseResponses(*command.lose_answers);
  if (command.lose_requests) model_.loseRequests(*command.lose_requests);
  apply(command.action);
  writer->respond(http::jsonResponse(kOk, kEmptyObject));
}

void AppRunnerServer::apply(RunnerAction action) {
  switch (action) {
    case RunnerAction::None:
      break;
    case RunnerAction::Crash:
      model_.crash();
      for (const BufferedRequest& call : std::exchange(buffered_, {})) call.writer->abort();
      break;
    case RunnerAction::Freeze:
      model_.freeze(clock_.now());
      break;
    case RunnerAction::Thaw:
      model_.thaw(clock_.now());
      for (const BufferedRequest& call : std::exchange(buffered_, {})) dispatch(call.request, call.writer);
      break;
    case RunnerAction::Leave:
      model_.startLeaving();
      break;
  }
}

std::string AppRunnerServer::encodeRunner() const {
  const std::vector<std::string>& operations = model_.options().operations;
  boost::json::object body;
  body["name"] = model_.options().name;
  body["incarnation"] = model_.incarnation();
  body["leaving"] = model_.leaving();
  body["operations"] = boost::json::array(operations.begin(), operations.end());
  return boost::json::serialize(body);
}

std::string AppRunnerServer::encodeExecutions() const {
  boost::json::array executions;
  for (const auto& [key, count] : model_.executions()) {
    executions.push_back(
        {{"tenant", key.tenant}, {"idempotency_key", key.idempotency_key}, {"count", count}});
  }
  boost::json::object body;
  body["total"] = model_.totalExecutions();
  body["executions"] = std::move(executions);
  return boost::json::serialize(body);
}

void AppRunnerServer::processOutputs() {
  model_.onTimer(clock_.now());
  for (const RunnerOutput& output : model_.takeOutputs()) respond(output);
  timer_.cancel();
  if (const auto due = model_.nextTimer()) {
    expireAt(timer_, *due, clock_.now());
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) processOutputs();
    });
  }
  checkIdle();
}

void AppRunnerServer::respond(const RunnerOutput& output) {
  const auto found = calls_.find(output.call);
  if (found == calls_.end()) return;
  const Writer writer = found->second;
  calls_.erase(found);
  if (const auto* done = std::get_if<ExecutionDone>(&output.response)) {
    writer->respond(http::jsonResponse(kOk, encodeDone(*done)));
  } else if (const auto* refused = std::get_if<ExecutionRefused>(&output.response)) {
    writer->respond(encodeRefusal(*refused));
  } else {
    writer->abort();
  }
}

void AppRunnerServer::checkIdle() {
  if (!on_idle_ || model_.inFlight() > 0) return;
  if (server_->openRequests() == 0) return on_idle_();
  idle_timer_.expires_after(kIdleCheckInterval);
  idle_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) checkIdle();
  });
}

}  // namespace crankspur::standin
