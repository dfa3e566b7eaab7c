#pragma once
/// @file TCP proxy that injects faults into the connections between processes in tests, with an HTTP control
/// port.

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "http/server.h"
#include "standins/fault_proxy/fault_settings.h"

namespace crankspur::standin {

class ProxyRoute;

/// A listening port and the server that its connections are forwarded to.
struct RouteOptions {
  std::string name;
  std::string listen;  ///< "IP:port".
  std::string target;  ///< "IP:port".
};

/// Parses "NAME=LISTEN_PORT:IP:PORT".
/// @return the route, listening on 127.0.0.1; its name is empty when `text` is malformed.
RouteOptions parseRoute(const std::string& text);

/// The routes and their control server. `POST /control` accepts a ControlCommand; `GET /status` returns the
/// routes with their counters.
class FaultProxy {
public:
  /// @param seed seed of the random connection cuts.
  FaultProxy(boost::asio::any_io_executor executor, std::uint64_t seed);
  ~FaultProxy();

  std::error_code addRoute(const RouteOptions& options);
  /// @param address "IP:port" of the control server.
  std::error_code listenControl(const std::string& address);

  /// Applies a command to the route that it names, or to all routes.
  /// @return the number of routes changed.
  std::size_t apply(const ControlCommand& command);

  /// @return the listening ports of the routes, in the order of addRoute().
  std::vector<std::uint16_t> ports() const;
  std::uint16_t controlPort() const { return control_->port(); }

private:
  http::Response handle(const http::Request& request);
  http::Response control(const http::Request& request);
  http::Response status() const;

  boost::asio::any_io_executor executor_;
  std::uint64_t seed_;
  std::vector<std::shared_ptr<ProxyRoute>> routes_;
  std::unique_ptr<http::Server> control_;
};

}  // namespace crankspur::standin
