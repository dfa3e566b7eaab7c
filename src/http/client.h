#pragma once
/// @file HTTP/1.1 client on Boost.Beast with a pool of kept-alive connections to each address.

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "base/time.h"
#include "http/message.h"

namespace crankspur::http {

/// How far a failed exchange had come; decides whether "not run" may be said.
enum class SendState {
  NotSent,      ///< No byte of the request was written: the connect failed, or the first write did.
  SentUnknown,  ///< Bytes were written; the server may have acted.
};

/// Callbacks of one exchange, on the client's executor thread.
struct ExchangeCallbacks {
  /// Whether a head belongs to the request; one that does not is an answer left over from an earlier
  /// exchange, which is discarded whole. Optional; without it every answer is taken.
  std::function<bool(int status, const Headers&)> is_own;
  /// Status line and headers arrived. Optional.
  std::function<void(int status, const Headers&)> on_headers;
  /// A piece of the body arrived, at its arrival. When unset the body is collected for on_done.
  std::function<void(std::string_view)> on_data;
  /// The exchange ended: `error` is empty when the response was complete.
  std::function<void(std::error_code error, SendState state, Response response)> on_done;
};

/// A running exchange.
class Exchange {
public:
  virtual ~Exchange() = default;
  /// Closes the connection; on_done is not called any more.
  virtual void cancel() = 0;
  /// The same, because no answer came in the time for it: kept connections may be at fault as well.
  virtual void cancelUnanswered() = 0;
};

/// Options of one exchange.
struct ExchangeOptions {
  Duration connect_timeout = std::chrono::seconds(1);
  /// Time without any byte from the server after which the exchange fails.
  Duration idle_timeout = std::chrono::seconds(10);
  std::size_t body_bytes = std::size_t{16} * 1024 * 1024;  ///< Limit of a collected body.
};

/// An exchange that the server left without any byte of an answer until the time for it had passed.
struct UnansweredExchange {
  std::string address;
  bool reused = false;         ///< On a connection that had served an exchange before.
  Duration waited{0};          ///< Since the request was written, or the connect began.
  Duration connection_age{0};  ///< Since the connection was opened; 0: it was not.
  std::size_t idle = 0;        ///< Other connections to the address that are kept for later exchanges.
};

/// Client with pooled connections. When an exchange on a kept-alive connection gets no answer the others to
/// the same server are closed, or all (connection_trust.h). A kept-alive connection that the server closed
/// before the first byte of the response is never silently retried unless the method is GET.
class Client {
public:
  virtual ~Client() = default;
  /// Starts an exchange with the server at "IP:port".
  virtual std::shared_ptr<Exchange> start(const std::string& address, Request request,
                                          ExchangeCallbacks callbacks, ExchangeOptions options = {}) = 0;
  /// @param handler hears of each exchange that was left unanswered, before its on_done.
  virtual void setUnansweredHandler(std::function<void(const UnansweredExchange&)> handler) = 0;
  /// @param handler hears when connections to several servers have gone silent together, so that all kept
  /// ones were closed.
  virtual void setSilenceHandler(std::function<void()> handler) = 0;
  /// Closes kept connections that have not been heard for 0.3 s: later exchanges open new ones.
  /// @param address whose; empty: all.
  virtual void leaveKept(const std::string& address) = 0;
};

/// @return a client whose work and callbacks run on `executor`.
std::unique_ptr<Client> makeClient(boost::asio::any_io_executor executor);

/// Splits a server-sent event stream into the values of its "data:" lines, at any chunk boundary. Several
/// "data:" lines of one event are joined by a line feed. Lines end with LF or CR LF.
class EventStreamParser {
public:
  /// @param limit bytes of one event; a longer one makes the parser report failure.
  explicit EventStreamParser(std::size_t limit = std::size_t{1024} * 1024) : limit_(limit) {}
  /// Feeds bytes; calls `on_event` for each complete event.
  /// @return false when an event exceeds the limit; the stream is then unusable.
  bool feed(std::string_view bytes, const std::function<void(std::string_view)>& on_event);

private:
  std::size_t limit_;
  std::string buffer_;     ///< Bytes of the line not yet complete.
  std::string data_;       ///< Joined "data:" values of the event not yet complete.
  bool has_data_ = false;  ///< Whether the event has a "data:" line.

  bool takeLine(std::string_view line, const std::function<void(std::string_view)>& on_event);
};

}  // namespace crankspur::http
