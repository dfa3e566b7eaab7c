#pragma once
/// @file One connection of the HTTP client. Internal to this package; include only from .cc files.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "http/client.h"
#include "http/message_parser.h"

namespace crankspur::http {

/// Request, callbacks and response of one exchange.
struct ExchangeState {
  std::string address;
  Request request;
  ExchangeCallbacks callbacks;
  ExchangeOptions options;
  Response response;
  bool ended = false;      ///< Completed or cancelled; no further callbacks.
  bool discarded = false;  ///< Its response is not needed; no further callbacks.
};

/// One connection. A read is always pending, so that a close by the server is detected while idle.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
  /// How an exchange ended on the connection.
  struct Outcome {
    std::error_code error;
    SendState state = SendState::NotSent;
    bool stale = false;  ///< The server closed a reused connection while the request was sent.
    std::optional<TimedOutExchange> timed_out;  ///< Set when the first byte timed out.
  };
  struct Callbacks {
    /// The exchange ended; on_idle was called before if the connection is reusable.
    std::function<void(std::shared_ptr<ExchangeState>, Outcome)> on_end;
    std::function<void(std::shared_ptr<ClientConnection>)> on_idle;
    std::function<void(ClientConnection*)> on_closed;
    /// A reused connection received the first byte of a response.
    std::function<void(ClientConnection*)> on_reused_response;
  };

  ClientConnection(const boost::asio::any_io_executor& executor, std::string address, Callbacks callbacks);

  const std::string& address() const { return address_; }
  /// Runs an exchange; connects first if necessary.
  void run(std::shared_ptr<ExchangeState> exchange);
  /// Closes without a callback.
  void close();
  /// The response of the current exchange is not needed. The connection is reusable if the rest of it is
  /// short; otherwise it is closed.
  void discardResponse();
  /// Stops and continues to read the response of the current exchange.
  void setReadingPaused(bool paused);
  /// @return whether any byte of the current request was written.
  bool hasSent() const { return byte_sent_; }
  /// @return the current exchange if no byte of its response was received; otherwise empty.
  std::optional<TimedOutExchange> exchangeWithoutResponse() const;
  std::chrono::steady_clock::time_point lastReceived() const { return last_received_; }

private:
  enum class Phase { New, Connecting, Busy, Idle, Closed };

  void connect();
  void onConnected(boost::system::error_code error);
  void sendRequest();
  void resetParser();
  void read();
  void onRead(boost::system::error_code error, std::size_t bytes);
  void parse();
  bool consumeBody(std::string_view piece);
  void deliverHeaders();
  ResponseOwner responseOwner(int status, const Headers& headers) const;
  BodyFraming bodyFraming() const;
  void applyKeepAliveTimeout(const Headers& headers);
  bool isDiscarding() const { return owner_ == ResponseOwner::earlier_request; }
  bool isReusable() const;
  void complete(bool reusable);
  void fail(std::error_code error);
  void closeAndNotify();
  void limitReading(Duration time);
  bool exceedsDiscardLimit(std::size_t bytes);
  bool holdReceived();
  void armTimer(Duration delay);
  void onTimer();
  bool deferLateTimer();
  bool closedWhileSending(std::error_code error) const;
  void onEndOfFile();
  void endResponse();
  bool mayHaveBeenReset() const;

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::string address_;
  Callbacks callbacks_;
  Phase phase_ = Phase::New;
  boost::beast::flat_buffer buffer_;
  std::optional<ResponseParser> parser_;
  std::shared_ptr<ExchangeState> exchange_;
  std::string request_head_;
  ByteReservation held_;        ///< For what the current exchange has received and not passed on.
  std::size_t head_bytes_ = 0;  ///< Of the current response, with the copy of its driver.
  bool reused_ = false;
  bool request_written_ = false;
  std::error_code write_error_;  ///< Of the current request.
  bool byte_sent_ = false;
  bool byte_received_ = false;
  bool headers_delivered_ = false;
  bool reading_ = false;              ///< A read is pending.
  bool reading_paused_ = false;       ///< By the driver of the current exchange.
  bool late_timer_deferred_ = false;  ///< A late timer was already deferred once in this exchange.
  /// Of the response that is being received, once its head is complete.
  ResponseOwner owner_ = ResponseOwner::this_request;
  std::size_t discarded_bytes_ = 0;    ///< Of responses that are not needed, in this exchange.
  std::uint32_t other_responses_ = 0;  ///< Interim ones and those to earlier requests, in this exchange.
  /// When the head, or a response that is not needed, has to be complete.
  std::optional<std::chrono::steady_clock::time_point> read_deadline_;
  Duration idle_lifetime_;                            ///< Reduced by the Keep-Alive header of the server.
  std::chrono::steady_clock::time_point idle_since_;  ///< Start of the current idle timeout.
  /// When data was last received; set when connected.
  std::chrono::steady_clock::time_point last_received_{};
  std::chrono::steady_clock::time_point opened_at_{};  ///< Set when connected.
  std::chrono::steady_clock::time_point began_at_{};   ///< Start of the current exchange.
};

}  // namespace crankspur::http
