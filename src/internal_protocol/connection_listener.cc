#include <boost/asio/steady_timer.hpp>

#include "base/endpoint.h"
#include "internal_protocol/connection.h"
#include "internal_protocol/tcp_frame_connection.h"

namespace crankspur {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);

/// Accepts connections. Shared with the pending accept operation, so that the listener may be destroyed at
/// any time.
class FrameAcceptor : public std::enable_shared_from_this<FrameAcceptor> {
public:
  FrameAcceptor(const asio::any_io_executor& executor, std::function<Hello()> hello,
                FrameListener::AcceptHandler on_accept, ConnectionLimits limits)
      : acceptor_(executor),
        retry_timer_(executor),
        hello_(std::move(hello)),
        on_accept_(std::move(on_accept)),
        limits_(limits) {}

  void open(const tcp::endpoint& endpoint, boost::system::error_code& error) {
    acceptor_.open(endpoint.protocol(), error);
    if (!error) acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error) acceptor_.bind(endpoint, error);
    if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (!error) port_ = acceptor_.local_endpoint(error).port();
  }

  std::uint16_t port() const { return port_; }

  void close() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    retry_timer_.cancel();
  }

  void accept() {
    acceptor_.async_accept([self = shared_from_this()](boost::system::error_code error, tcp::socket socket) {
      if (!self->acceptor_.is_open()) return;
      if (error) return self->scheduleAcceptRetry();
      self->startConnection(std::move(socket));
      if (self->acceptor_.is_open()) self->accept();
    });
  }

private:
  void scheduleAcceptRetry() {
    retry_timer_.expires_after(kAcceptRetryDelay);
    retry_timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
      if (!error && self->acceptor_.is_open()) self->accept();
    });
  }

  void startConnection(tcp::socket socket) {
    const auto connection = std::make_shared<TcpFrameConnection>(std::move(socket), hello_(), limits_);
    connection->setCallbacks(on_accept_(connection));
    connection->start();
  }

  tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  std::function<Hello()> hello_;
  FrameListener::AcceptHandler on_accept_;
  ConnectionLimits limits_;
  std::uint16_t port_ = 0;
};

class TcpFrameListener : public FrameListener {
public:
  explicit TcpFrameListener(std::shared_ptr<FrameAcceptor> acceptor) : acceptor_(std::move(acceptor)) {}
  ~TcpFrameListener() override { acceptor_->close(); }
  std::uint16_t port() const override { return acceptor_->port(); }
  void stop() override { acceptor_->close(); }

private:
  std::shared_ptr<FrameAcceptor> acceptor_;
};

}  // namespace

std::unique_ptr<FrameListener> listenFrames(const asio::any_io_executor& executor, const std::string& address,
                                            std::function<Hello()> hello,
                                            FrameListener::AcceptHandler on_accept, std::error_code& error,
                                            ConnectionLimits limits) {
  boost::system::error_code failure;
  const tcp::endpoint endpoint = parseEndpoint(address, failure);
  const auto acceptor =
      std::make_shared<FrameAcceptor>(executor, std::move(hello), std::move(on_accept), limits);
  if (!failure) acceptor->open(endpoint, failure);
  error = failure;
  if (failure) return nullptr;
  acceptor->accept();
  return std::make_unique<TcpFrameListener>(acceptor);
}

}  // namespace crankspur
