#pragma once
/// @file Internal to this package: one connection of the HTTP server. Include it from .cc files only.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <unordered_set>

#include "http/server.h"

namespace crankspur::http {

class ServerSession;

/// What the connections of one server share.
struct ServerState {
  std::shared_ptr<const RequestHandler> handler;  ///< Empty once the server is destroyed.
  UnreadRequestHandler unread_handler;            ///< May be empty.
  ServerLimits limits;
  bool stopping = false;
  bool close_after_answers = false;
  std::size_t open_requests = 0;
  std::unordered_set<std::shared_ptr<ServerSession>> sessions;  ///< Keeps open connections alive.
};

/// Reads requests one after the other and writes their responses. While a response is under way a read stays
/// pending, so that a client that goes away is noticed.
class ServerSession : public std::enable_shared_from_this<ServerSession> {
public:
  ServerSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<ServerState> state);

  /// Begins to read requests.
  void start();
  /// Answers 503 and closes: the server has too many connections.
  void refuse();
  /// Closes if no request is under way.
  void closeIfIdle();
  bool isReading() const { return phase_ == Phase::Reading; }
  /// Closes at once, without telling the request's handler.
  void close();

  // Called by the writer of request `number`; ignored when that request has ended.
  void respond(std::uint64_t number, const Response& response);
  void begin(std::uint64_t number, int status, const Headers& headers);
  void write(std::uint64_t number, std::string_view chunk);
  void end(std::uint64_t number);
  void abort(std::uint64_t number);
  void abandon(std::uint64_t number);
  std::size_t queuedBytes(std::uint64_t number) const;
  void setClientGone(std::uint64_t number, std::function<void()> handler);

private:
  enum class Phase {
    Idle,      ///< Waits for the first byte of a request.
    Reading,   ///< Reads a request.
    Handling,  ///< The handler has the request and its response has not ended.
    Flushing,  ///< The response has ended, bytes remain to be written.
    Draining,  ///< Our side is closed; discards what the client still sends.
    Closed,
  };
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  bool isOpen(std::uint64_t number) const;
  void awaitRequest();
  void watch();
  void onWatched(boost::system::error_code error);
  void readHeader();
  void onHeader(boost::system::error_code error);
  void sendContinue();
  void readBody();
  void deliver();
  void failRequest(boost::system::error_code error);
  void sendError(const Response& response);
  void tellUnread(int status) const;
  void queueHeader(int status, const Headers& headers, std::optional<std::size_t> body_bytes);
  void finishResponse();
  void flush();
  void writeSome();
  void onWritten(boost::system::error_code error, std::size_t bytes);
  void onFlushed();
  void clientGone();
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
  std::optional<Parser> parser_;
  Phase phase_ = Phase::Idle;
  bool watching_ = false;
  bool timed_out_ = false;
  bool peer_closed_ = false;
  bool request_open_ = false;
  std::uint64_t request_number_ = 0;
  // Of the request under way.
  unsigned version_ = 11;
  bool keep_alive_ = false;
  bool head_only_ = false;
  bool begun_ = false;
  std::function<void()> client_gone_;
  // Bytes to write: `writing_` from `written_` on is with the socket, `pending_` follows it.
  std::string writing_;
  std::size_t written_ = 0;
  std::string pending_;
};

}  // namespace crankspur::http
