#pragma once
/// @file One caller's HTTP exchange: drives a CallerRequest and writes its answer in the caller's form.
/// Lives on the traffic thread.

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

/// How the caller wants its answer.
struct AnswerForm {
  enum class Kind { Stream, Whole, Operation } kind = Kind::Whole;
  bool include_usage = false;  ///< Streams: end with a usage chunk.
  std::string model_name;      ///< As the caller named the model.
  std::string operation;       ///< For operations.
  std::string caller_id;       ///< The caller's own request id; echoed.
  std::int64_t created = 0;    ///< Unix seconds.
};

/// How an exchange ended.
struct ExchangeOutcome {
  ErrorCode code = ErrorCode::Ok;  ///< Cancelled when the caller went away.
  RunState run_state = RunState::Ran;
  std::string message;
  std::string engine;
  std::uint32_t attempts = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
  std::uint64_t answer_tokens = 0;
  Duration first_token{0};  ///< 0 when no text came.
  Duration total{0};
};

/// What an exchange needs of the service around it.
class ExchangeHost {
public:
  virtual ~ExchangeHost() = default;
  /// Submits an attempt. @return false when the router has no open connection; nothing was sent then.
  virtual bool submit(const std::string& router, const SubmitRequest& request) = 0;
  virtual void cancel(const std::string& router, const Cancel& cancel) = 0;
  /// The attempt at the router ended or moved away.
  virtual void released(const std::string& router) = 0;
  /// The exchange ended; called once, last.
  virtual void ended(const std::string& request_id, const ExchangeOutcome& outcome) = 0;
};

/// The exchange.
class CallerExchange : public std::enable_shared_from_this<CallerExchange> {
public:
  /// @param slow_caller_bytes unread bytes after which the caller is dropped.
  CallerExchange(const boost::asio::any_io_executor& executor, ExchangeHost& host, std::string request_id,
                 AnswerForm form, std::shared_ptr<http::ResponseWriter> writer,
                 std::size_t slow_caller_bytes);
  /// Begins. `selector` must outlive the exchange.
  void start(SubmitRequest request, RouterSelector& selector, std::uint32_t max_attempts,
             std::uint64_t random_seed);
  /// A message of a router about this request.
  void onMessage(const Message& message);
  void onRouterLost(const std::string& router);

private:
  void perform(CallerAction& action);
  void performSubmit(const SubmitToRouter& action);
  void performText(const DeliverText& action);
  void performEnd(const StreamEnd& end);
  void performError(const Refusal& refusal);
  void pump();
  void armTimer();
  /// Sends the headers, once. @return the chunk that must come first; empty when the stream had begun.
  std::string beginStream();
  void dropCaller(ErrorCode code, const std::string& message);
  void finish(ExchangeOutcome outcome);
  void releaseRouter();
  http::Headers answerHeaders(const std::string& content_type) const;
  ChatIdentity identity() const;
  Duration elapsed() const;

  boost::asio::steady_timer timer_;
  std::optional<TimePoint> timer_at_;
  ExchangeHost& host_;
  std::string request_id_;
  AnswerForm form_;
  std::shared_ptr<http::ResponseWriter> writer_;
  std::size_t slow_caller_bytes_;
  SteadyClock clock_;
  TimePoint started_;
  Duration first_token_{0};
  std::unique_ptr<CallerRequest> request_;
  std::string router_;  ///< Where the open attempt is counted.
  std::uint32_t attempt_ = 0;
  Accepted accepted_;  ///< Of the newest attempt that was accepted.
  std::string text_;   ///< Collected when the answer is not streamed.
  bool stream_begun_ = false;
  bool pumping_ = false;
  bool ended_ = false;
};

}  // namespace crankspur
