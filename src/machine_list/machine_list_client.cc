#include "machine_list/machine_list_client.h"

#include <optional>

#include "machine_list/machine_codec.h"
#include "platform_service/single_flight.h"

namespace crankspur {

namespace {

constexpr int kOk = 200;

MachineListResult toMachineListResult(const ServiceResult& result) {
  if (const auto* unavailable = std::get_if<ServiceUnavailable>(&result)) {
    return *unavailable;
  }
  if (const auto* limited = std::get_if<ServiceRateLimited>(&result)) {
    return *limited;
  }
  const http::Response& response = std::get<http::Response>(result);
  std::optional<MachineList> list;
  if (response.status == kOk) {
    list = decodeMachineList(response.body);
  }
  if (!list) {
    return unusableResponse();
  }
  return std::move(*list);
}

/// Key of the only value that this client fetches.
enum class FetchKey { MachineList };

class HttpMachineListClient : public MachineListClient {
public:
  HttpMachineListClient(boost::asio::any_io_executor executor, http::Client& client, const Clock& clock,
                        ServiceOptions options)
      : caller_(std::move(executor), client, clock, std::move(options)) {}

  void fetch(std::function<void(const MachineListResult&)> done) override {
    if (!fetches_.join(FetchKey::MachineList, std::move(done))) {
      return;
    }
    http::Request request;
    request.target = "/v1/machines";
    caller_.call(std::move(request), [this](const ServiceResult& result) {
      fetches_.finish(FetchKey::MachineList, toMachineListResult(result));
    });
  }

private:
  SingleFlight<FetchKey, MachineListResult> fetches_;
  ServiceCaller caller_;
};

}  // namespace

std::unique_ptr<MachineListClient> makeMachineListClient(boost::asio::any_io_executor executor,
                                                         http::Client& client, const Clock& clock,
                                                         ServiceOptions options) {
  return std::make_unique<HttpMachineListClient>(std::move(executor), client, clock, std::move(options));
}

}  // namespace crankspur
