#pragma once
/// @file HTTP/1.1 server on Boost.Beast: keep-alive, bounded header and body, streamed responses.

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "base/time.h"
#include "http/message.h"

namespace crankspur::http {

/// The way to answer one request. Exactly one of respond() or begin()..end() is used; calls after the client
/// has gone are ignored. Calls must come from the server's executor thread.
class ResponseWriter {
public:
  virtual ~ResponseWriter() = default;
  /// Sends a complete response.
  virtual void respond(Response response) = 0;
  /// Starts a chunked response (for server-sent events set content-type text/event-stream).
  virtual void begin(int status, Headers headers) = 0;
  /// Sends one chunk; chunks are queued without bound check, see queuedBytes().
  virtual void write(std::string chunk) = 0;
  /// Ends a chunked response.
  virtual void end() = 0;
  /// Closes the connection without a proper end, so that the client sees a cut stream.
  virtual void abort() = 0;
  /// @return bytes queued but not yet handed to the socket.
  virtual std::size_t queuedBytes() const = 0;
  /// Sets the function called once if the client goes away before the response ended. Set it before the
  /// request handler returns: a client that went away earlier is not reported later.
  virtual void onClientGone(std::function<void()> handler) = 0;
};

/// Limits that protect the server from its clients. A request beyond one gets 413, 431 or 400 with a JSON
/// error body {"error":{"code","message","ran":"not_run"}} and its connection closes.
struct ServerLimits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
  Duration idle_timeout = std::chrono::seconds(60);
  Duration header_timeout = std::chrono::seconds(10);
  std::size_t connections = 4096;  ///< Further connections get 503 with Retry-After.
};

/// A request that the server answered itself: it could not be read whole, or came on a connection too many.
struct UnreadRequest {
  int status = 0;  ///< Of the answer: 400, 408, 413, 431 or 503.
  Request head;    ///< What was read of the head; may lack anything.
};

/// Hears of a request that the server answered itself.
using UnreadRequestHandler = std::function<void(const UnreadRequest&)>;

/// Handles one request. The writer may be kept and used later.
using RequestHandler = std::function<void(Request, std::shared_ptr<ResponseWriter>)>;

/// A listening server; destruction closes the listener and every connection.
class Server {
public:
  virtual ~Server() = default;
  /// @return the port that was bound.
  virtual std::uint16_t port() const = 0;
  /// Takes no further connection; idle ones close, open requests go on.
  virtual void stopAccepting() = 0;
  /// From now on each answer closes its connection. Connections are still taken.
  virtual void closeAfterAnswers() = 0;
  /// Closes the connections on which no request is being read or answered.
  virtual void closeIdle() = 0;
  /// Sets who hears of requests that the server answers itself; before, nobody does.
  virtual void setUnreadHandler(UnreadRequestHandler handler) = 0;
  /// Changes the limits, for requests that begin later.
  virtual void setLimits(const ServerLimits& limits) = 0;
  /// @return requests whose response has not ended.
  virtual std::size_t openRequests() const = 0;
  /// @return requests that are being read.
  virtual std::size_t requestsBeingRead() const = 0;
};

/// Listens on "IP:port"; port 0 lets the system choose.
/// @return the server, or empty with `error` set.
std::unique_ptr<Server> listen(const boost::asio::any_io_executor& executor, const std::string& address,
                               RequestHandler handler, std::error_code& error, ServerLimits limits = {});

}  // namespace crankspur::http
