#include "standins/fault_proxy/proxy_route.h"

#include "base/endpoint.h"

namespace crankspur::standin {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {
constexpr Duration kReopenRetryInterval = std::chrono::milliseconds(20);
}

ProxyRoute::ProxyRoute(const asio::any_io_executor& executor, std::string name, std::uint64_t seed)
    : name_(std::move(name)),
      state_(std::make_shared<RouteState>(RouteState{{}, RandomSource(seed)})),
      acceptor_(executor),
      reopen_timer_(executor) {}

std::error_code ProxyRoute::open(const RouteOptions& options) {
  boost::system::error_code error;
  listen_endpoint_ = parseEndpoint(options.listen, error);
  if (!error) target_ = parseEndpoint(options.target, error);
  if (!error) listen(error);
  return error;
}

void ProxyRoute::listen(boost::system::error_code& error) {
  acceptor_.open(listen_endpoint_.protocol(), error);
  if (!error) acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor_.bind(listen_endpoint_, error);
  if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (!error) listen_endpoint_ = acceptor_.local_endpoint(error);
  if (!error) return accept();
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

/// Listens again after the refuse fault is cleared. Retries while another socket still holds the port.
void ProxyRoute::reopen() {
  boost::system::error_code error;
  if (state_->settings.refuse || acceptor_.is_open()) return;
  listen(error);
  if (!error) return;
  reopen_timer_.expires_after(kReopenRetryInterval);
  reopen_timer_.async_wait([self = shared_from_this()](boost::system::error_code failure) {
    if (!failure) self->reopen();
  });
}

void ProxyRoute::accept() {
  acceptor_.async_accept([self = shared_from_this()](boost::system::error_code error, tcp::socket socket) {
    if (!self->acceptor_.is_open() || error == asio::error::operation_aborted) return;
    if (!error) {
      const auto on_closed = [weak = self->weak_from_this()](ProxiedConnection* closed) {
        if (const auto route = weak.lock()) route->connections_.erase(closed);
      };
      const auto connection = std::make_shared<ProxiedConnection>(std::move(socket), self->state_, on_closed);
      self->connections_[connection.get()] = connection;
      connection->start(self->target_);
    }
    self->accept();
  });
}

void ProxyRoute::apply(const ControlCommand& command) {
  command.applyTo(state_->settings);
  for (const auto& connection : openConnections()) {
    const bool goes_silent = command.silence_open > 0 && state_->random.chance(command.silence_open);
    if (goes_silent) connection->silence();
    if (command.cut_now) {
      connection->cut();
    } else {
      connection->settingsChanged();
    }
  }
  if (state_->settings.refuse) {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
  } else {
    reopen();
  }
}

void ProxyRoute::close() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  state_->settings.refuse = true;
  reopen_timer_.cancel();
  for (const auto& connection : openConnections()) connection->close();
}

std::vector<std::shared_ptr<ProxiedConnection>> ProxyRoute::openConnections() const {
  std::vector<std::shared_ptr<ProxiedConnection>> open;
  for (const auto& [key, connection] : connections_) open.push_back(connection);
  return open;
}

}  // namespace crankspur::standin
