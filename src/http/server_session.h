#pragma once
/// @file One connection of the HTTP server. Internal to this package; include only from .cc files.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <optional>
#include <unordered_set>

#include "http/memory_guard.h"
#include "http/message_parser.h"
#include "http/server.h"

namespace crankspur::http {

class ServerSession;

/// State shared by the connections of one server.
struct ServerState {
  std::shared_ptr<const RequestHandler> handler;    ///< Empty once the server is destroyed.
  RejectedRequestHandler rejected_request_handler;  ///< May be empty.
  BodyUseHandler body_use_handler;                  ///< May be empty.
  std::shared_ptr<MemoryGuard> memory_guard;        ///< Null: the server has no budget.
  ServerLimits limits;
  bool stopping = false;
  bool keep_alive_disabled = false;
  std::size_t open_requests = 0;
  std::unordered_set<std::shared_ptr<ServerSession>> sessions;  ///< Owns the open connections.
};

/// Reads requests sequentially and writes their responses. While a response is in progress a read stays
/// pending to detect a disconnect of the client.
class ServerSession : public std::enable_shared_from_this<ServerSession> {
public:
  ServerSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<ServerState> state);

  /// Starts to read requests.
  void start();
  /// Responds 503 and closes, because the server has too many connections.
  void reject();
  /// Closes if no request is in progress.
  void closeIfIdle();
  bool isReading() const { return phase_ == Phase::Reading; }
  /// See Server.
  void rejectIncomplete(const Response& response, const std::function<bool(const Request& head)>& rejects);
  /// @return bytes that the client has not read, and how long it has read nothing.
  std::size_t unreadBytes() const { return pending_.size() + writing_.size() - written_; }
  Duration unreadTime();
  /// Closes immediately; notifies the request handler as if the client had disconnected.
  void disconnect();

  // Called by the memory guard.
  /// A body that had to wait may be read.
  void onBodyAdmitted();
  /// The body is not read any further.
  void rejectBody();

  /// Closes immediately, without notifying the request handler.
  void close();

  // Called by the writer of the given request; ignored if that request has ended.
  void respond(std::uint64_t request_number, const Response& response);
  void begin(std::uint64_t request_number, int status, const Headers& headers, BodyFraming framing);
  void write(std::uint64_t request_number, std::string_view chunk);
  void end(std::uint64_t request_number);
  void abort(std::uint64_t request_number);
  void onWriterDropped(std::uint64_t request_number);
  std::size_t queuedBytes(std::uint64_t request_number) const;
  void setDisconnectHandler(std::uint64_t request_number, std::function<void()> handler);
  void setQueueWrittenHandler(std::uint64_t request_number, std::function<void()> handler);

private:
  enum class Phase {
    Idle,      ///< Waiting for the first byte of a request.
    Reading,   ///< Reading a request.
    Handling,  ///< The handler has the request and its response has not ended.
    Flushing,  ///< The response has ended; bytes remain to be written.
    Draining,  ///< The sending side is shut down; received data is discarded.
    Closed,
  };

  bool isCurrent(std::uint64_t request_number) const;
  void awaitRequest();
  void readAhead();
  void onReadAhead(boost::system::error_code error);
  void readHeader();
  void onHeader(boost::system::error_code error);
  void requestBody();
  void startBody();
  void sendContinue();
  void readBody();
  bool holdNextPart();
  void deliver();
  void deliverWithoutBody();
  void handle(Request request);
  ByteReservation releaseBody();
  void rejectForMemory();
  bool mayReadAhead() const;
  void updateHeld();
  void releaseBuffers();
  void failRequest(boost::system::error_code error);
  void sendError(const Response& response, RejectionReason reason = RejectionReason::limits);
  void sendRejection();
  void reportRejected(int status, RejectionReason reason) const;
  void queueHeader(int status, const Headers& headers, std::optional<std::size_t> body_bytes);
  void resetOnClose(bool enabled);
  void completeResponse();
  void flush();
  void writeSome();
  void onWritten(boost::system::error_code error, std::size_t bytes);
  void onFlushed();
  void onDisconnect();
  void drain();
  void setTimer(Duration delay);
  void armTimer();
  void onTimer();
  void releaseRequest();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  bool timer_armed_ = false;
  std::optional<std::chrono::steady_clock::time_point> deadline_;
  std::shared_ptr<ServerState> state_;
  boost::beast::flat_buffer buffer_;
  std::optional<RequestParser> parser_;
  Phase phase_ = Phase::Idle;
  bool reading_ahead_ = false;
  bool timed_out_ = false;
  bool peer_closed_ = false;
  bool request_counted_ = false;
  ByteReservation held_;        ///< For the head that is being read, and for bytes read ahead or queued.
  std::size_t head_bytes_ = 0;  ///< Of the parsed head while the body is read.
  std::optional<BodyId> body_;  ///< Of the body that waits or is being read.
  std::optional<std::size_t> body_bytes_;  ///< Its declared size.
  bool body_waiting_ = false;              ///< It waits for room; no read is pending.
  bool body_rejected_ = false;             ///< The pending read was cancelled by rejectBody().
  std::optional<Response> rejection_;      ///< The pending read was cancelled by rejectIncomplete().
  std::uint64_t request_number_ = 0;
  // Current request.
  unsigned version_ = 11;
  bool keep_alive_ = false;
  bool head_only_ = false;
  bool response_begun_ = false;
  bool ends_with_connection_ = false;  ///< The response has BodyFraming::Close.
  std::function<void()> on_disconnect_;
  std::function<void()> on_queue_written_;
  // Output: `writing_` from offset `written_` is being written to the socket, followed by `pending_`.
  std::string writing_;
  std::size_t written_ = 0;
  std::string pending_;
  int unacknowledged_ = 0;  ///< Bytes in the buffer of the socket when unreadTime() was called last.
  std::chrono::steady_clock::time_point
      write_progress_at_{};  ///< Bytes were last written, or the queue was empty.
};

}  // namespace crankspur::http
