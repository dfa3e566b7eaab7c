#include "http/client_connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

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
/// Shorter than the server's idle timeout, so that the client is first to give a connection up.
constexpr Duration kIdleLifetime = std::chrono::seconds(20);
/// A server's close of an idle connection and the next request on it cross on the way, for this long at most.
constexpr Duration kCloseCrossesRequest = std::chrono::milliseconds(500);
/// A timer that is this late finds bytes that came meanwhile; they are read before anything is given up.
constexpr Duration kLateTimer = std::chrono::milliseconds(50);

/// Lets the kernel notice within seconds that the other machine is gone; it would say nothing.
void probeWhenIdle(asio::ip::tcp::socket& socket) {
  constexpr int kSeconds = 1;
  constexpr int kProbes = 2;
  const int handle = socket.native_handle();
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &kSeconds, sizeof(kSeconds));
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &kSeconds, sizeof(kSeconds));
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof(kProbes));
}

std::string requestText(const Request& request, const std::string& address) {
  beast::http::request<beast::http::empty_body> message;
  message.method_string(request.method);
  message.target(request.target);
  message.version(11);
  message.set(beast::http::field::host, address);
  copyHeaders(request.headers, message);
  const bool carries_body = !request.body.empty() || (request.method != "GET" && request.method != "HEAD");
  if (carries_body) message.content_length(request.body.size());
  return headerText(message) + request.body;
}

}  // namespace

ClientConnection::ClientConnection(const asio::any_io_executor& executor, std::string address, Owner owner)
    : socket_(executor),
      timer_(executor),
      address_(std::move(address)),
      owner_(std::move(owner)),
      idle_lifetime_(kIdleLifetime) {}

void ClientConnection::run(std::shared_ptr<ExchangeState> exchange) {
  exchange_ = std::move(exchange);
  request_text_ = requestText(exchange_->request, address_);
  request_written_ = false;
  byte_sent_ = false;
  byte_received_ = false;
  fired_late_ = false;
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
  heard_at_ = opened_at_;
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  probeWhenIdle(socket_);
  read();
  sendRequest();
}

void ClientConnection::sendRequest() {
  phase_ = Phase::Busy;
  resetParser();
  last_byte_ = std::chrono::steady_clock::now();
  armTimer(exchange_->options.idle_timeout);
  byte_sent_ = true;  // The server may have it before the write is reported.
  const auto on_written = [self = shared_from_this(), exchange = exchange_](boost::system::error_code error,
                                                                            std::size_t bytes) {
    if (self->exchange_ != exchange) return;
    if (error && bytes == 0) self->byte_sent_ = false;
    self->request_written_ = !error;
    // A failed write is left to the pending read: the server may have answered before it closed.
  };
  asio::async_write(socket_, asio::buffer(request_text_), on_written);
}

void ClientConnection::resetParser() {
  headers_announced_ = false;
  discarding_ = false;
  parser_.emplace();
  parser_->header_limit(kHeaderBytes);
  parser_->body_limit(boost::none);
  if (exchange_->request.method == "HEAD") parser_->skip(true);
  parser_->get().body() = [this](std::string_view piece) { return consumeBody(piece); };
}

void ClientConnection::read() {
  socket_.async_read_some(buffer_.prepare(kReadBytes),
                          [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
                            self->onRead(error, bytes);
                          });
}

void ClientConnection::onRead(boost::system::error_code error, std::size_t bytes) {
  if (phase_ == Phase::Closed) return;
  buffer_.commit(bytes);
  if (phase_ == Phase::Idle) return shut();  // Closed by the server, or bytes that nobody asked for.
  if (error == asio::error::eof && headers_announced_ && !discarding_) {
    boost::system::error_code incomplete;
    parser_->put_eof(incomplete);
    return incomplete ? fail(incomplete) : complete(false);
  }
  if (error) return fail(error);
  last_byte_ = std::chrono::steady_clock::now();
  heard_at_ = last_byte_;
  if (!std::exchange(byte_received_, true) && reused_) owner_.on_answered_again(this);
  parse();
  if (phase_ == Phase::Busy || phase_ == Phase::Idle) read();
}

void ClientConnection::parse() {
  const auto exchange = exchange_;
  while (buffer_.size() > 0) {
    boost::system::error_code error;
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (exchange->ended) return;
    if (error && error != beast::http::error::need_more) {
      const bool too_large = error == beast::http::error::body_limit;
      return fail(too_large ? make_error_code(ErrorCode::TooLarge) : std::error_code(error));
    }
    if (parser_->is_header_done() && !headers_announced_) {
      announceHeaders();
      if (exchange->ended) return;
    }
    if (parser_->is_done() && discarding_) {
      if (!parser_->get().keep_alive()) return fail(asio::error::make_error_code(asio::error::eof));
      resetParser();
      continue;
    }
    if (parser_->is_done()) return complete(parser_->get().keep_alive() && request_written_);
    if (error || used == 0) return;
  }
}

bool ClientConnection::consumeBody(std::string_view piece) {
  if (!exchange_ || exchange_->ended || discarding_) return true;
  if (exchange_->callbacks.on_data) {
    exchange_->callbacks.on_data(piece);
    return true;
  }
  std::string& body = exchange_->response.body;
  if (body.size() + piece.size() > exchange_->options.body_bytes) return false;
  body += piece;
  return true;
}

void ClientConnection::announceHeaders() {
  const auto exchange = exchange_;
  const auto status = static_cast<int>(parser_->get().result_int());
  if (status / 100 == 1) return resetParser();  // An interim response; the real one follows.
  headers_announced_ = true;
  parser_->eager(true);
  Headers headers = readHeaders(parser_->get().base());
  keepAliveFor(headers);
  discarding_ = exchange->callbacks.is_own && !exchange->callbacks.is_own(status, headers);
  if (discarding_) return;
  exchange->response.status = status;
  exchange->response.headers = std::move(headers);
  if (exchange->callbacks.on_headers) exchange->callbacks.on_headers(status, exchange->response.headers);
}

/// Gives an idle connection up before the server does, as far as it says when.
void ClientConnection::keepAliveFor(const Headers& headers) {
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

void ClientConnection::complete(bool reusable) {
  const auto exchange = std::exchange(exchange_, nullptr);
  if (reusable && buffer_.size() == 0) {
    phase_ = Phase::Idle;
    armTimer(idle_lifetime_);
    owner_.on_idle(shared_from_this());
  } else {
    shut();
  }
  owner_.on_end(exchange, {{}, SendState::SentUnknown, false, {}});
}

std::optional<UnansweredExchange> ClientConnection::unanswered() const {
  if (byte_received_ || !exchange_) return std::nullopt;
  const auto now = std::chrono::steady_clock::now();
  UnansweredExchange unanswered;
  unanswered.address = address_;
  unanswered.reused = reused_;
  unanswered.waited = std::chrono::duration_cast<Duration>(now - began_at_);
  const bool opened = opened_at_ != std::chrono::steady_clock::time_point{};
  if (opened) unanswered.connection_age = std::chrono::duration_cast<Duration>(now - opened_at_);
  return unanswered;
}

void ClientConnection::fail(std::error_code error) {
  Outcome outcome{error, byte_sent_ ? SendState::SentUnknown : SendState::NotSent, false, {}};
  if (error == make_error_code(ErrorCode::DeadlineExceeded)) outcome.unanswered = unanswered();
  const auto exchange = std::exchange(exchange_, nullptr);
  outcome.stale = closedAsItWasSent(error);
  shut();
  owner_.on_end(exchange, outcome);
}

void ClientConnection::close() {
  phase_ = Phase::Closed;
  exchange_ = nullptr;
  boost::system::error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
}

void ClientConnection::shut() {
  close();
  owner_.on_closed(this);
}

void ClientConnection::armTimer(Duration delay) {
  timer_.expires_after(delay);
  timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
    const bool due = !error && self->timer_.expiry() <= std::chrono::steady_clock::now();
    if (due && self->phase_ != Phase::Closed) self->onTimer();
  });
}

/// Only a close that crossed the request is no failure of the exchange. One that comes later, such as the
/// kernel's own notice of a silent connection after some 3 s, is the caller's to judge: a call that is held
/// for 2.5 s was made anew with its whole hold, and the contact that it vouches for became 8 s old.
bool ClientConnection::closedAsItWasSent(std::error_code error) const {
  if (!reused_ || byte_received_ || error == make_error_code(ErrorCode::DeadlineExceeded)) return false;
  return std::chrono::steady_clock::now() - began_at_ < kCloseCrossesRequest;
}

/// A timer that fires late says that this process was held up: the answer may lie in the socket, unread.
bool ClientConnection::firesLate() {
  if (std::chrono::steady_clock::now() - timer_.expiry() < kLateTimer) return false;
  return !std::exchange(fired_late_, true);
}

void ClientConnection::onTimer() {
  if (phase_ == Phase::Idle) return shut();
  if (firesLate()) return armTimer(kLateTimer);
  if (phase_ == Phase::Busy) {
    const auto quiet = std::chrono::steady_clock::now() - last_byte_;
    const Duration limit = exchange_->options.idle_timeout;
    if (quiet < limit) return armTimer(std::chrono::ceil<Duration>(limit - quiet));
  }
  fail(make_error_code(ErrorCode::DeadlineExceeded));
}

}  // namespace crankspur::http
