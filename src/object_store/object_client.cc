#include "object_store/object_client.h"

#include "platform_service/single_flight.h"

namespace crankspur {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;

GetObjectResult toGetResult(ServiceResult result) {
  if (const auto* unavailable = std::get_if<ServiceUnavailable>(&result)) {
    return *unavailable;
  }
  if (const auto* limited = std::get_if<ServiceRateLimited>(&result)) {
    return *limited;
  }
  http::Response& response = std::get<http::Response>(result);
  if (response.status == kOk) {
    return ObjectBody{std::move(response.body)};
  }
  if (response.status == kNotFound) {
    return ObjectNotFound{};
  }
  return unusableResponse();
}

PutObjectResult toPutResult(const ServiceResult& result) {
  if (const auto* unavailable = std::get_if<ServiceUnavailable>(&result)) {
    return *unavailable;
  }
  if (const auto* limited = std::get_if<ServiceRateLimited>(&result)) {
    return *limited;
  }
  if (std::get<http::Response>(result).status == kOk) {
    return ObjectWritten{};
  }
  return unusableResponse();
}

class HttpObjectClient : public ObjectClient {
public:
  HttpObjectClient(boost::asio::any_io_executor executor, http::Client& client, const Clock& clock,
                   ServiceOptions options)
      : caller_(std::move(executor), client, clock, std::move(options)) {}

  void get(const std::string& key, std::function<void(const GetObjectResult&)> done) override {
    if (!reads_.join(key, std::move(done))) {
      return;
    }
    http::Request request;
    request.target = "/v1/objects/" + key;
    caller_.call(std::move(request),
                 [this, key](ServiceResult result) { reads_.finish(key, toGetResult(std::move(result))); });
  }

  void put(const std::string& key, std::string body, std::function<void(PutObjectResult)> done) override {
    http::Request request;
    request.method = "PUT";
    request.target = "/v1/objects/" + key;
    request.headers["Content-Type"] = "application/octet-stream";
    request.body = std::move(body);
    caller_.call(std::move(request),
                 [done = std::move(done)](const ServiceResult& result) { done(toPutResult(result)); });
  }

private:
  SingleFlight<std::string, GetObjectResult> reads_;
  ServiceCaller caller_;
};

}  // namespace

std::unique_ptr<ObjectClient> makeObjectClient(boost::asio::any_io_executor executor, http::Client& client,
                                               const Clock& clock, ServiceOptions options) {
  return std::make_unique<HttpObjectClient>(std::move(executor), client, clock, std::move(options));
}

}  // namespace crankspur
