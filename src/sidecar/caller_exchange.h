#pragma once
/// @file HTTP exchange of one caller: drives a CallerRequest and writes the response in the requested format.
/// Runs on the traffic thread.

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "caller/chat_response.h"
#include "http/server.h"
#include "sidecar/caller_request.h"

namespace crankspur {

/// Response format requested by the caller.
struct ResponseFormat {
  enum class Kind { Stream, Complete, Operation } kind = Kind::Complete;
  bool include_usage = false;     ///< For streams: send a usage chunk at the end.
  std::string model_name;         ///< Model name as sent by the caller.
  std::string operation;          ///< Operation name, for operations.
  std::string caller_request_id;  ///< Request id set by the caller; echoed in the response.
  std::int64_t created = 0;       ///< Unix seconds.
};

/// Outcome of an exchange.
struct ExchangeOutcome {
  ErrorCode code = ErrorCode::Ok;  ///< Cancelled if the caller disconnected.
  RunState run_state = RunState::Ran;
  std::string message;
  std::string engine;
  std::uint32_t attempts = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
  std::uint64_t completion_tokens = 0;
  Duration first_token{0};  ///< 0 if no text was received.
  Duration total{0};
};

/// Services that an exchange requires from its owner.
class ExchangeHost {
public:
  virtual ~ExchangeHost() = default;
  /// Submits an attempt. @return false if there is no open connection to the router; nothing was sent.
  virtual bool submit(const std::string& router, const SubmitRequest& request) = 0;
  virtual void cancel(const std::string& router, const Cancel& cancel) = 0;
  /// The attempt at the router ended or moved to another router.
  virtual void onRouterReleased(const std::string& router) = 0;
  /// The exchange ended. Called once, as the last call.
  virtual void onEnded(const std::string& request_id, const ExchangeOutcome& outcome) = 0;
};

/// HTTP exchange of one caller.
class CallerExchange : public std::enable_shared_from_this<CallerExchange> {
public:
  /// @param slow_caller_bytes queued response bytes above which the caller is disconnected.
  CallerExchange(const boost::asio::any_io_executor& executor, ExchangeHost& host, std::string request_id,
                 ResponseFormat response_format, std::shared_ptr<http::ResponseWriter> writer,
                 std::size_t slow_caller_bytes);
  /// Starts the exchange. `selector` must outlive it.
  void start(SubmitRequest request, RouterSelector& selector, std::uint32_t max_attempts,
             std::uint64_t random_seed);
  /// A router sent a message about this request.
  void onMessage(const Message& message);
  void onRouterLost(const std::string& router);

private:
  void execute(CallerAction& action);
  void executeSubmit(const SubmitToRouter& action);
  void executeText(const DeliverText& action);
  void executeEnd(const StreamEnd& end);
  void executeError(const Refusal& refusal);
  void processActions();
  void armTimer();
  /// Sends the headers once. @return the first chunk, or an empty string if the stream has already started.
  std::string beginStream();
  void disconnectCaller(ErrorCode code, const std::string& message);
  void finish(ExchangeOutcome outcome);
  void releaseRouter();
  http::Headers responseHeaders(const std::string& content_type) const;
  ChatIdentity identity() const;
  Duration elapsed() const;

  boost::asio::steady_timer timer_;
  std::optional<TimePoint> timer_at_;
  ExchangeHost& host_;
  std::string request_id_;
  ResponseFormat response_format_;
  std::shared_ptr<http::ResponseWriter> writer_;
  std::size_t slow_caller_bytes_;
  SteadyClock clock_;
  TimePoint started_;
  Duration first_token_{0};
  std::unique_ptr<CallerRequest> request_;
  std::string router_;  ///< Router whose in-flight count includes the current attempt.
  std::uint32_t attempt_ = 0;
  Accepted accepted_;  ///< From the latest accepted attempt.
  std::string text_;   ///< Collected text if the response is not streamed.
  bool stream_started_ = false;
  bool processing_actions_ = false;
  bool ended_ = false;
};

}  // namespace crankspur
