#include "standins/platform/platform_http.h"

#include <fmt/format.h>

#include <string_view>

#include "machine_list/machine_codec.h"
#include "table_service/table_codec.h"

namespace crankspur::standin {

namespace {

using DecodedCall = std::variant<PlatformCall, http::Response>;

constexpr std::string_view kObjectsPath = "/v1/objects/";
constexpr std::string_view kWeightsPath = "/v1/weights/";
constexpr double kUnavailableRetrySeconds = 1.0;

http::Response invalidRequest(int status, std::string_view message) {
  return http::errorResponse(status, "invalid_request", message, "not_run");
}

DecodedCall decodeReadRow(const http::Request& request) {
  const std::string key = request.query("key");
  if (key.empty()) {
    return invalidRequest(400, "the query has no key");
  }
  return ReadRow{key};
}

DecodedCall decodeTransactionCall(const http::Request& request) {
  std::optional<TableTransaction> transaction = decodeTransaction(request.body);
  if (!transaction) {
    return invalidRequest(400, "the body is no transaction");
  }
  return std::move(*transaction);
}

DecodedCall decodeObjectCall(const http::Request& request, const std::string& key) {
  if (request.method == "PUT") {
    return PutObject{key, request.body};
  }
  if (request.method == "GET") {
    return GetObject{key};
  }
  return invalidRequest(405, "objects are read with GET and written with PUT");
}

DecodedCall decodeLoadWeights(std::string_view rest) {
  const std::size_t slash = rest.find('/');
  if (slash == std::string_view::npos || slash == 0 || slash + 1 == rest.size()) {
    return invalidRequest(400, "the path must be /v1/weights/MODEL/VERSION");
  }
  return LoadWeights{std::string(rest.substr(0, slash)), std::string(rest.substr(slash + 1))};
}

std::string formatSeconds(Duration duration) {
  return fmt::format("{:.6f}", toSeconds(duration));
}

http::Response withRetryAfter(http::Response response, Duration retry_after) {
  response.headers["Retry-After"] = formatSeconds(retry_after);
  return response;
}

struct ResponseEncoder {
  http::Response operator()(const TableRow& row) const { return http::jsonResponse(200, encodeRow(row)); }
  http::Response operator()(const TransactionCommitted& committed) const {
    return http::jsonResponse(200, encodeCommitted(committed));
  }
  http::Response operator()(const TransactionConflict& conflict) const {
    return http::jsonResponse(409, encodeConflict(conflict));
  }
  http::Response operator()(const ObjectStored&) const { return http::jsonResponse(200, "{}"); }
  http::Response operator()(const ObjectFound& object) const {
    return {200, {{"Content-Type", "application/octet-stream"}}, object.body};
  }
  http::Response operator()(const NotFound&) const {
    return http::errorResponse(404, "not_found", "there is no such object", "not_run");
  }
  http::Response operator()(const WeightsTransfer& transfer) const {
    return http::jsonResponse(
        200, fmt::format(R"({{"bytes":{},"seconds":{}}})", transfer.bytes, formatSeconds(transfer.duration)));
  }
  http::Response operator()(const MachineList& list) const {
    return http::jsonResponse(200, encodeMachineList(list));
  }
  http::Response operator()(const TooManyCalls& rejected) const {
    return withRetryAfter(http::errorResponse(429, "rate_limited", "too many calls", "not_run"),
                          rejected.retry_after);
  }
  http::Response operator()(const ServiceDown&) const {
    const auto retry_after =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(kUnavailableRetrySeconds));
    return withRetryAfter(http::errorResponse(503, "unavailable", "the service is down", "not_run"),
                          retry_after);
  }
};

}  // namespace

DecodedCall decodePlatformCall(const http::Request& request) {
  const std::string path = request.path();
  if (path == "/v1/rows" && request.method == "GET") {
    return decodeReadRow(request);
  }
  if (path == "/v1/transactions" && request.method == "POST") {
    return decodeTransactionCall(request);
  }
  if (path.starts_with(kObjectsPath) && path.size() > kObjectsPath.size()) {
    return decodeObjectCall(request, path.substr(kObjectsPath.size()));
  }
  if (path.starts_with(kWeightsPath) && request.method == "GET") {
    return decodeLoadWeights(std::string_view(path).substr(kWeightsPath.size()));
  }
  if (path == "/v1/machines" && request.method == "GET") {
    return ListMachines{};
  }
  return http::errorResponse(404, "not_found", "there is no such call", "not_run");
}

http::Response encodePlatformResponse(const PlatformResponse& response) {
  return std::visit(ResponseEncoder{}, response);
}

}  // namespace crankspur::standin
