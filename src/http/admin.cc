#include "http/admin.h"

#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <boost/json.hpp>

#include "base/error.h"

namespace crankspur::http {

namespace {

constexpr std::size_t kAdminConnections = 64;
constexpr std::size_t kAdminBodyBytes = std::size_t{64} * 1024;

}  // namespace

AdminEndpoints::AdminEndpoints(std::shared_ptr<prometheus::Registry> registry, HealthCheck health_check)
    : registry_(std::move(registry)), health_(std::move(health_check)) {
  add("/healthz",
      [this](const Request&, const std::shared_ptr<ResponseWriter>& writer) { writer->respond(health()); });
  add("/metrics",
      [this](const Request&, const std::shared_ptr<ResponseWriter>& writer) { writer->respond(metrics()); });
}

void AdminEndpoints::add(const std::string& path, RequestHandler handler) {
  handlers_[path] = std::move(handler);
}

void AdminEndpoints::handle(Request request, std::shared_ptr<ResponseWriter> writer) const {
  const char* const code = errorName(ErrorCode::InvalidRequest);
  const auto found = handlers_.find(request.path());
  if (found == handlers_.end()) {
    return writer->respond(errorResponse(404, code, "no such path", "not_run"));
  }
  if (request.method != "GET" && request.method != "HEAD") {
    return writer->respond(errorResponse(405, code, "only GET and HEAD are allowed here", "not_run"));
  }
  found->second(std::move(request), std::move(writer));
}

Response AdminEndpoints::health() const {
  const std::string reason = health_();
  const bool serving = reason.empty();
  boost::json::object body;
  body["status"] = serving ? "serving" : "not_serving";
  if (!serving) body["reason"] = reason;
  return jsonResponse(serving ? 200 : 503, boost::json::serialize(body));
}

Response AdminEndpoints::metrics() const {
  if (refresh_) refresh_();
  Response response;
  response.headers["Content-Type"] = "text/plain; version=0.0.4; charset=utf-8";
  response.body = prometheus::TextSerializer().Serialize(registry_->Collect());
  return response;
}

std::unique_ptr<Server> listenAdmin(const boost::asio::any_io_executor& executor, const std::string& address,
                                    std::shared_ptr<const AdminEndpoints> endpoints, std::error_code& error) {
  ServerLimits limits;
  limits.connections = kAdminConnections;
  limits.body_bytes = kAdminBodyBytes;
  const auto handler = [endpoints = std::move(endpoints)](Request request,
                                                          std::shared_ptr<ResponseWriter> writer) {
    endpoints->handle(std::move(request), std::move(writer));
  };
  return listen(executor, address, handler, error, limits);
}

}  // namespace crankspur::http
