#include "weight_store/weight_client.h"

#include <optional>

#include "json/json_fields.h"

namespace crankspur {

namespace {

constexpr int kOk = 200;
constexpr double kMaxTransferSeconds = 24 * 3600;

std::optional<WeightsTransfer> decodeTransfer(const std::string& text) {
  const std::optional<boost::json::object> object = parseJsonObject(text);
  if (!object) {
    return std::nullopt;
  }
  const auto bytes = unsignedField(*object, "bytes");
  const auto seconds = numberField(*object, "seconds");
  if (!bytes || !seconds || !(*seconds >= 0 && *seconds <= kMaxTransferSeconds)) {
    return std::nullopt;
  }
  return WeightsTransfer{*bytes, std::chrono::ceil<Duration>(std::chrono::duration<double>(*seconds))};
}

WeightsResult toWeightsResult(const ServiceResult& result) {
  if (const auto* unavailable = std::get_if<ServiceUnavailable>(&result)) {
    return *unavailable;
  }
  if (const auto* limited = std::get_if<ServiceRateLimited>(&result)) {
    return *limited;
  }
  const http::Response& response = std::get<http::Response>(result);
  std::optional<WeightsTransfer> transfer;
  if (response.status == kOk) {
    transfer = decodeTransfer(response.body);
  }
  if (!transfer) {
    return unusableResponse();
  }
  return *transfer;
}

class HttpWeightClient : public WeightClient {
public:
  HttpWeightClient(boost::asio::any_io_executor executor, http::Client& client, const Clock& clock,
                   ServiceOptions options)
      : caller_(std::move(executor), client, clock, std::move(options)) {}

  void load(const std::string& model, const std::string& weights_version,
            std::function<void(WeightsResult)> done) override {
    http::Request request;
    request.target = "/v1/weights/" + percentEncode(model) + "/" + percentEncode(weights_version);
    caller_.call(std::move(request),
                 [done = std::move(done)](const ServiceResult& result) { done(toWeightsResult(result)); });
  }

private:
  ServiceCaller caller_;
};

}  // namespace

std::unique_ptr<WeightClient> makeWeightClient(boost::asio::any_io_executor executor, http::Client& client,
                                               const Clock& clock, ServiceOptions options) {
  return std::make_unique<HttpWeightClient>(std::move(executor), client, clock, std::move(options));
}

}  // namespace crankspur
