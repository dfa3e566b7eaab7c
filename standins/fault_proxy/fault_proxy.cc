#include "standins/fault_proxy/fault_proxy.h"

#include <boost/json.hpp>

#include "base/error.h"
#include "standins/fault_proxy/proxy_route.h"

namespace crankspur::standin {

namespace {

http::Response invalidRequest(int status, std::string_view reason) {
  return http::errorResponse(status, errorName(ErrorCode::InvalidRequest), reason, "not_run");
}

boost::json::object routeToJson(const ProxyRoute& route) {
  boost::json::object json;
  json["name"] = route.name();
  json["port"] = route.port();
  json["connections"] = route.connections();
  json["bytes_to_server"] = route.state().bytes_to_server;
  json["bytes_to_client"] = route.state().bytes_to_client;
  json["cuts"] = route.state().cuts;
  return json;
}

}  // namespace

RouteOptions parseRoute(const std::string& text) {
  const std::size_t equals = text.find('=');
  const std::size_t colon = text.find(':', equals);
  if (equals == std::string::npos || colon == std::string::npos) return {};
  RouteOptions options;
  options.name = text.substr(0, equals);
  options.listen = "127.0.0.1:" + text.substr(equals + 1, colon - equals - 1);
  options.target = text.substr(colon + 1);
  return options;
}

FaultProxy::FaultProxy(boost::asio::any_io_executor executor, std::uint64_t seed)
    : executor_(std::move(executor)), seed_(seed) {}

FaultProxy::~FaultProxy() {
  for (const auto& route : routes_) route->close();
}

std::error_code FaultProxy::addRoute(const RouteOptions& options) {
  const auto route = std::make_shared<ProxyRoute>(executor_, options.name, seed_ + routes_.size());
  if (const std::error_code error = route->open(options)) return error;
  routes_.push_back(route);
  return {};
}

std::error_code FaultProxy::listenControl(const std::string& address) {
  std::error_code error;
  const auto on_request = [this](const http::Request& request,
                                 const std::shared_ptr<http::ResponseWriter>& writer) {
    writer->respond(handle(request));
  };
  control_ = http::listen(executor_, address, on_request, error);
  return error;
}

std::vector<std::uint16_t> FaultProxy::ports() const {
  std::vector<std::uint16_t> ports;
  for (const auto& route : routes_) ports.push_back(route->port());
  return ports;
}

http::Response FaultProxy::handle(const http::Request& request) {
  if (request.path() == "/control" && request.method == "POST") return control(request);
  if (request.path() == "/status" && request.method == "GET") return status();
  return invalidRequest(404, "POST /control or GET /status");
}

http::Response FaultProxy::control(const http::Request& request) {
  std::string reason;
  const std::optional<ControlCommand> command = parseControl(request.body, reason);
  if (!command) return invalidRequest(400, reason);
  if (apply(*command) == 0) return invalidRequest(404, "no such route");
  return status();
}

std::size_t FaultProxy::apply(const ControlCommand& command) {
  std::size_t applied = 0;
  for (const auto& route : routes_) {
    if (!command.route.empty() && command.route != route->name()) continue;
    route->apply(command);
    ++applied;
  }
  return applied;
}

http::Response FaultProxy::status() const {
  boost::json::array routes;
  for (const auto& route : routes_) routes.push_back(routeToJson(*route));
  return http::jsonResponse(200, boost::json::serialize(boost::json::object{{"routes", routes}}));
}

}  // namespace crankspur::standin
