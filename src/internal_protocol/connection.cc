#include "internal_protocol/connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstring>

#include "base/endpoint.h"
#include "internal_protocol/codec.h"
#include "internal_protocol/tcp_frame_connection.h"

namespace crankspur {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kReadBytes = std::size_t{64} * 1024;
constexpr int kUnacknowledgedMilliseconds = 10'000;  ///< A vanished machine is noticed after this time.

}  // namespace

TcpFrameConnection::TcpFrameConnection(asio::ip::tcp::socket socket, Hello hello, ConnectionLimits limits)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      hello_(std::move(hello)),
      limits_(limits),
      pending_(encodeFrame(hello_)) {}

std::shared_ptr<TcpFrameConnection> TcpFrameConnection::self() {
  return std::static_pointer_cast<TcpFrameConnection>(shared_from_this());
}

bool TcpFrameConnection::isEnding() const {
  return phase_ == Phase::Closing || phase_ == Phase::Closed;
}

void TcpFrameConnection::setCallbacks(Callbacks callbacks) {
  callbacks_ = std::move(callbacks);
}

std::string TcpFrameConnection::remoteAddress() const {
  return remote_address_;
}

void TcpFrameConnection::connect(const std::string& address) {
  remote_address_ = address;
  boost::system::error_code error;
  const auto endpoint = parseEndpoint(address, error);
  if (error) return end(error);
  setTimer(limits_.connect_timeout);
  socket_.async_connect(endpoint, [self = self()](boost::system::error_code failure) {
    if (self->phase_ == Phase::Closed) return;
    if (failure) return self->end(failure);
    self->start();
  });
}

void TcpFrameConnection::start() {
  setSocketOptions();
  if (phase_ == Phase::Connecting) phase_ = Phase::Greeting;
  setTimer(limits_.hello_timeout);
  read();
  scheduleWrite();
}

void TcpFrameConnection::setSocketOptions() {
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.set_option(asio::socket_base::keep_alive(true), ignored);
  ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedMilliseconds,
               sizeof(kUnacknowledgedMilliseconds));
  const auto remote = socket_.remote_endpoint(ignored);
  if (!ignored) remote_address_ = formatEndpoint(remote);
}

// Reading.

void TcpFrameConnection::makeRoom() {
  if (begin_ > 0) {
    std::memmove(buffer_.data(), buffer_.data() + begin_, end_ - begin_);
    end_ -= begin_;
    begin_ = 0;
  }
  if (buffer_.size() - end_ < kReadBytes) buffer_.resize(std::max(2 * buffer_.size(), end_ + kReadBytes));
}

void TcpFrameConnection::read() {
  makeRoom();
  socket_.async_read_some(
      asio::buffer(buffer_.data() + end_, buffer_.size() - end_),
      [self = self()](boost::system::error_code error, std::size_t bytes) { self->onRead(error, bytes); });
}

void TcpFrameConnection::onRead(boost::system::error_code error, std::size_t bytes) {
  if (phase_ == Phase::Closed) return;
  if (error) return end(phase_ == Phase::Closing ? close_reason_ : std::error_code(error));
  end_ += bytes;
  if (phase_ == Phase::Closing) {
    begin_ = end_;  // Nothing more is delivered; the read notices a peer that closes.
  } else {
    takeFrames();
  }
  if (phase_ != Phase::Closed) read();
}

void TcpFrameConnection::takeFrames() {
  while (!isEnding()) {
    DecodedFrame frame = decodeFrame(std::string_view(buffer_).substr(begin_, end_ - begin_));
    if (frame.error != ErrorCode::Ok) {
      return refuse(frame.error, "undecodable frame");
    }
    if (!frame.message) return;
    begin_ += frame.consumed;
    take(std::move(*frame.message));
  }
}

void TcpFrameConnection::take(Message message) {
  if (phase_ == Phase::Greeting) return takeHello(message);
  if (std::holds_alternative<Hello>(message)) {
    return refuse(ErrorCode::Malformed, "a second Hello");
  }
  if (callbacks_.on_message) callbacks_.on_message(std::move(message));
}

void TcpFrameConnection::takeHello(const Message& message) {
  const Hello* const peer = std::get_if<Hello>(&message);
  if (peer == nullptr) {
    return refuse(ErrorCode::Malformed, "a message before Hello");
  }
  const std::uint32_t agreed = std::min(hello_.highest_version, peer->highest_version);
  if (agreed < std::max(hello_.lowest_version, peer->lowest_version)) {
    return refuse(ErrorCode::VersionMismatch, "no common protocol version");
  }
  phase_ = Phase::Open;
  timer_.cancel();
  if (callbacks_.on_hello) callbacks_.on_hello(*peer);
}

void TcpFrameConnection::refuse(ErrorCode code, const std::string& reason) {
  send(ProtocolError{code, reason});
  close_reason_ = code;
  close(true);
}

// Writing.

void TcpFrameConnection::send(const Message& message) {
  if (isEnding()) return;
  const std::string frame = encodeFrame(message);
  const std::size_t queued = pending_.size() + writing_.size() + frame.size();
  const bool too_large = frame.size() > kMaxFrameBytes || queued > limits_.write_queue_bytes;
  if (too_large) return end(ErrorCode::TooLarge);
  pending_ += frame;
  scheduleWrite();
}

/// Posts the write, so that all frames queued in one turn of the event loop leave in one system call.
void TcpFrameConnection::scheduleWrite() {
  if (phase_ == Phase::Connecting || write_scheduled_ || !writing_.empty()) return;
  write_scheduled_ = true;
  asio::post(socket_.get_executor(), [self = self()] {
    self->write_scheduled_ = false;
    self->write();
  });
}

void TcpFrameConnection::write() {
  if (phase_ == Phase::Closed || !writing_.empty()) return;
  if (pending_.empty()) {
    if (phase_ == Phase::Closing) finishSending();
    return;
  }
  std::swap(writing_, pending_);
  asio::async_write(
      socket_, asio::buffer(writing_),
      [self = self()](boost::system::error_code error, std::size_t) { self->onWritten(error); });
}

/// Leaves the socket open for the peer to read the last frames; its end of stream, or the timer, ends it. An
/// immediate close with unread input would reset the connection and lose them.
void TcpFrameConnection::finishSending() {
  boost::system::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void TcpFrameConnection::onWritten(boost::system::error_code error) {
  if (phase_ == Phase::Closed) return;
  if (error) return end(phase_ == Phase::Closing ? close_reason_ : std::error_code(error));
  writing_.clear();
  write();
}

// Ends.

void TcpFrameConnection::close(bool flush) {
  if (isEnding()) return;
  if (!flush || phase_ == Phase::Connecting) return end(close_reason_);
  phase_ = Phase::Closing;
  setTimer(limits_.hello_timeout);
  scheduleWrite();
}

void TcpFrameConnection::setTimer(Duration delay) {
  timer_.expires_after(delay);
  timer_.async_wait([self = self()](boost::system::error_code error) {
    if (error || self->timer_.expiry() > std::chrono::steady_clock::now()) return;
    if (self->phase_ == Phase::Open) return;
    self->end(self->phase_ == Phase::Closing ? self->close_reason_
                                             : make_error_code(ErrorCode::DeadlineExceeded));
  });
}

/// Ends the connection. The report is posted, so that no caller of send() or close() is called back inside
/// it.
void TcpFrameConnection::end(std::error_code error) {
  if (phase_ == Phase::Closed) return;
  phase_ = Phase::Closed;
  timer_.cancel();
  boost::system::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  asio::post(socket_.get_executor(), [self = self(), error] { self->reportEnd(error); });
}

void TcpFrameConnection::reportEnd(std::error_code error) {
  const Callbacks callbacks = std::exchange(callbacks_, {});
  if (callbacks.on_closed) callbacks.on_closed(error);
}

std::shared_ptr<FrameConnection> connectFrames(const asio::any_io_executor& executor,
                                               const std::string& address, Hello hello,
                                               FrameConnection::Callbacks callbacks,
                                               ConnectionLimits limits) {
  const auto connection =
      std::make_shared<TcpFrameConnection>(asio::ip::tcp::socket(executor), std::move(hello), limits);
  connection->setCallbacks(std::move(callbacks));
  connection->connect(address);
  return connection;
}

}  // namespace crankspur
