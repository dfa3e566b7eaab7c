#include "http/server_session.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <limits>

#include "base/error.h"
#include "http/serialize.h"

namespace crankspur::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr std::size_t kReadBytes = std::size_t{8} * 1024;
/// Maximum amount of data read beyond the current request.
constexpr std::size_t kMaxReadAheadBytes = std::size_t{64} * 1024;
/// Nothing more is read ahead while more than this share of the budget is used.
constexpr double kReadAheadShare = 0.75;
/// A head is kept with its request, copied for the back end, and written as text.
constexpr std::size_t kHeadCopies = 3;
/// Larger buffers are freed when they are empty.
constexpr std::size_t kMaxIdleBufferBytes = std::size_t{32} * 1024;
constexpr Duration kDrainTimeout = std::chrono::seconds(1);
constexpr std::string_view kLastChunk = "0\r\n\r\n";
constexpr unsigned kHttp10 = 10;

/// Writer for one request of a session, passed to request handlers.
class SessionWriter : public ResponseWriter {
public:
  SessionWriter(std::weak_ptr<ServerSession> session, std::uint64_t request_number)
      : session_(std::move(session)), request_number_(request_number) {}
  ~SessionWriter() override {
    if (const auto session = session_.lock()) session->onWriterDropped(request_number_);
  }
  void respond(Response response) override {
    if (const auto session = session_.lock()) session->respond(request_number_, response);
  }
  void begin(int status, Headers headers) override {
    if (const auto session = session_.lock())
      session->begin(request_number_, status, headers, BodyFraming::Chunked);
  }
  void beginUnframed(int status, Headers headers) override {
    if (const auto session = session_.lock())
      session->begin(request_number_, status, headers, BodyFraming::Close);
  }
  void write(std::string chunk) override {
    if (const auto session = session_.lock()) session->write(request_number_, chunk);
  }
  void end() override {
    if (const auto session = session_.lock()) session->end(request_number_);
  }
  void abort() override {
    if (const auto session = session_.lock()) session->abort(request_number_);
  }
  std::size_t queuedBytes() const override {
    const auto session = session_.lock();
    return session ? session->queuedBytes(request_number_) : 0;
  }
  void onClientDisconnected(std::function<void()> handler) override {
    if (const auto session = session_.lock())
      session->setDisconnectHandler(request_number_, std::move(handler));
  }
  void onQueueWritten(std::function<void()> handler) override {
    if (const auto session = session_.lock())
      session->setQueueWrittenHandler(request_number_, std::move(handler));
  }

private:
  std::weak_ptr<ServerSession> session_;
  std::uint64_t request_number_;
};

/// @return the response to a request that could not be read, or empty if the connection was closed.
std::optional<Response> errorResponseFor(const boost::system::error_code& failure) {
  using beast::http::error;
  if (failure == error::header_limit || failure == error::buffer_overflow) {
    return errorResponse(431, errorName(ErrorCode::TooLarge), "the header is too large", "not_run");
  }
  if (failure == error::body_limit) {
    return errorResponse(413, errorName(ErrorCode::TooLarge), "the body is too large", "not_run");
  }
  if (failure == boost::system::errc::not_supported) {
    return errorResponse(501, errorName(ErrorCode::InvalidRequest), "the transfer coding is not supported",
                         "not_run");
  }
  const auto& parse_failures = make_error_code(error::bad_method).category();
  const bool closed = failure == error::end_of_stream || failure == error::partial_message;
  if (closed || failure.category() != parse_failures) return std::nullopt;
  return errorResponse(400, errorName(ErrorCode::InvalidRequest), "malformed HTTP: " + failure.message(),
                       "not_run");
}

}  // namespace

ServerSession::ServerSession(asio::ip::tcp::socket socket, std::shared_ptr<ServerState> state)
    : socket_(std::move(socket)), timer_(socket_.get_executor()), state_(std::move(state)) {
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  if (state_->memory_guard) held_ = ByteReservation(state_->memory_guard->budget());
}

void ServerSession::start() {
  awaitRequest();
}

void ServerSession::reject() {
  sendError(overloadedResponse("too many connections"));
}

void ServerSession::rejectIncomplete(const Response& response,
                                     const std::function<bool(const Request& head)>& rejects) {
  if (phase_ != Phase::Reading) return;
  const bool is_rejected = rejection_ || !rejects || (parser_->is_header_done() && rejects(parser_->head()));
  if (!is_rejected) return;
  rejection_ = response;
  if (std::exchange(body_waiting_, false)) return sendRejection();  // No read is pending.
  boost::system::error_code ignored;
  socket_.cancel(ignored);  // The pending read then calls failRequest.
}

void ServerSession::sendRejection() {
  const Response response = *std::exchange(rejection_, std::nullopt);
  sendError(response, RejectionReason::stopping);
}

void ServerSession::closeIfIdle() {
  if (phase_ == Phase::Idle) close();
}

void ServerSession::close() {
  if (phase_ == Phase::Closed) return;
  phase_ = Phase::Closed;
  boost::system::error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
  releaseRequest();
  releaseBody();
  held_.resize(0);
  on_disconnect_ = nullptr;
  on_queue_written_ = nullptr;
  state_->sessions.erase(shared_from_this());
}

bool ServerSession::isCurrent(std::uint64_t request_number) const {
  return phase_ == Phase::Handling && request_number == request_number_;
}

// Reading.

void ServerSession::awaitRequest() {
  phase_ = Phase::Idle;
  setTimer(state_->limits.idle_timeout);
  if (buffer_.size() == 0) {
    if (!reading_ahead_) readAhead();
    return;
  }
  boost::system::error_code ignored;
  if (reading_ahead_) {
    socket_.cancel(ignored);  // onReadAhead continues with the header.
  } else {
    readHeader();
  }
}

void ServerSession::readAhead() {
  reading_ahead_ = true;
  socket_.async_read_some(buffer_.prepare(kReadBytes),
                          [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
                            self->reading_ahead_ = false;
                            self->buffer_.commit(bytes);
                            self->onReadAhead(error);
                          });
}

void ServerSession::onReadAhead(boost::system::error_code error) {
  if (phase_ == Phase::Closed) return;
  if (error && error != asio::error::operation_aborted) {
    peer_closed_ = true;
    if (phase_ == Phase::Handling) return onDisconnect();
    if (phase_ != Phase::Flushing) close();
    return;
  }
  if (phase_ == Phase::Idle) return readHeader();
  if (phase_ == Phase::Draining) buffer_.clear();
  updateHeld();
  if (mayReadAhead()) readAhead();
}

bool ServerSession::mayReadAhead() const {
  if (phase_ == Phase::Draining || buffer_.size() == 0) return true;  // The pending read shows a disconnect.
  const bool has_memory = !state_->memory_guard || !state_->memory_guard->budget()->exceeds(kReadAheadShare);
  return has_memory && buffer_.size() < kMaxReadAheadBytes;
}

void ServerSession::readHeader() {
  phase_ = Phase::Reading;
  timed_out_ = false;
  setTimer(state_->limits.header_timeout);
  parser_.emplace();
  const std::size_t header_bytes =
      std::min<std::size_t>(state_->limits.header_bytes, std::numeric_limits<std::uint32_t>::max());
  parser_->header_limit(static_cast<std::uint32_t>(header_bytes));
  parser_->setTrailerLimit(header_bytes);
  parser_->body_limit(state_->limits.body_bytes);
  if (!held_.tryResize(buffer_.size() + header_bytes, 1)) return rejectForMemory();
  // Bounds what is buffered of trailer fields and chunk extensions too. Requests that were read ahead under a
  // higher limit stay valid.
  buffer_.max_size(std::max({header_bytes, kMaxReadAheadBytes, buffer_.size()}) + 2 * kReadBytes);
  const auto on_header = [self = shared_from_this()](boost::system::error_code error, std::size_t) {
    self->onHeader(error);
  };
  beast::http::async_read_header(socket_, buffer_, *parser_, on_header);
}

void ServerSession::onHeader(boost::system::error_code error) {
  if (phase_ == Phase::Closed) return;
  if (error) return failRequest(error);
  head_bytes_ = parser_->headBytes();
  updateHeld();
  setTimer(state_->limits.idle_timeout);
  if (parser_->is_done()) return deliver();
  requestBody();
}

void ServerSession::deliver() {
  ByteReservation held =
      body_ || !state_->memory_guard ? releaseBody() : ByteReservation(state_->memory_guard->budget());
  held.resize(parser_->bodyCapacity() + kHeadCopies * parser_->headBytes());
  body_rejected_ = false;
  rejection_.reset();
  keep_alive_ = parser_->keep_alive();
  handle(parser_->release(std::move(held)));
}

/// The rest of the connection's bytes is the body, so that it has no further requests.
void ServerSession::deliverWithoutBody() {
  keep_alive_ = false;
  handle(parser_->release());
}

void ServerSession::handle(Request request) {
  deadline_.reset();
  head_bytes_ = 0;  // Counted with the request from now on.
  version_ = static_cast<unsigned>(parser_->version());
  head_only_ = request.method == "HEAD";
  response_begun_ = false;
  ends_with_connection_ = false;
  ++request_number_;
  ++state_->open_requests;
  request_counted_ = true;
  phase_ = Phase::Handling;
  if (buffer_.capacity() > 2 * kReadBytes) buffer_.shrink_to_fit();  // No read is pending.
  updateHeld();
  if (mayReadAhead()) readAhead();
  const auto writer = std::make_shared<SessionWriter>(weak_from_this(), request_number_);
  const auto handler = state_->handler;  // Keeps the handler valid if it destroys the server.
  if (handler) (*handler)(std::move(request), writer);
}

void ServerSession::failRequest(boost::system::error_code error) {
  if (rejection_) return sendRejection();
  if (body_rejected_) return rejectForMemory();
  if (timed_out_) {
    return sendError(errorResponse(408, errorName(ErrorCode::DeadlineExceeded),
                                   "the request did not arrive in time", "not_run"));
  }
  const std::optional<Response> response = errorResponseFor(error);
  if (!response) return close();
  sendError(*response);
}

// Writing.

void ServerSession::reportRejected(int status, RejectionReason reason) const {
  if (!state_->rejected_request_handler) return;
  RejectedRequest rejected;
  rejected.status = status;
  rejected.reason = reason;
  if (parser_) rejected.head = parser_->head();
  state_->rejected_request_handler(rejected);
}

void ServerSession::sendError(const Response& response, RejectionReason reason) {
  reportRejected(response.status, reason);
  releaseBody();
  head_bytes_ = 0;
  keep_alive_ = false;
  head_only_ = false;
  version_ = 11;
  queueHeader(response.status, response.headers, response.body.size());
  pending_ += response.body;
  completeResponse();
}

void ServerSession::queueHeader(int status, const Headers& headers, std::optional<std::size_t> body_bytes) {
  if (state_->stopping || state_->keep_alive_disabled) keep_alive_ = false;
  if (ends_with_connection_) keep_alive_ = false;
  ResponseFraming framing;
  framing.version = version_;
  framing.keep_alive = keep_alive_;
  framing.body_bytes = body_bytes;
  framing.chunked = !body_bytes && !ends_with_connection_;
  pending_ += responseHead(status, headers, framing);
}

void ServerSession::respond(std::uint64_t request_number, const Response& response) {
  if (!isCurrent(request_number) || response_begun_) return;
  queueHeader(response.status, response.headers, response.body.size());
  if (!head_only_) pending_ += response.body;
  completeResponse();
}

void ServerSession::begin(std::uint64_t request_number, int status, const Headers& headers,
                          BodyFraming framing) {
  if (!isCurrent(request_number) || response_begun_) return;
  response_begun_ = true;
  ends_with_connection_ = framing == BodyFraming::Close || version_ == kHttp10;
  if (ends_with_connection_) resetOnClose(true);
  queueHeader(status, headers, std::nullopt);
  flush();
}

void ServerSession::write(std::uint64_t request_number, std::string_view chunk) {
  if (!isCurrent(request_number) || !response_begun_ || head_only_ || chunk.empty()) return;
  if (ends_with_connection_) {
    pending_ += chunk;
  } else {
    char size_text[2 * sizeof(std::size_t) + 3];
    const int length = std::snprintf(size_text, sizeof(size_text), "%zx\r\n", chunk.size());
    pending_.append(size_text, static_cast<std::size_t>(length));
    pending_ += chunk;
    pending_ += "\r\n";
  }
  flush();
}

void ServerSession::end(std::uint64_t request_number) {
  if (!isCurrent(request_number) || !response_begun_) return;
  if (!ends_with_connection_ && !head_only_) pending_ += kLastChunk;
  completeResponse();
}

void ServerSession::abort(std::uint64_t request_number) {
  if (isCurrent(request_number)) close();
}

/// A regular close would look like the end of a response that ends with its connection. The kernel also
/// resets the connection if this process ends.
void ServerSession::resetOnClose(bool enabled) {
  boost::system::error_code ignored;
  socket_.set_option(asio::socket_base::linger(enabled, 0), ignored);
}

void ServerSession::onWriterDropped(std::uint64_t request_number) {
  if (!isCurrent(request_number)) return;
  if (response_begun_) return abort(request_number);
  respond(request_number,
          errorResponse(500, errorName(ErrorCode::Internal), "the request was dropped", "unknown"));
}

std::size_t ServerSession::queuedBytes(std::uint64_t request_number) const {
  return request_number == request_number_ ? pending_.size() + writing_.size() - written_ : 0;
}

void ServerSession::setDisconnectHandler(std::uint64_t request_number, std::function<void()> handler) {
  if (isCurrent(request_number)) on_disconnect_ = std::move(handler);
}

void ServerSession::setQueueWrittenHandler(std::uint64_t request_number, std::function<void()> handler) {
  if (isCurrent(request_number)) on_queue_written_ = std::move(handler);
}

void ServerSession::completeResponse() {
  phase_ = Phase::Flushing;
  // The handler may own the writer; destroy it only after the state is consistent.
  const auto disconnect_handler = std::exchange(on_disconnect_, nullptr);
  const auto queue_handler = std::exchange(on_queue_written_, nullptr);
  if (queuedBytes(request_number_) == 0) return onFlushed();
  flush();
}

void ServerSession::flush() {
  updateHeld();
  if (!writing_.empty() || pending_.empty()) return;
  std::swap(writing_, pending_);
  written_ = 0;
  write_progress_at_ = std::chrono::steady_clock::now();
  writeSome();
}

void ServerSession::writeSome() {
  setTimer(state_->limits.idle_timeout);
  const auto remaining = asio::buffer(writing_) + written_;
  socket_.async_write_some(remaining,
                           [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
                             self->onWritten(error, bytes);
                           });
}

void ServerSession::onWritten(boost::system::error_code error, std::size_t bytes) {
  if (phase_ == Phase::Closed) return;
  if (error) return phase_ == Phase::Handling ? onDisconnect() : close();
  written_ += bytes;
  write_progress_at_ = std::chrono::steady_clock::now();
  if (written_ < writing_.size()) return writeSome();
  writing_.clear();
  written_ = 0;
  if (!pending_.empty()) return flush();
  updateHeld();
  releaseBuffers();
  deadline_.reset();
  if (phase_ == Phase::Flushing) return onFlushed();
  const std::function<void()> handler = on_queue_written_;
  if (handler) handler();
}

/// The socket accepts more bytes only once much of its buffer is free, so that its fill level shows progress
/// sooner.
Duration ServerSession::unreadTime() {
  if (unreadBytes() == 0) return Duration(0);
  int unacknowledged = 0;
  const bool known = ::ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) == 0;
  if (known && std::exchange(unacknowledged_, unacknowledged) != unacknowledged) {
    write_progress_at_ = std::chrono::steady_clock::now();
  }
  return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - write_progress_at_);
}

void ServerSession::updateHeld() {
  const std::size_t read_ahead = buffer_.capacity() > 2 * kReadBytes ? buffer_.capacity() : buffer_.size();
  held_.resize(read_ahead + head_bytes_ + pending_.size() + writing_.size());
  if (state_->memory_guard) state_->memory_guard->onQueued();
}

/// A connection would otherwise keep the memory of its largest response.
void ServerSession::releaseBuffers() {
  if (writing_.capacity() > kMaxIdleBufferBytes) std::string().swap(writing_);
  if (pending_.empty() && pending_.capacity() > kMaxIdleBufferBytes) std::string().swap(pending_);
}

void ServerSession::onFlushed() {
  releaseRequest();
  parser_.reset();
  if (ends_with_connection_) resetOnClose(false);
  if (peer_closed_) return close();
  if (keep_alive_ && !state_->stopping) return awaitRequest();
  drain();
}

// Closing.

void ServerSession::disconnect() {
  if (phase_ == Phase::Handling) return onDisconnect();
  close();
}

void ServerSession::onDisconnect() {
  const std::function<void()> handler = std::exchange(on_disconnect_, nullptr);
  close();
  if (handler) handler();
}

void ServerSession::drain() {
  phase_ = Phase::Draining;
  setTimer(kDrainTimeout);
  boost::system::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  buffer_.clear();
  if (!reading_ahead_) readAhead();
}

/// Moves the deadline. The timer is rearmed only if it would fire too late, because the deadline moves with
/// each chunk of a stream.
void ServerSession::setTimer(Duration delay) {
  deadline_ = std::chrono::steady_clock::now() + delay;
  if (!timer_armed_ || timer_.expiry() > *deadline_) armTimer();
}

void ServerSession::armTimer() {
  timer_armed_ = true;
  timer_.expires_at(*deadline_);
  timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
    if (error) return;
    self->timer_armed_ = false;
    if (!self->deadline_) return;
    if (std::chrono::steady_clock::now() < *self->deadline_) return self->armTimer();
    self->deadline_.reset();
    self->onTimer();
  });
}

void ServerSession::onTimer() {
  boost::system::error_code ignored;
  switch (phase_) {
    case Phase::Reading:
      timed_out_ = true;
      if (body_waiting_) return failRequest({});  // No read is pending.
      socket_.cancel(ignored);                    // The pending read then calls failRequest.
      return;
    case Phase::Handling:
      return onDisconnect();  // The client has read nothing during the timeout.
    default:
      return close();
  }
}

void ServerSession::releaseRequest() {
  if (!request_counted_) return;
  request_counted_ = false;
  --state_->open_requests;
}

}  // namespace crankspur::http
