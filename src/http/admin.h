#pragma once
/// @file Admin endpoints of routers and sidecars: /healthz, /metrics and paths registered by the process.

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "http/server.h"

namespace prometheus {
class Registry;
}

namespace crankspur::http {

/// Routes admin requests by path. Must be used on the executor thread of its server.
class AdminEndpoints {
public:
  /// Returns why the process is not serving, or an empty string when it is.
  using HealthCheck = std::function<std::string()>;

  /// @param registry the metrics exposed by /metrics.
  AdminEndpoints(std::shared_ptr<prometheus::Registry> registry, HealthCheck health_check);

  AdminEndpoints(const AdminEndpoints&) = delete;  // Its handlers capture `this`.
  AdminEndpoints& operator=(const AdminEndpoints&) = delete;

  /// Registers a path such as "/status". The handler may respond at once or keep the writer.
  void add(const std::string& path, RequestHandler handler);

  /// Sets a function that is called before /metrics reads the registry, for gauges computed on demand.
  void setMetricsRefresh(std::function<void()> refresh) { refresh_ = std::move(refresh); }

  /// Handles one request. Responds 404 for an unknown path and 405 for methods other than GET and HEAD.
  void handle(Request request, std::shared_ptr<ResponseWriter> writer) const;

private:
  Response health() const;
  Response metrics() const;

  std::shared_ptr<prometheus::Registry> registry_;
  HealthCheck health_;
  std::function<void()> refresh_;
  std::map<std::string, RequestHandler> handlers_;
};

/// Listens on "IP:port" for admin requests.
/// @return the server, or null with `error` set.
std::unique_ptr<Server> listenAdmin(const boost::asio::any_io_executor& executor, const std::string& address,
                                    std::shared_ptr<const AdminEndpoints> endpoints, std::error_code& error);

}  // namespace crankspur::http
