#pragma once
/// @file HTTP/1.1 server on Boost.Beast: keep-alive, bounded header and body, streamed responses.

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "base/byte_budget.h"
#include "base/time.h"
#include "http/message.h"

namespace crankspur::http {

/// Writes the response to one request, either by respond() or by begin() or beginUnframed(), write() and
/// end(). Calls after the client has disconnected are ignored. Must be called on the executor thread of the
/// server.
class ResponseWriter {
public:
  virtual ~ResponseWriter() = default;
  /// Sends a complete response.
  virtual void respond(Response response) = 0;
  /// Starts a chunked response. For server-sent events set Content-Type to text/event-stream.
  virtual void begin(int status, Headers headers) = 0;
  /// Starts a response with BodyFraming::Close. It ends with the connection, which is reset unless end() was
  /// called, also if this process ends.
  virtual void beginUnframed(int status, Headers headers) = 0;
  /// Sends one chunk, or a part of an unframed body. The queue is unbounded, see queuedBytes().
  virtual void write(std::string chunk) = 0;
  /// Ends a response that was started.
  virtual void end() = 0;
  /// Closes the connection without ending the response, so that the client sees a truncated stream.
  virtual void abort() = 0;
  /// @return bytes queued but not yet written to the socket.
  virtual std::size_t queuedBytes() const = 0;
  /// Sets the function called once if the client disconnects before the end of the response. Must be set
  /// before the request handler returns: an earlier disconnect is not reported later.
  virtual void onClientDisconnected(std::function<void()> handler) = 0;
  /// Sets the function that is called each time all queued bytes were written to the socket, until the
  /// response ends. For drivers that pause their source by queuedBytes().
  virtual void onQueueWritten(std::function<void()> handler) = 0;
};

/// Limits that protect the server from its clients. A request that exceeds one is rejected with 413, 431 or
/// 400 and a JSON error body {"error":{"code","message","ran":"not_run"}}, and its connection is closed.
struct ServerLimits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
  Duration idle_timeout = std::chrono::seconds(60);
  Duration header_timeout = std::chrono::seconds(10);
  std::size_t connections = 4096;  ///< Further connections are rejected with 503 and Retry-After.
  /// Limit of the bytes that all connections hold together; null: none. See body_admission.h.
  std::shared_ptr<ByteBudget> budget;
};

/// What a server does with the body of a request whose head it has read.
enum class BodyUse {
  read,               ///< The client is identified by a valid key.
  read_unidentified,  ///< No key identifies the client; its share of the budget is small.
  ignore,             ///< The request will be rejected by its head: the handler gets it without its body.
};

/// Decides about a body by its head. Called only for bodies that exceed BodyAdmission::kSmallBytes or declare
/// no size.
using BodyUseHandler = std::function<BodyUse(const Request& head)>;

/// A request that the server rejected itself: it could not be read completely, or the connection limit was
/// exceeded.
struct RejectedRequest {
  int status = 0;  ///< Status of the response: 400, 408, 413, 431 or 503.
  Request head;    ///< The part of the head that was read; any field may be missing.
  RejectionReason reason = RejectionReason::limits;
};

/// A server's use of its budget began or ceased to delay or reject requests.
struct MemoryPressure {
  bool began = false;
  std::size_t used_bytes = 0;
  std::size_t limit_bytes = 0;
  std::size_t waiting = 0;         ///< Requests whose body is not read yet.
  std::uint64_t rejected = 0;      ///< Requests rejected since the pressure began, for want of room.
  std::uint64_t evicted = 0;       ///< Of these, those whose body was being read.
  std::uint64_t disconnected = 0;  ///< Clients that did not read their responses.
};

/// Called for each request that the server rejected itself.
using RejectedRequestHandler = std::function<void(const RejectedRequest&)>;

/// Handles one request. The writer may be retained and used later.
using RequestHandler = std::function<void(Request, std::shared_ptr<ResponseWriter>)>;

/// A listening server. Destruction closes the listener and all connections.
class Server {
public:
  virtual ~Server() = default;
  /// @return the bound port.
  virtual std::uint16_t port() const = 0;
  /// Stops accepting connections and closes idle ones; open requests continue.
  virtual void stopAccepting() = 0;
  /// Closes each connection after its next response. New connections are still accepted.
  virtual void disableKeepAlive() = 0;
  /// Rejects requests that are being read.
  /// @param rejects decides by the head of a request; null: all are rejected, also those whose head is
  /// incomplete.
  virtual void rejectIncomplete(const Response& response,
                                const std::function<bool(const Request& head)>& rejects) = 0;
  /// Closes connections without a request in progress.
  virtual void closeIdle() = 0;
  /// Sets the handler that decides which bodies are read; without it all are, as those of unidentified
  /// clients.
  virtual void setBodyUseHandler(BodyUseHandler handler) = 0;
  virtual void setMemoryPressureHandler(std::function<void(const MemoryPressure&)> handler) = 0;
  /// Sets the handler that is called for requests that the server rejects itself.
  virtual void setRejectedRequestHandler(RejectedRequestHandler handler) = 0;
  /// Changes the limits for later requests.
  virtual void setLimits(const ServerLimits& limits) = 0;
  /// @return number of requests whose response has not ended.
  virtual std::size_t openRequests() const = 0;
  /// @return number of requests that are being read.
  virtual std::size_t requestsBeingRead() const = 0;
};

/// Listens on "IP:port"; port 0 selects a free port.
/// @return the server, or null with `error` set.
std::unique_ptr<Server> listen(const boost::asio::any_io_executor& executor, const std::string& address,
                               RequestHandler handler, std::error_code& error,
                               const ServerLimits& limits = {});

}  // namespace crankspur::http
