#include "engine/engine_client.h"

#include <utility>

#include "engine/completion_decoder.h"

namespace crankspur {

namespace {

constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr std::size_t kMaxErrorBodyBytes = 65'536;

http::Request postRequest(std::string target, std::string body) {
  http::Request request;
  request.method = "POST";
  request.target = std::move(target);
  request.headers["content-type"] = "application/json";
  request.body = std::move(body);
  return request;
}

http::Request getRequest(std::string target) {
  http::Request request;
  request.target = std::move(target);
  return request;
}

Duration retryAfterOf(const http::Headers& headers) {
  const auto found = headers.find("retry-after");
  return found == headers.end() ? Duration{0} : decodeRetryAfter(found->second);
}

/// @return the event that a response with a status other than 200 means for a dispatch.
BackendEvent toFailureEvent(std::string_view body, Duration retry_after) {
  const EngineErrorResponse error = decodeError(body);
  if (error.ran == RunState::NotRun) return BackendRefused{error.code, retry_after};
  return BackendLost{true};
}

/// State of one stream; shared by the exchange's callbacks and the caller's handle.
class StreamState : public std::enable_shared_from_this<StreamState> {
public:
  explicit StreamState(BackendHandler handler) : handler_(std::move(handler)) {}

  http::ExchangeCallbacks callbacks() {
    http::ExchangeCallbacks callbacks;
    const std::shared_ptr<StreamState> self = shared_from_this();
    callbacks.on_headers = [self](int status, const http::Headers& headers, http::BodyFraming) {
      self->status_ = status;
      self->retry_after_ = retryAfterOf(headers);
    };
    callbacks.on_data = [self](std::string_view bytes) { self->onData(bytes); };
    callbacks.on_done = [self](std::error_code error, http::SendState state, const http::Response&) {
      self->onDone(error, state);
    };
    return callbacks;
  }

  void setExchange(std::shared_ptr<http::Exchange> exchange) { exchange_ = std::move(exchange); }

  void close() {
    finished_ = true;
    const std::shared_ptr<http::Exchange> exchange = std::exchange(exchange_, nullptr);
    if (exchange) exchange->cancel();
  }

private:
  void onData(std::string_view bytes) {
    const std::shared_ptr<StreamState> self = shared_from_this();  // The handler may destroy the stream.
    if (finished_) return;
    if (status_ != kOk) {
      const std::size_t remaining = kMaxErrorBodyBytes - error_body_.size();
      error_body_ += bytes.substr(0, remaining);
      return;
    }
    const std::error_code error = decoder_.feed(bytes, [this](const BackendEvent& event) { deliver(event); });
    if (!error || finished_) return;
    finish(BackendLost{true});
    close();
  }

  void onDone(std::error_code error, http::SendState state) {
    const std::shared_ptr<StreamState> self = shared_from_this();
    exchange_.reset();
    if (finished_) return;
    if (error) {
      finish(BackendLost{state == http::SendState::SentOutcomeUnknown});
    } else if (status_ == kOk) {
      finish(BackendLost{true});
    } else {
      finish(toFailureEvent(error_body_, retry_after_));
    }
  }

  void deliver(const BackendEvent& event) {
    if (finished_) return;
    if (std::holds_alternative<BackendEnd>(event)) {
      finish(event);
    } else {
      handler_(event);
    }
  }

  void finish(const BackendEvent& event) {
    finished_ = true;
    handler_(event);
  }

  BackendHandler handler_;
  std::shared_ptr<http::Exchange> exchange_;
  CompletionDecoder decoder_;
  std::string error_body_;
  int status_ = 0;
  Duration retry_after_{0};
  bool finished_ = false;  ///< The last event was delivered or the caller closed the stream.
};

class HttpEngineStream : public EngineStream {
public:
  explicit HttpEngineStream(std::shared_ptr<StreamState> state) : state_(std::move(state)) {}
  ~HttpEngineStream() override { state_->close(); }
  void close() override { state_->close(); }

private:
  std::shared_ptr<StreamState> state_;
};

/// @return the error of a call; empty when the response has status 200.
std::error_code callError(std::error_code error, const http::Response& response) {
  if (error) return ErrorCode::Unavailable;
  if (response.status == kOk) return {};
  const EngineErrorResponse error_response = decodeError(response.body);
  if (response.status == kTooManyRequests && error_response.code == ErrorCode::Malformed)
    return ErrorCode::RateLimited;
  return error_response.code;
}

class HttpEngineClient : public EngineClient {
public:
  HttpEngineClient(http::Client& client, const Clock& clock, EngineClientOptions options)
      : client_(client), clock_(clock), options_(options) {}

  std::shared_ptr<EngineStream> complete(const DispatchCompletion& dispatch,
                                         BackendHandler handler) override {
    return stream(dispatch.address, postRequest("/v1/completions", encodeCompletion(dispatch)),
                  std::move(handler));
  }

  std::shared_ptr<EngineStream> resume(const std::string& address, const EngineResumeRequest& resume,
                                       BackendHandler handler) override {
    return stream(address, postRequest("/v1/resume", encodeResume(resume)), std::move(handler));
  }

  void cancel(const std::string& address, const std::string& request_id, std::uint32_t attempt,
              std::function<void(std::error_code)> done) override {
    call(address, postRequest("/v1/cancel", encodeCancel(request_id, attempt)), Duration{0},
         [done = std::move(done)](std::error_code error, const http::Response&) {
           if (done) done(error);
         });
  }

  void fetchInfo(const std::string& address,
                 std::function<void(std::error_code, const EngineDescription&)> done) override {
    call(address, getRequest("/v1/engine"), Duration{0},
         [done = std::move(done)](std::error_code error, const http::Response& response) {
           EngineDescription description;
           if (!error) error = decodeDescription(response.body, description);
           done(error, error ? EngineDescription{} : description);
         });
  }

  void fetchLoad(const std::string& address,
                 std::function<void(std::error_code, const EngineLoadResponse&)> done) override {
    call(address, getRequest("/v1/load"), Duration{0},
         [&clock = clock_, done = std::move(done)](std::error_code error, const http::Response& response) {
           EngineLoadResponse load;
           if (!error) error = decodeLoad(response.body, clock.now(), load);
           done(error, error ? EngineLoadResponse{} : load);
         });
  }

  void pollCacheEvents(const std::string& address, std::uint64_t after, Duration wait,
                       std::function<void(std::error_code, const CacheEventsResponse&)> done) override {
    const auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    const std::string target =
        "/v1/cache_events?after=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait_ms);
    call(address, getRequest(target), wait,
         [done = std::move(done)](std::error_code error, const http::Response& response) {
           CacheEventsResponse events;
           if (!error) error = decodeCacheEvents(response.body, events);
           done(error, error ? CacheEventsResponse{} : events);
         });
  }

  void fetchDigest(const std::string& address,
                   std::function<void(std::error_code, const CacheDigestResponse&)> done) override {
    call(address, getRequest("/v1/cache_digest"), Duration{0},
         [done = std::move(done)](std::error_code error, const http::Response& response) {
           CacheDigestResponse digest;
           if (!error) error = decodeCacheDigest(response.body, digest);
           if (error) digest = CacheDigestResponse{};
           digest.retry_after = retryAfterOf(response.headers);
           done(error, digest);
         });
  }

  void sendOrder(const std::string& address, const EngineOrderRequest& order,
                 std::function<void(std::error_code)> done) override {
    call(address, postRequest("/v1/orders", encodeOrder(order)), Duration{0},
         [done = std::move(done)](std::error_code error, const http::Response&) { done(error); });
  }

private:
  using CallHandler = std::function<void(std::error_code, const http::Response&)>;

  std::shared_ptr<EngineStream> stream(const std::string& address, http::Request request,
                                       BackendHandler handler) {
    http::ExchangeOptions options;
    options.connect_timeout = options_.connect_timeout;
    options.idle_timeout = options_.stream_idle_timeout;
    const auto state = std::make_shared<StreamState>(std::move(handler));
    state->setExchange(client_.start(address, std::move(request), state->callbacks(), options));
    return std::make_shared<HttpEngineStream>(state);
  }

  /// @param wait time for which the engine may delay the response to a long poll; extends the idle timeout.
  void call(const std::string& address, http::Request request, Duration wait, CallHandler handler) {
    http::ExchangeOptions options;
    options.connect_timeout = options_.connect_timeout;
    options.idle_timeout = options_.call_timeout + wait;
    options.body_bytes = options_.body_bytes;
    options.may_be_repeated = request.method == "GET";
    http::ExchangeCallbacks callbacks;
    callbacks.on_done = [handler = std::move(handler)](std::error_code error, http::SendState,
                                                       const http::Response& response) {
      handler(callError(error, response), response);
    };
    client_.start(address, std::move(request), std::move(callbacks), options);
  }

  http::Client& client_;
  const Clock& clock_;
  EngineClientOptions options_;
};

}  // namespace

std::unique_ptr<EngineClient> makeEngineClient(http::Client& client, const Clock& clock,
                                               EngineClientOptions options) {
  return std::make_unique<HttpEngineClient>(client, clock, options);
}

}  // namespace crankspur
