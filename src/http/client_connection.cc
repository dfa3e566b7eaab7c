#include "http/client_connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <charconv>
#include <utility>

#include "base/endpoint.h"
#include "base/error.h"
#include "http/serialize.h"

namespace crankspur::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
constexpr std::uint32_t kHeaderBytes = 64 * 1024;
/// Limit of received bytes that the parser does not consume: it consumes a head, the trailer fields and a
/// line between chunks only when they are complete.
constexpr std::size_t kMaxUnparsedBytes = kHeaderBytes;
/// Maximum time from the first byte of a head to its end. A server may send bytes of a head without end.
constexpr Duration kMaxHeadTime = std::chrono::seconds(2);
/// Of a head while its body is received: one here, one of the driver.
constexpr std::size_t kHeadCopies = 2;
/// Reading the rest of a response that is not needed costs less than a new connection, up to this size and
/// time. A server may send such a response without end.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{64} * 1024;
constexpr Duration kMaxDiscardTime = std::chrono::seconds(2);
/// Limit of interim responses and of responses to earlier requests before the response of an exchange.
constexpr std::uint32_t kMaxOtherResponses = 16;
/// Shorter than the idle timeout of the server, so that the client closes an idle connection first.
constexpr Duration kIdleLifetime = std::chrono::seconds(20);
/// Maximum time in which the close of an idle connection by the server can race with the next request on it.
constexpr Duration kCloseRaceWindow = std::chrono::milliseconds(500);
/// When a timer fires this late, data may have been received meanwhile; it is read before the exchange fails.
constexpr Duration kTimerDelayTolerance = std::chrono::milliseconds(50);

/// Enables TCP keep-alive probes, so that the kernel detects the loss of the peer machine within seconds. A
/// lost machine sends neither FIN nor RST.
void enableKeepAliveProbes(asio::ip::tcp::socket& socket) {
  constexpr int kProbeIntervalSeconds = 1;
  constexpr int kProbeCount = 2;
  const int descriptor = socket.native_handle();
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeIntervalSeconds, sizeof(kProbeIntervalSeconds));
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeIntervalSeconds, sizeof(kProbeIntervalSeconds));
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &kProbeCount, sizeof(kProbeCount));
}

std::string_view bytesOf(const beast::flat_buffer& buffer) {
  return {static_cast<const char*>(buffer.data().data()), buffer.size()};
}

/// @return the error of an exchange whose response the parser rejects.
std::error_code parseFailure(const boost::system::error_code& error) {
  using beast::http::error::body_limit;
  using beast::http::error::header_limit;
  const bool too_large = error == body_limit || error == header_limit;
  return too_large ? ErrorCode::TooLarge : ErrorCode::Malformed;
}

}  // namespace

ClientConnection::ClientConnection(const asio::any_io_executor& executor, std::string address,
                                   Callbacks callbacks)
    : socket_(executor),
      timer_(executor),
      address_(std::move(address)),
      callbacks_(std::move(callbacks)),
      idle_lifetime_(kIdleLifetime) {}

void ClientConnection::run(std::shared_ptr<ExchangeState> exchange) {
  exchange_ = std::move(exchange);
  request_head_ = requestHead(exchange_->request, address_);
  held_ = ByteReservation(exchange_->options.budget);
  request_written_ = false;
  write_error_.clear();
  byte_sent_ = false;
  byte_received_ = false;
  late_timer_deferred_ = false;
  reading_paused_ = false;
  discarded_bytes_ = 0;
  other_responses_ = 0;
  began_at_ = std::chrono::steady_clock::now();
  reused_ = phase_ == Phase::Idle;
  if (reused_) {
    sendRequest();
  } else {
    connect();
  }
}

void ClientConnection::connect() {
  phase_ = Phase::Connecting;
  boost::system::error_code error;
  const auto endpoint = parseEndpoint(address_, error);
  if (error) {
    asio::post(socket_.get_executor(), [self = shared_from_this(), error] { self->onConnected(error); });
    return;
  }
  armTimer(exchange_->options.connect_timeout);
  socket_.async_connect(endpoint, [self = shared_from_this()](boost::system::error_code failure) {
    self->onConnected(failure);
  });
}

void ClientConnection::onConnected(boost::system::error_code error) {
  if (phase_ != Phase::Connecting) return;
  if (error) return fail(error);
  opened_at_ = std::chrono::steady_clock::now();
  last_received_ = opened_at_;
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  enableKeepAliveProbes(socket_);
  read();
  sendRequest();
}

void ClientConnection::sendRequest() {
  phase_ = Phase::Busy;
  resetParser();
  idle_since_ = std::chrono::steady_clock::now();
  armTimer(exchange_->options.idle_timeout);
  byte_sent_ = true;  // The server may receive it before the write completes.
  const auto on_written = [self = shared_from_this(), exchange = exchange_](boost::system::error_code error,
                                                                            std::size_t bytes) {
    if (self->exchange_ != exchange) return;
    if (error && bytes == 0) self->byte_sent_ = false;
    self->request_written_ = !error;
    self->write_error_ = error;
    // The pending read ends the exchange: the server may have responded before it closed.
  };
  // The handler keeps the exchange, and with it the body, until the write has ended.
  const std::array buffers{asio::buffer(std::as_const(request_head_)),
                           asio::buffer(exchange_->request.body.text())};
  asio::async_write(socket_, buffers, on_written);
}

void ClientConnection::resetParser() {
  headers_delivered_ = false;
  head_bytes_ = 0;
  owner_ = ResponseOwner::this_request;
  read_deadline_.reset();
  parser_.emplace([this](std::string_view piece) { return consumeBody(piece); });
  parser_->header_limit(kHeaderBytes);
  parser_->setTrailerLimit(kHeaderBytes);
  parser_->body_limit(boost::none);
  if (exchange_->request.method == "HEAD") parser_->skip(true);
}

void ClientConnection::read() {
  reading_ = true;
  socket_.async_read_some(buffer_.prepare(kReadBytes),
                          [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
                            self->reading_ = false;
                            self->onRead(error, bytes);
                          });
}

/// Continues in a handler of its own, since the caller may be called while received bytes are parsed.
void ClientConnection::setReadingPaused(bool paused) {
  if (std::exchange(reading_paused_, paused) == paused || paused) return;
  idle_since_ = std::chrono::steady_clock::now();
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->phase_ == Phase::Busy && !self->reading_ && !self->reading_paused_) self->read();
  });
}

void ClientConnection::onRead(boost::system::error_code error, std::size_t bytes) {
  if (phase_ == Phase::Closed) return;
  buffer_.commit(bytes);
  if (phase_ == Phase::Idle) return closeAndNotify();  // Closed by the server, or unsolicited data.
  if (error == asio::error::eof && headers_delivered_ && !isDiscarding()) return onEndOfFile();
  if (error) return fail(error);
  idle_since_ = std::chrono::steady_clock::now();
  last_received_ = idle_since_;
  if (!std::exchange(byte_received_, true) && reused_) callbacks_.on_reused_response(this);
  parse();
  if (phase_ == Phase::Busy) {
    const bool too_large = exceedsDiscardLimit(bytes) || buffer_.size() > kMaxUnparsedBytes;
    if (too_large) return fail(make_error_code(ErrorCode::TooLarge));
    if (!holdReceived()) return fail(make_error_code(ErrorCode::Overloaded));
    const bool head_began = parser_->got_some() || buffer_.size() > 0;
    if (!headers_delivered_ && head_began && !read_deadline_) limitReading(kMaxHeadTime);
  }
  if (reading_) return;
  if (phase_ == Phase::Idle || (phase_ == Phase::Busy && !reading_paused_)) read();
}

/// The end of the connection completes a response without a length only if the connection was not reset. The
/// kernel reports a reset once: if a write receives it, the read after it ends as after an orderly close. The
/// handler of that write may be queued behind the one of the read.
void ClientConnection::onEndOfFile() {
  const bool write_pending = !request_written_ && !write_error_;
  if (!parser_->need_eof() || !write_pending) return endResponse();
  asio::post(socket_.get_executor(), [self = shared_from_this(), exchange = exchange_] {
    if (self->exchange_ == exchange) self->endResponse();
  });
}

void ClientConnection::endResponse() {
  if (parser_->need_eof() && mayHaveBeenReset()) return fail(write_error_);
  boost::system::error_code incomplete;
  parser_->put_eof(incomplete);
  if (incomplete) return fail(incomplete);
  complete(false);
}

/// @return false if the server closed its side first, which EPIPE tells: it need not read a request that it
/// has answered completely.
bool ClientConnection::mayHaveBeenReset() const {
  return write_error_ && write_error_ != std::errc::broken_pipe;
}

/// @param bytes that were read last.
bool ClientConnection::exceedsDiscardLimit(std::size_t bytes) {
  if (isDiscarding() || exchange_->discarded) discarded_bytes_ += bytes;
  return discarded_bytes_ > kMaxDiscardedBytes || other_responses_ > kMaxOtherResponses;
}

/// A small response is also received when the budget is used up.
/// @return whether the budget has room for what the exchange holds.
bool ClientConnection::holdReceived() {
  const bool is_large = buffer_.capacity() > 2 * kReadBytes;
  const std::size_t unparsed = is_large ? buffer_.capacity() : buffer_.size();
  const std::size_t bytes = unparsed + exchange_->response.body.size() + head_bytes_;
  if (bytes > kReadBytes && bytes > held_.bytes()) return held_.tryResize(bytes, 1);
  held_.resize(bytes);
  return true;
}

/// Unless what is being read is complete within the time, the exchange fails.
void ClientConnection::limitReading(Duration time) {
  read_deadline_ = std::chrono::steady_clock::now() + time;
  armTimer(std::min(time, exchange_->options.idle_timeout));
}

void ClientConnection::discardResponse() {
  exchange_->discarded = true;
  limitReading(kMaxDiscardTime);
  setReadingPaused(false);
}

void ClientConnection::parse() {
  const auto exchange = exchange_;
  while (buffer_.size() > 0 && other_responses_ <= kMaxOtherResponses) {
    if (!parser_->is_header_done() && hasFoldedField(bytesOf(buffer_))) return fail(ErrorCode::Malformed);
    boost::system::error_code error;
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (exchange->ended) return;
    if (error && error != beast::http::error::need_more) {
      return fail(parseFailure(error));
    }
    if (parser_->is_header_done() && !headers_delivered_) {
      deliverHeaders();
      if (exchange->ended || phase_ == Phase::Closed) return;
    }
    if (parser_->is_done() && isDiscarding()) {
      if (!parser_->keep_alive()) return fail(asio::error::make_error_code(asio::error::eof));
      resetParser();
      continue;
    }
    if (parser_->is_done()) return complete(isReusable());
    if (error || used == 0) return;
  }
}

bool ClientConnection::consumeBody(std::string_view piece) {
  if (!exchange_ || exchange_->ended || exchange_->discarded || isDiscarding()) return true;
  if (exchange_->callbacks.on_data) {
    exchange_->callbacks.on_data(piece);
    return true;
  }
  std::string& body = exchange_->response.body;
  if (body.size() + piece.size() > exchange_->options.body_bytes) return false;
  body += piece;
  return true;
}

void ClientConnection::deliverHeaders() {
  const auto exchange = exchange_;
  const auto status = parser_->status();
  if (status / 100 == 1) {  // Interim response; the final response follows.
    ++other_responses_;
    return resetParser();
  }
  headers_delivered_ = true;
  read_deadline_.reset();
  parser_->eager(true);
  Headers headers = parser_->takeHeaders();
  applyKeepAliveTimeout(headers);
  owner_ = responseOwner(status, headers);
  if (isDiscarding()) {
    ++other_responses_;
    return limitReading(kMaxDiscardTime);
  }
  // It may be a copy of the response to an earlier request.
  if (owner_ == ResponseOwner::not_stated && reused_) return fail(make_error_code(ErrorCode::Malformed));
  exchange->response.status = status;
  head_bytes_ = kHeadCopies * memoryOf(headers);
  exchange->response.headers = std::move(headers);
  if (!exchange->callbacks.on_data) limitReading(exchange->options.collect_timeout);
  if (exchange->callbacks.on_headers)
    exchange->callbacks.on_headers(status, exchange->response.headers, bodyFraming());
}

ResponseOwner ClientConnection::responseOwner(int status, const Headers& headers) const {
  const auto& owner_of = exchange_->callbacks.response_owner;
  return owner_of ? owner_of(status, headers) : ResponseOwner::this_request;
}

BodyFraming ClientConnection::bodyFraming() const {
  if (parser_->need_eof()) return BodyFraming::Close;
  return parser_->chunked() ? BodyFraming::Chunked : BodyFraming::Length;
}

/// Closes an idle connection before the server does if the server announces its timeout.
void ClientConnection::applyKeepAliveTimeout(const Headers& headers) {
  constexpr std::string_view kTimeout = "timeout=";
  const auto found = headers.find("Keep-Alive");
  if (found == headers.end()) return;
  const std::size_t start = found->second.find(kTimeout);
  if (start == std::string::npos) return;
  const char* const digits = found->second.data() + start + kTimeout.size();
  std::int64_t seconds = 0;
  const auto result = std::from_chars(digits, found->second.data() + found->second.size(), seconds);
  if (result.ec != std::errc() || seconds < 0) return;
  idle_lifetime_ =
      std::min(kIdleLifetime, std::chrono::duration_cast<Duration>(std::chrono::seconds(seconds)) * 4 / 5);
}

/// The server may send a response twice. The copy of one that states no request could not be told from the
/// response to the next request.
bool ClientConnection::isReusable() const {
  const bool identified = owner_ == ResponseOwner::this_request && !exchange_->options.own_connection;
  return parser_->keep_alive() && request_written_ && identified;
}

void ClientConnection::complete(bool reusable) {
  const auto exchange = std::exchange(exchange_, nullptr);
  const ByteReservation held = std::move(held_);  // Until the driver has read the response.
  if (reusable && buffer_.size() == 0) {
    phase_ = Phase::Idle;
    if (buffer_.capacity() > 2 * kReadBytes) buffer_.shrink_to_fit();  // No read is pending.
    armTimer(idle_lifetime_);
    callbacks_.on_idle(shared_from_this());
  } else {
    closeAndNotify();
  }
  callbacks_.on_end(exchange, {{}, SendState::SentOutcomeUnknown, false, {}});
}

std::optional<TimedOutExchange> ClientConnection::exchangeWithoutResponse() const {
  if (byte_received_ || !exchange_) return std::nullopt;
  const auto now = std::chrono::steady_clock::now();
  TimedOutExchange timed_out;
  timed_out.address = address_;
  timed_out.reused = reused_;
  timed_out.waited = std::chrono::duration_cast<Duration>(now - began_at_);
  const bool opened = opened_at_ != std::chrono::steady_clock::time_point{};
  if (opened) timed_out.connection_age = std::chrono::duration_cast<Duration>(now - opened_at_);
  return timed_out;
}

void ClientConnection::fail(std::error_code error) {
  Outcome outcome{error, byte_sent_ ? SendState::SentOutcomeUnknown : SendState::NotSent, false, {}};
  if (error == make_error_code(ErrorCode::DeadlineExceeded)) outcome.timed_out = exchangeWithoutResponse();
  const auto exchange = std::exchange(exchange_, nullptr);
  outcome.stale = closedWhileSending(error);
  closeAndNotify();
  callbacks_.on_end(exchange, outcome);
}

void ClientConnection::close() {
  phase_ = Phase::Closed;
  exchange_ = nullptr;
  held_.resize(0);
  boost::system::error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
}

void ClientConnection::closeAndNotify() {
  close();
  callbacks_.on_closed(this);
}

void ClientConnection::armTimer(Duration delay) {
  timer_.expires_after(delay);
  timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
    const bool due = !error && self->timer_.expiry() <= std::chrono::steady_clock::now();
    if (due && self->phase_ != Phase::Closed) self->onTimer();
  });
}

/// Only a close that races with the request is not a failure of the exchange. A later close, such as
/// keep-alive probes of the kernel failing after about 3 s on a silent connection, is reported to the caller:
/// otherwise a call held by the server for 2.5 s was retried with its full hold time, and the contact that it
/// confirms became 8 s old.
bool ClientConnection::closedWhileSending(std::error_code error) const {
  if (!reused_ || byte_received_ || error == make_error_code(ErrorCode::DeadlineExceeded)) return false;
  return std::chrono::steady_clock::now() - began_at_ < kCloseRaceWindow;
}

/// A timer that fires late shows that this process was delayed; the response may be unread in the socket
/// buffer.
bool ClientConnection::deferLateTimer() {
  if (std::chrono::steady_clock::now() - timer_.expiry() < kTimerDelayTolerance) return false;
  return !std::exchange(late_timer_deferred_, true);
}

void ClientConnection::onTimer() {
  if (phase_ == Phase::Idle) return closeAndNotify();
  if (deferLateTimer()) return armTimer(kTimerDelayTolerance);
  if (phase_ == Phase::Busy) {
    if (reading_paused_) idle_since_ = std::chrono::steady_clock::now();
    const auto idle_deadline = idle_since_ + exchange_->options.idle_timeout;
    const auto deadline = std::min(idle_deadline, read_deadline_.value_or(idle_deadline));
    const auto time_left = deadline - std::chrono::steady_clock::now();
    if (time_left.count() > 0) return armTimer(std::chrono::ceil<Duration>(time_left));
  }
  fail(make_error_code(ErrorCode::DeadlineExceeded));
}

}  // namespace crankspur::http
