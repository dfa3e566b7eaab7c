#pragma once
/// @file One route of the fault proxy: its listening port and its connections.

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <unordered_map>

#include "standins/fault_proxy/fault_proxy.h"
#include "standins/fault_proxy/proxied_connection.h"

namespace crankspur::standin {

/// Accepts connections and owns the fault settings that they share.
class ProxyRoute : public std::enable_shared_from_this<ProxyRoute> {
public:
  ProxyRoute(const boost::asio::any_io_executor& executor, std::string name, std::uint64_t seed);

  std::error_code open(const RouteOptions& options);
  void apply(const ControlCommand& command);
  /// Closes the port and all connections.
  void close();

  const std::string& name() const { return name_; }
  std::uint16_t port() const { return listen_endpoint_.port(); }
  std::size_t connections() const { return connections_.size(); }
  const RouteState& state() const { return *state_; }

private:
  void listen(boost::system::error_code& error);
  void reopen();
  void accept();
  std::vector<std::shared_ptr<ProxiedConnection>> openConnections() const;

  std::string name_;
  std::shared_ptr<RouteState> state_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer reopen_timer_;
  boost::asio::ip::tcp::endpoint listen_endpoint_;
  boost::asio::ip::tcp::endpoint target_;
  std::unordered_map<ProxiedConnection*, std::shared_ptr<ProxiedConnection>> connections_;
};

}  // namespace crankspur::standin
