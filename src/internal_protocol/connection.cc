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
/// After this time without an acknowledgement the peer is considered lost.
constexpr int kTcpUserTimeoutMilliseconds = 10'000;

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

bool TcpFrameConnection::isClosing() const {
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
  if (error) return finish(error);
  setTimer(limits_.connect_timeout);
  socket_.async_connect(endpoint, [self = self()](boost::system::error_code failure) {
    if (self->phase_ == Phase::Closed) return;
    if (failure) return self->finish(failure);
    self->start();
  });
}

void TcpFrameConnection::start() {
  setSocketOptions();
  if (phase_ == Phase::Connecting) phase_ = Phase::AwaitingHello;
  setTimer(limits_.hello_timeout);
  read();
  scheduleWrite();
}

void TcpFrameConnection::setSocketOptions() {
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.set_option(asio::socket_base::keep_alive(true), ignored);
  ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMilliseconds,
               sizeof(kTcpUserTimeoutMilliseconds));
  const auto remote = socket_.remote_endpoint(ignored);
  if (!ignored) remote_address_ = formatEndpoint(remote);
}

// Reading.

void TcpFrameConnection::reserveReadSpace() {
  if (begin_ > 0) {
    std::memmove(buffer_.data(), buffer_.data() + begin_, end_ - begin_);
    end_ -= begin_;
    begin_ = 0;
  }
  if (buffer_.size() - end_ < kReadBytes) buffer_.resize(std::max(2 * buffer_.size(), end_ + kReadBytes));
}

void TcpFrameConnection::read() {
  reserveReadSpace();
  socket_.async_read_some(
      asio::buffer(buffer_.data() + end_, buffer_.size() - end_),
      [self = self()](boost::system::error_code error, std::size_t bytes) { self->onRead(error, bytes); });
}

void TcpFrameConnection::onRead(boost::system::error_code error, std::size_t bytes) {
  if (phase_ == Phase::Closed) return;
  if (error) return finish(phase_ == Phase::Closing ? close_reason_ : std::error_code(error));
  end_ += bytes;
  if (phase_ == Phase::Closing) {
    begin_ = end_;  // Input is discarded; the read only detects that the peer closes.
  } else {
    decodeFrames();
  }
  if (phase_ != Phase::Closed) read();
}

void TcpFrameConnection::decodeFrames() {
  while (!isClosing()) {
    DecodedFrame frame = decodeFrame(std::string_view(buffer_).substr(begin_, end_ - begin_));
    if (frame.error != ErrorCode::Ok) {
      return closeWithProtocolError(frame.error, "undecodable frame");
    }
    if (!frame.message) return;
    begin_ += frame.consumed;
    handleMessage(std::move(*frame.message));
  }
}

void TcpFrameConnection::handleMessage(Message message) {
  if (phase_ == Phase::AwaitingHello) return handleHello(message);
  if (std::holds_alternative<Hello>(message)) {
    return closeWithProtocolError(ErrorCode::Malformed, "a second Hello");
  }
  if (callbacks_.on_message) callbacks_.on_message(std::move(message));
}

void TcpFrameConnection::handleHello(const Message& message) {
  const Hello* const peer = std::get_if<Hello>(&message);
  if (peer == nullptr) {
    return closeWithProtocolError(ErrorCode::Malformed, "a message before Hello");
  }
  const std::uint32_t agreed = std::min(hello_.highest_version, peer->highest_version);
  if (agreed < std::max(hello_.lowest_version, peer->lowest_version)) {
    return closeWithProtocolError(ErrorCode::VersionMismatch, "no common protocol version");
  }
  phase_ = Phase::Open;
  timer_.cancel();
  if (callbacks_.on_hello) callbacks_.on_hello(*peer);
}

void TcpFrameConnection::closeWithProtocolError(ErrorCode code, const std::string& reason) {
  send(ProtocolError{code, reason});
  close_reason_ = code;
  close(true);
}

// Writing.

void TcpFrameConnection::send(const Message& message) {
  if (isClosing()) return;
  const std::string frame = encodeFrame(message);
  const std::size_t queued = pending_.size() + writing_.size() + frame.size();
  const bool too_large = frame.size() > kMaxFrameBytes || queued > limits_.write_queue_bytes;
  if (too_large) return finish(ErrorCode::TooLarge);
  pending_ += frame;
  scheduleWrite();
}

/// Posts the write, so that all frames queued in one iteration of the event loop are sent in one system call.
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
    if (phase_ == Phase::Closing) shutdownSend();
    return;
  }
  std::swap(writing_, pending_);
  asio::async_write(
      socket_, asio::buffer(writing_),
      [self = self()](boost::system::error_code error, std::size_t) { self->onWritten(error); });
}

/// Keeps the socket open until the peer has read the last frames: the peer's end of stream or the timer
/// closes it. An immediate close with unread input would reset the connection and lose these frames.
void TcpFrameConnection::shutdownSend() {
  boost::system::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void TcpFrameConnection::onWritten(boost::system::error_code error) {
  if (phase_ == Phase::Closed) return;
  if (error) return finish(phase_ == Phase::Closing ? close_reason_ : std::error_code(error));
  writing_.clear();
  write();
}

// Closing.

void TcpFrameConnection::close(bool flush) {
  if (isClosing()) return;
  if (!flush || phase_ == Phase::Connecting) return finish(close_reason_);
  phase_ = Phase::Closing;
  setTimer(limits_.hello_timeout);
  scheduleWrite();
}

void TcpFrameConnection::setTimer(Duration delay) {
  timer_.expires_after(delay);
  timer_.async_wait([self = self()](boost::system::error_code error) {
    if (error || self->timer_.expiry() > std::chrono::steady_clock::now()) return;
    if (self->phase_ == Phase::Open) return;
    self->finish(self->phase_ == Phase::Closing ? self->close_reason_
                                                : make_error_code(ErrorCode::DeadlineExceeded));
  });
}

/// Closes the socket. The notification is posted, so that callbacks never run inside send() or close().
void TcpFrameConnection::finish(std::error_code error) {
  if (phase_ == Phase::Closed) return;
  phase_ = Phase::Closed;
  timer_.cancel();
  boost::system::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  asio::post(socket_.get_executor(), [self = self(), error] { self->notifyClosed(error); });
}

void TcpFrameConnection::notifyClosed(std::error_code error) {
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
