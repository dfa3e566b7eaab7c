#include "machine_list/machine_list_client.h"

#include <optional>

#include "machine_list/machine_codec.h"
#include "platform_service/single_flight.h"

namespace crankspur {

namespace {

constexpr int kOk = 200;

MachineListResult listResult(const ServiceAnswer& answer) {
  if (const auto* unavailable = std::get_if<ServiceUnavailable>(&answer)) {
    return *unavailable;
  }
  if (const auto* limited = std::get_if<ServiceRateLimited>(&answer)) {
    return *limited;
  }
  const http::Response& response = std::get<http::Response>(answer);
  std::optional<MachineList> list;
  if (response.status == kOk) {
    list = decodeMachineList(response.body);
  }
  if (!list) {
    return unusableAnswer();
  }
  return std::move(*list);
}

/// The one list there is, as a key of single flight.
enum class ListKey { Whole };

class HttpMachineListClient : public MachineListClient {
public:
  HttpMachineListClient(boost::asio::any_io_executor executor, http::Client& client, const Clock& clock,
                        ServiceOptions options)
      : caller_(std::move(executor), client, clock, std::move(options)) {}

  void fetch(std::function<void(const MachineListResult&)> done) override {
    if (!fetches_.join(ListKey::Whole, std::move(done))) {
      return;
    }
    http::Request request;
    request.target = "/v1/machines";
    caller_.call(std::move(request), [this](const ServiceAnswer& answer) {
      fetches_.finish(ListKey::Whole, listResult(answer));
    });
  }

private:
  SingleFlight<ListKey, MachineListResult> fetches_;
  ServiceCaller caller_;
};

}  // namespace

std::unique_ptr<MachineListClient> makeMachineListClient(boost::asio::any_io_executor executor,
                                                         http::Client& client, const Clock& clock,
                                                         ServiceOptions options) {
  return std::make_unique<HttpMachineListClient>(std::move(executor), client, clock, std::move(options));
}

}  // namespace crankspur
