#include "integration/http_call.h"

#include <boost/asio/post.hpp>

namespace crankspur::testing {

BackgroundCall::BackgroundCall(const std::string& address, http::Request request,
                               std::chrono::milliseconds timeout)
    : thread_([this, address, request, timeout] { run(address, request, timeout); }) {}

BackgroundCall::~BackgroundCall() {
  cancel();
  if (thread_.joinable()) thread_.join();
}

void BackgroundCall::run(const std::string& address, http::Request request,
                         std::chrono::milliseconds timeout) {
  const auto start_time = std::chrono::steady_clock::now();
  const auto client = http::makeClient(context_.get_executor());
  http::ExchangeCallbacks callbacks;
  callbacks.on_headers = [this](int status, const http::Headers& headers, http::BodyFraming) {
    const std::lock_guard lock(mutex_);
    result_.status = status;
    result_.headers = headers;
  };
  callbacks.on_data = [this](std::string_view data) {
    const std::lock_guard lock(mutex_);
    result_.body.append(data);
  };
  callbacks.on_done = [this](std::error_code error, http::SendState, const http::Response&) {
    const std::lock_guard lock(mutex_);
    result_.complete = !error;
    context_.stop();
  };
  http::ExchangeOptions options;
  options.idle_timeout = timeout;
  {
    const std::lock_guard lock(mutex_);
    exchange_ = client->start(address, std::move(request), std::move(callbacks), options);
  }
  context_.run_for(timeout);
  const std::lock_guard lock(mutex_);
  exchange_.reset();
  result_.elapsed =
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start_time);
  done_ = true;
}

std::string BackgroundCall::bodySoFar() const {
  const std::lock_guard lock(mutex_);
  return result_.body;
}

bool BackgroundCall::done() const {
  const std::lock_guard lock(mutex_);
  return done_;
}

CallResult BackgroundCall::result() {
  if (thread_.joinable()) thread_.join();
  return result_;
}

void BackgroundCall::cancel() {
  boost::asio::post(context_, [this] {
    std::shared_ptr<http::Exchange> exchange;
    {
      const std::lock_guard lock(mutex_);
      exchange = exchange_;
    }
    if (exchange) exchange->cancel();
    context_.stop();
  });
}

CallResult call(const std::string& address, http::Request request, std::chrono::milliseconds timeout) {
  return BackgroundCall(address, std::move(request), timeout).result();
}

CallResult get(const std::string& address, const std::string& target) {
  http::Request request;
  request.target = target;
  return call(address, request);
}

CallResult post(const std::string& address, const std::string& target, const std::string& body) {
  http::Request request;
  request.method = "POST";
  request.target = target;
  request.headers["Content-Type"] = "application/json";
  request.body = body;
  return call(address, request);
}

}  // namespace crankspur::testing
