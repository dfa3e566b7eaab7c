#include "http/server_session.h"

#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include "base/error.h"
#include "http/serialize.h"

namespace crankspur::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr std::size_t kReadBytes = std::size_t{8} * 1024;
constexpr std::size_t kReadAheadBytes = std::size_t{64} * 1024;  ///< Bytes taken beyond a request under way.
constexpr Duration kDrainTime = std::chrono::seconds(1);
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";
constexpr unsigned kHttp10 = 10;

/// The writer that handlers get; it stands for one request of a session.
class SessionWriter : public ResponseWriter {
public:
  SessionWriter(std::weak_ptr<ServerSession> session, std::uint64_t number)
      : session_(std::move(session)), number_(number) {}
  ~SessionWriter() override {
    if (const auto session = session_.lock()) session->abandon(number_);
  }
  void respond(Response response) override {
    if (const auto session = session_.lock()) session->respond(number_, response);
  }
  void begin(int status, Headers headers) override {
    if (const auto session = session_.lock()) session->begin(number_, status, headers);
  }
  void write(std::string chunk) override {
    if (const auto session = session_.lock()) session->write(number_, chunk);
  }
  void end() override {
    if (const auto session = session_.lock()) session->end(number_);
  }
  void abort() override {
    if (const auto session = session_.lock()) session->abort(number_);
  }
  std::size_t queuedBytes() const override {
    const auto session = session_.lock();
    return session ? session->queuedBytes(number_) : 0;
  }
  void onClientGone(std::function<void()> handler) override {
    if (const auto session = session_.lock()) session->setClientGone(number_, std::move(handler));
  }

private:
  std::weak_ptr<ServerSession> session_;
  std::uint64_t number_;
};

/// @return the answer to a request that could not be read, or empty when the connection is simply over.
std::optional<Response> answerTo(const boost::system::error_code& failure) {
  using beast::http::error;
  if (failure == error::header_limit || failure == error::buffer_overflow) {
    return errorResponse(431, errorName(ErrorCode::TooLarge), "the header is too large", "not_run");
  }
  if (failure == error::body_limit) {
    return errorResponse(413, errorName(ErrorCode::TooLarge), "the body is too large", "not_run");
  }
  const auto& parse_failures = make_error_code(error::bad_method).category();
  const bool over = failure == error::end_of_stream || failure == error::partial_message;
  if (over || failure.category() != parse_failures) return std::nullopt;
  return errorResponse(400, errorName(ErrorCode::InvalidRequest), "malformed HTTP: " + failure.message(),
                       "not_run");
}

}  // namespace

ServerSession::ServerSession(asio::ip::tcp::socket socket, std::shared_ptr<ServerState> state)
    : socket_(std::move(socket)), timer_(socket_.get_executor()), state_(std::move(state)) {
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void ServerSession::start() {
  awaitRequest();
}

void ServerSession::refuse() {
  Response response = errorResponse(503, errorName(ErrorCode::Overloaded), "too many connections", "not_run");
  response.headers["Retry-After"] = "1";
  sendError(response);
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
  client_gone_ = nullptr;
  state_->sessions.erase(shared_from_this());
}

bool ServerSession::isOpen(std::uint64_t number) const {
  return phase_ == Phase::Handling && number == request_number_;
}

// Reading.

void ServerSession::awaitRequest() {
  phase_ = Phase::Idle;
  setTimer(state_->limits.idle_timeout);
  if (buffer_.size() == 0) {
    if (!watching_) watch();
    return;
  }
  boost::system::error_code ignored;
  if (watching_) {
    socket_.cancel(ignored);  // onWatched goes on to read the header.
  } else {
    readHeader();
  }
}

void ServerSession::watch() {
  watching_ = true;
  socket_.async_read_some(buffer_.prepare(kReadBytes),
                          [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
                            self->watching_ = false;
                            self->buffer_.commit(bytes);
                            self->onWatched(error);
                          });
}

void ServerSession::onWatched(boost::system::error_code error) {
  if (phase_ == Phase::Closed) return;
  if (error && error != asio::error::operation_aborted) {
    peer_closed_ = true;
    if (phase_ == Phase::Handling) return clientGone();
    if (phase_ != Phase::Flushing) close();
    return;
  }
  if (phase_ == Phase::Idle) return readHeader();
  if (phase_ == Phase::Draining) buffer_.clear();
  if (buffer_.size() < kReadAheadBytes) watch();
}

void ServerSession::readHeader() {
  phase_ = Phase::Reading;
  timed_out_ = false;
  setTimer(state_->limits.header_timeout);
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(state_->limits.header_bytes));
  parser_->body_limit(state_->limits.body_bytes);
  const auto on_header = [self = shared_from_this()](boost::system::error_code error, std::size_t) {
    self->onHeader(error);
  };
  beast::http::async_read_header(socket_, buffer_, *parser_, on_header);
}

void ServerSession::onHeader(boost::system::error_code error) {
  if (phase_ == Phase::Closed) return;
  if (error) return failRequest(error);
  setTimer(state_->limits.idle_timeout);
  const bool wants_continue =
      beast::iequals(parser_->get()[beast::http::field::expect], "100-continue") && !parser_->is_done();
  if (wants_continue) {
    sendContinue();
  } else {
    readBody();
  }
}

void ServerSession::sendContinue() {
  const auto on_sent = [self = shared_from_this()](boost::system::error_code error, std::size_t) {
    if (self->phase_ == Phase::Closed) return;
    if (error) return self->close();
    self->readBody();
  };
  asio::async_write(socket_, asio::buffer(kContinue), on_sent);
}

void ServerSession::readBody() {
  if (parser_->is_done()) return deliver();
  const auto on_body = [self = shared_from_this()](boost::system::error_code error, std::size_t) {
    if (self->phase_ == Phase::Closed) return;
    if (error) return self->failRequest(error);
    self->deliver();
  };
  beast::http::async_read(socket_, buffer_, *parser_, on_body);
}

void ServerSession::deliver() {
  deadline_.reset();
  auto message = parser_->release();
  Request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.headers = readHeaders(message.base());
  request.body = std::move(message.body());
  version_ = message.version();
  keep_alive_ = message.keep_alive();
  head_only_ = message.method() == beast::http::verb::head;
  begun_ = false;
  ++request_number_;
  ++state_->open_requests;
  request_open_ = true;
  phase_ = Phase::Handling;
  watch();
  const auto writer = std::make_shared<SessionWriter>(weak_from_this(), request_number_);
  const auto handler = state_->handler;  // Lives on if the handler destroys the server.
  if (handler) (*handler)(std::move(request), writer);
}

void ServerSession::failRequest(boost::system::error_code error) {
  if (timed_out_) {
    return sendError(errorResponse(408, errorName(ErrorCode::DeadlineExceeded),
                                   "the request did not arrive in time", "not_run"));
  }
  const std::optional<Response> answer = answerTo(error);
  if (!answer) return close();
  sendError(*answer);
}

// Writing.

void ServerSession::tellUnread(int status) const {
  if (!state_->unread_handler) return;
  UnreadRequest unread;
  unread.status = status;
  if (parser_) {
    const auto& head = parser_->get();
    unread.head.method = std::string(head.method_string());
    unread.head.target = std::string(head.target());
    unread.head.headers = readHeaders(head.base());
  }
  state_->unread_handler(unread);
}

void ServerSession::sendError(const Response& response) {
  tellUnread(response.status);
  keep_alive_ = false;
  head_only_ = false;
  version_ = 11;
  queueHeader(response.status, response.headers, response.body.size());
  pending_ += response.body;
  finishResponse();
}

void ServerSession::queueHeader(int status, const Headers& headers, std::optional<std::size_t> body_bytes) {
  if (state_->stopping || state_->close_after_answers) keep_alive_ = false;
  if (!body_bytes && version_ == kHttp10) keep_alive_ = false;
  beast::http::response<beast::http::empty_body> message;
  message.result(static_cast<unsigned>(status));
  message.version(version_);
  copyHeaders(headers, message);
  message.keep_alive(keep_alive_);
  if (body_bytes) {
    message.content_length(*body_bytes);
  } else {
    message.chunked(version_ != kHttp10);
  }
  pending_ += headerText(message);
}

void ServerSession::respond(std::uint64_t number, const Response& response) {
  if (!isOpen(number) || begun_) return;
  queueHeader(response.status, response.headers, response.body.size());
  if (!head_only_) pending_ += response.body;
  finishResponse();
}

void ServerSession::begin(std::uint64_t number, int status, const Headers& headers) {
  if (!isOpen(number) || begun_) return;
  begun_ = true;
  queueHeader(status, headers, std::nullopt);
  flush();
}

void ServerSession::write(std::uint64_t number, std::string_view chunk) {
  if (!isOpen(number) || !begun_ || head_only_ || chunk.empty()) return;
  if (version_ == kHttp10) {
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

void ServerSession::end(std::uint64_t number) {
  if (!isOpen(number) || !begun_) return;
  if (version_ != kHttp10 && !head_only_) pending_ += kLastChunk;
  finishResponse();
}

void ServerSession::abort(std::uint64_t number) {
  if (!isOpen(number)) return;
  boost::system::error_code ignored;
  // Without chunks an ordinary close would look like the proper end.
  if (version_ == kHttp10) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  close();
}

void ServerSession::abandon(std::uint64_t number) {
  if (!isOpen(number)) return;
  if (begun_) return abort(number);
  respond(number, errorResponse(500, errorName(ErrorCode::Internal), "the request was dropped", "unknown"));
}

std::size_t ServerSession::queuedBytes(std::uint64_t number) const {
  return number == request_number_ ? pending_.size() + writing_.size() - written_ : 0;
}

void ServerSession::setClientGone(std::uint64_t number, std::function<void()> handler) {
  if (isOpen(number)) client_gone_ = std::move(handler);
}

void ServerSession::finishResponse() {
  phase_ = Phase::Flushing;
  // The handler may hold the writer, whose destruction must not find its own caller half done.
  const auto released = std::exchange(client_gone_, nullptr);
  flush();
}

void ServerSession::flush() {
  if (!writing_.empty() || pending_.empty()) return;
  std::swap(writing_, pending_);
  written_ = 0;
  writeSome();
}

void ServerSession::writeSome() {
  setTimer(state_->limits.idle_timeout);
  const auto rest = asio::buffer(writing_) + written_;
  socket_.async_write_some(rest,
                           [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
                             self->onWritten(error, bytes);
                           });
}

void ServerSession::onWritten(boost::system::error_code error, std::size_t bytes) {
  if (phase_ == Phase::Closed) return;
  if (error) return phase_ == Phase::Handling ? clientGone() : close();
  written_ += bytes;
  if (written_ < writing_.size()) return writeSome();
  writing_.clear();
  written_ = 0;
  if (!pending_.empty()) return flush();
  deadline_.reset();
  if (phase_ == Phase::Flushing) onFlushed();
}

void ServerSession::onFlushed() {
  releaseRequest();
  parser_.reset();
  if (peer_closed_) return close();
  if (keep_alive_ && !state_->stopping) return awaitRequest();
  drain();
}

// Ends.

void ServerSession::clientGone() {
  const std::function<void()> handler = std::exchange(client_gone_, nullptr);
  close();
  if (handler) handler();
}

void ServerSession::drain() {
  phase_ = Phase::Draining;
  setTimer(kDrainTime);
  boost::system::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  buffer_.clear();
  if (!watching_) watch();
}

/// Moves the deadline. The timer itself is armed again only when it would fire too late, since a deadline is
/// moved with each chunk of a stream.
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
      socket_.cancel(ignored);  // The pending read ends in failRequest.
      return;
    case Phase::Handling:
      return clientGone();  // The client has not read for the whole time.
    default:
      return close();
  }
}

void ServerSession::releaseRequest() {
  if (!request_open_) return;
  request_open_ = false;
  --state_->open_requests;
}

}  // namespace crankspur::http
