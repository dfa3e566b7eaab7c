#pragma once
/// @file TCP proxy that puts faults between processes in tests, with an HTTP control port.

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

/// A port and where its connections lead.
struct RouteOptions {
  std::string name;
  std::string listen;  ///< "IP:port".
  std::string target;  ///< "IP:port".
};

/// @return the route of "NAME=LISTEN_PORT:IP:PORT", listening on 127.0.0.1, or a nameless one when `text` is
/// no such thing.
RouteOptions parseRoute(const std::string& text);

/// Routes and their control. `POST /control` takes a ControlCommand; `GET /status` shows routes and counts.
class FaultProxy {
public:
  /// @param seed of the random cuts.
  FaultProxy(boost::asio::any_io_executor executor, std::uint64_t seed);
  ~FaultProxy();

  /// Opens a route.
  std::error_code addRoute(const RouteOptions& options);
  /// Opens the control port at "IP:port".
  std::error_code listenControl(const std::string& address);

  /// Applies a command to the routes that it names.
  /// @return how many these are.
  std::size_t apply(const ControlCommand& command);

  /// @return the ports of the routes in the order they were added.
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
