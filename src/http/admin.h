#pragma once
/// @file The admin endpoints of routers and sidecars: /healthz, /metrics and paths that the process adds.

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "http/server.h"

namespace prometheus {
class Registry;
}

namespace crankspur::http {

/// Routes admin requests by path. Use it on the executor thread of the server that it answers for.
class AdminEndpoints {
public:
  /// Returns why the process does not serve, or an empty string when it does.
  using HealthCheck = std::function<std::string()>;

  /// @param registry the metrics that /metrics shows.
  AdminEndpoints(std::shared_ptr<prometheus::Registry> registry, HealthCheck health_check);

  AdminEndpoints(const AdminEndpoints&) = delete;  // Its own handlers point to it.
  AdminEndpoints& operator=(const AdminEndpoints&) = delete;

  /// Adds a path such as "/status". The handler may answer at once or keep the writer.
  void add(const std::string& path, RequestHandler handler);

  /// Sets a function called before /metrics reads the registry, for gauges that are read when asked for.
  void beforeMetrics(std::function<void()> refresh) { refresh_ = std::move(refresh); }

  /// Answers one request: 404 for an unknown path, 405 for other methods than GET and HEAD.
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
/// @return the server, or empty with `error` set.
std::unique_ptr<Server> listenAdmin(const boost::asio::any_io_executor& executor, const std::string& address,
                                    std::shared_ptr<const AdminEndpoints> endpoints, std::error_code& error);

}  // namespace crankspur::http
