#include "standins/kv_store/kv_store_server.h"

#include <utility>

#include "json/json_reader.h"

namespace crankspur::standin {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

}  // namespace

http::Response handleKvStoreRequest(const http::Request& request, KvStoreModel& model) {
  const std::string path = request.path();
  const bool is_put = path == "/v1/kv/put";
  const bool is_get = path == "/v1/kv/get" || path == "/v1/kv/export";
  if (request.method != "POST" || !(is_put || is_get)) {
    return http::errorResponse(kNotFound, "invalid_request", "no such call: " + path, "not_run");
  }
  JsonProblem problem;
  const auto object = parseJsonObject(request.body.text(), problem);
  std::vector<BlockHash> blocks;
  if (object) blocks = JsonReader(*object, problem).requireHashes("blocks");
  if (problem.found()) {
    return http::errorResponse(kBadRequest, "invalid_request", problem.text(), "not_run");
  }
  const std::uint32_t held = is_put ? model.put(blocks) : model.get(blocks);
  return http::jsonResponse(kOk, "{\"held\":" + std::to_string(held) +
                                     ",\"incarnation\":" + std::to_string(model.incarnation()) + "}");
}

std::unique_ptr<http::Server> serveKvStore(const boost::asio::any_io_executor& executor,
                                           const std::string& address, KvStoreModel& model,
                                           std::error_code& error) {
  return http::listen(
      executor, address,
      [&model](const http::Request& request, const std::shared_ptr<http::ResponseWriter>& writer) {
        writer->respond(handleKvStoreRequest(request, model));
      },
      error);
}

}  // namespace crankspur::standin
