#pragma once
/// @file HTTP/1.1 client on Boost.Beast with a pool of kept-alive connections per address.

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "base/byte_budget.h"
#include "base/time.h"
#include "http/message.h"

namespace crankspur::http {

/// How far a failed exchange progressed; decides whether the request may be reported as "not run".
enum class SendState {
  NotSent,             ///< No byte of the request was written: the connect or the first write failed.
  SentOutcomeUnknown,  ///< Bytes were written; the server may have processed the request.
};

/// The request that a response belongs to, as stated by its head.
enum class ResponseOwner {
  this_request,
  earlier_request,  ///< The response is a late one, and is discarded.
  not_stated,       ///< Unreadable unless the connection carried no other request; it carries none after it.
};

/// Callbacks of one exchange, on the client's executor thread.
struct ExchangeCallbacks {
  /// Returns the owner of a response by its head. Optional; without it every response is accepted. For
  /// servers that may send a response twice, set this or ExchangeOptions::own_connection.
  std::function<ResponseOwner(int status, const Headers&)> response_owner;
  /// The status line and headers were received. Optional.
  std::function<void(int status, const Headers&, BodyFraming)> on_headers;
  /// Part of the body was received. When unset, the body is collected for on_done.
  std::function<void(std::string_view)> on_data;
  /// The exchange ended. `error` is empty when the response was complete. ErrorCode::Malformed and TooLarge:
  /// the server sent bytes that are no response, or more than the limits allow. Overloaded: the budget has no
  /// room for the response.
  std::function<void(std::error_code error, SendState state, Response response)> on_done;
};

/// An exchange in progress.
class Exchange {
public:
  virtual ~Exchange() = default;
  /// Closes the connection; on_done is no longer called.
  virtual void cancel() = 0;
  /// Like cancel(), because the response timed out: other kept-alive connections may be half-open as well.
  virtual void cancelTimedOut() = 0;
  /// To be called once headers were received: the rest of the response is not needed. No callback is called
  /// any more. The connection is kept for other exchanges if the response ends soon, and closed otherwise.
  virtual void discard() = 0;
  /// Like cancel(), but only if no byte of the request was written: the connection is still being opened.
  /// @return whether it was cancelled.
  virtual bool cancelIfNotSent() = 0;
  /// Reads nothing more of the response until resumeReading(), so that the server is held back by TCP. The
  /// idle timeout does not apply meanwhile.
  virtual void pauseReading() = 0;
  virtual void resumeReading() = 0;
};

/// @return whether an exchange failed since the server sent bytes that cannot be read as a response.
bool isUnreadableResponse(std::error_code error);

/// Options of one exchange.
struct ExchangeOptions {
  Duration connect_timeout = std::chrono::seconds(1);
  /// The exchange fails when the server sends no byte for this long.
  Duration idle_timeout = std::chrono::seconds(10);
  std::size_t body_bytes = std::size_t{16} * 1024 * 1024;  ///< Maximum size of a collected body.
  /// Maximum time from the head of a response with a collected body to its end.
  Duration collect_timeout = std::chrono::seconds(30);
  /// Counts the bytes of the response that are held and not passed on. An exchange that needs more than the
  /// budget has left fails, unless it holds little. Null: the client's.
  std::shared_ptr<ByteBudget> budget;
  /// The caller agrees that the server may process the request twice, whatever its method: when the server
  /// closes a reused connection before the first byte of the response, the request is sent again. Never set
  /// it for requests of clients: their route decides what is repeated and the retry budget counts it.
  bool may_be_repeated = false;
  /// The exchange opens a connection, which is closed afterwards. To be set if neither the request nor its
  /// response states an id, and the server may send a response twice: on a shared connection, the copy of
  /// another response could be taken for the response to this request, and the response to this request for
  /// that to the next one.
  bool own_connection = false;
};

/// An exchange that timed out before any byte of a response was received.
struct TimedOutExchange {
  std::string address;
  bool reused = false;         ///< The connection had completed an exchange before.
  Duration waited{0};          ///< Since the request was written or the connect started.
  Duration connection_age{0};  ///< Since the connection was established; 0 if it was not.
  std::size_t idle = 0;        ///< Other idle connections to the address.
};

/// Client with pooled connections. When an exchange on a kept-alive connection times out, the idle
/// connections to the same server, or to all servers, are closed (half_open_detector.h). If the server closes
/// a kept-alive connection before the first byte of the response, the request is retried only when nothing
/// was sent or ExchangeOptions::may_be_repeated is set.
class Client {
public:
  virtual ~Client() = default;
  /// Starts an exchange with the server at "IP:port".
  virtual std::shared_ptr<Exchange> start(const std::string& address, Request request,
                                          ExchangeCallbacks callbacks, ExchangeOptions options = {}) = 0;
  /// @param handler called for each exchange that timed out without a response, before its on_done.
  virtual void setTimeoutHandler(std::function<void(const TimedOutExchange&)> handler) = 0;
  /// @param handler called when connections to several servers fell silent together, so that the idle
  /// connections to all servers were closed.
  virtual void setSilentConnectionsHandler(std::function<void()> handler) = 0;
  /// @param handler called for each exchange whose response cannot be read, or has no room in the budget,
  /// before its on_done.
  virtual void setUnreadableResponseHandler(
      std::function<void(const std::string& address, std::error_code error)> handler) = 0;
  /// Closes idle connections that have received nothing for 0.3 s, so that later exchanges open new ones.
  /// @param address server address; empty for all servers.
  virtual void closeStaleConnections(const std::string& address) = 0;
};

/// @param budget of the exchanges that name none; null: their bytes are not counted.
/// @return a client whose work and callbacks run on `executor`.
std::unique_ptr<Client> makeClient(boost::asio::any_io_executor executor,
                                   std::shared_ptr<ByteBudget> budget = nullptr);

/// Incremental parser for the "data:" values of a server-sent event stream; chunk boundaries may be anywhere.
/// Multiple "data:" lines of one event are joined by a line feed. Lines end with LF or CR LF.
class EventStreamParser {
public:
  /// @param limit maximum size of one event in bytes; a larger event is an error.
  explicit EventStreamParser(std::size_t limit = std::size_t{1024} * 1024) : limit_(limit) {}
  /// Parses bytes and calls `on_event` for each complete event.
  /// @return false when an event exceeds the limit; the parser must not be used afterwards.
  bool feed(std::string_view bytes, const std::function<void(std::string_view)>& on_event);

private:
  std::size_t limit_;
  std::string buffer_;     ///< Bytes of the incomplete line.
  std::string data_;       ///< Joined "data:" values of the incomplete event.
  bool has_data_ = false;  ///< Whether the event has a "data:" line.

  bool processLine(std::string_view line, const std::function<void(std::string_view)>& on_event);
};

}  // namespace crankspur::http
