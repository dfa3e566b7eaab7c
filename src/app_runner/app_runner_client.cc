#include "app_runner/app_runner_client.h"

#include <boost/json/serialize.hpp>
#include <utility>

#include "base/hash.h"
#include "engine/engine_messages.h"
#include "json/json_reader.h"

namespace crankspur {

namespace {

constexpr int kOk = 200;

/// Delivers the result of one call unless the caller has closed it.
class CallState : public std::enable_shared_from_this<CallState> {
public:
  explicit CallState(std::function<void(const BackendEvent&)> handler) : handler_(std::move(handler)) {}

  void close() {
    closed_ = true;
    const std::shared_ptr<http::Exchange> exchange = std::exchange(exchange_, nullptr);
    if (exchange) exchange->cancel();
  }

  void setExchange(std::shared_ptr<http::Exchange> exchange) { exchange_ = std::move(exchange); }

  void onDone(std::error_code error, http::SendState state, const http::Response& response) {
    const std::shared_ptr<CallState> self = shared_from_this();  // The handler may destroy the call.
    exchange_.reset();
    if (error) return deliver(BackendLost{state == http::SendState::SentOutcomeUnknown});
    if (response.status != kOk) return deliver(toFailureEvent(response));
    std::string result;
    if (decodeExecuteResponse(response.body, result)) return deliver(BackendLost{true});
    deliverResult(std::move(result));
  }

private:
  static BackendEvent toFailureEvent(const http::Response& response) {
    const EngineErrorResponse error = decodeError(response.body);
    if (error.ran != RunState::NotRun) return BackendLost{true};
    const auto retry_after = response.headers.find("retry-after");
    const bool has_retry_after = retry_after != response.headers.end();
    return BackendRefused{error.code, has_retry_after ? decodeRetryAfter(retry_after->second) : Duration{0}};
  }

  void deliverResult(std::string result) {
    BackendAccepted accepted;
    BackendEnd end;
    end.token_count = countTokens(result);
    end.checksum = hashBytes(result);
    end.finish_reason = "done";
    deliver(accepted);
    if (!result.empty()) deliver(BackendPiece{0, countTokens(result), std::move(result)});
    deliver(end);
  }

  void deliver(const BackendEvent& event) {
    if (!closed_) handler_(event);
  }

  std::function<void(const BackendEvent&)> handler_;
  std::shared_ptr<http::Exchange> exchange_;
  bool closed_ = false;
};

class HttpRunnerCall : public RunnerCall {
public:
  explicit HttpRunnerCall(std::shared_ptr<CallState> state) : state_(std::move(state)) {}
  ~HttpRunnerCall() override { state_->close(); }
  void close() override { state_->close(); }

private:
  std::shared_ptr<CallState> state_;
};

class HttpAppRunnerClient : public AppRunnerClient {
public:
  HttpAppRunnerClient(http::Client& client, AppRunnerClientOptions options)
      : client_(client), options_(options) {}

  std::shared_ptr<RunnerCall> execute(const DispatchOperation& dispatch,
                                      std::function<void(const BackendEvent&)> handler) override {
    http::Request request;
    request.method = "POST";
    request.target = "/v1/execute";
    request.headers["content-type"] = "application/json";
    request.body = encodeExecuteRequest(dispatch.request);
    const auto state = std::make_shared<CallState>(std::move(handler));
    http::ExchangeCallbacks callbacks;
    callbacks.on_done = [state](std::error_code error, http::SendState sent, const http::Response& response) {
      state->onDone(error, sent, response);
    };
    state->setExchange(
        client_.start(dispatch.address, std::move(request), std::move(callbacks), exchangeOptions()));
    return std::make_shared<HttpRunnerCall>(state);
  }

  void fetchInfo(const std::string& address,
                 std::function<void(std::error_code, const RunnerDescription&)> done) override {
    http::Request request;
    request.target = "/v1/runner";
    http::ExchangeCallbacks callbacks;
    callbacks.on_done = [done = std::move(done)](std::error_code error, http::SendState,
                                                 const http::Response& response) {
      RunnerDescription description;
      if (error || response.status != kOk) return done(ErrorCode::Unavailable, description);
      error = decodeRunnerDescription(response.body, description);
      done(error, error ? RunnerDescription{} : description);
    };
    http::ExchangeOptions options = exchangeOptions();
    options.may_be_repeated = true;
    client_.start(address, std::move(request), std::move(callbacks), options);
  }

private:
  http::ExchangeOptions exchangeOptions() const {
    http::ExchangeOptions options;
    options.connect_timeout = options_.connect_timeout;
    options.idle_timeout = options_.call_timeout;
    options.body_bytes = options_.body_bytes;
    return options;
  }

  http::Client& client_;
  AppRunnerClientOptions options_;
};

}  // namespace

std::error_code decodeRunnerDescription(std::string_view json, RunnerDescription& out) {
  JsonProblem problem;
  const auto object = parseJsonObject(json, problem);
  if (!object) return ErrorCode::Malformed;
  const JsonReader reader(*object, problem);
  out.name = reader.requireString("name");
  out.incarnation = reader.requireUnsigned("incarnation");
  out.leaving = reader.requireBool("leaving");
  out.operations = reader.getStrings("operations");
  if (problem.found()) return ErrorCode::Malformed;
  return {};
}

std::error_code decodeExecuteResponse(std::string_view json, std::string& result) {
  JsonProblem problem;
  const auto object = parseJsonObject(json, problem);
  if (!object) return ErrorCode::Malformed;
  const JsonReader reader(*object, problem);
  result = reader.requireString("result");
  reader.requireUnsigned("execution");
  if (problem.found()) return ErrorCode::Malformed;
  return {};
}

std::string encodeExecuteRequest(const SubmitRequest& request) {
  boost::json::object body;
  body["request_id"] = request.request_id;
  body["attempt"] = request.attempt;
  body["tenant"] = request.tenant;
  body["operation"] = request.operation;
  body["idempotency_key"] = request.idempotency_key;
  body["body"] = request.prompt;
  return boost::json::serialize(body);
}

std::unique_ptr<AppRunnerClient> makeAppRunnerClient(http::Client& client, AppRunnerClientOptions options) {
  return std::make_unique<HttpAppRunnerClient>(client, options);
}

}  // namespace crankspur
