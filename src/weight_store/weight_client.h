#pragma once
/// @file Client of the weight store. Callbacks run on the executor's thread, never from inside the call.

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "platform_service/service_caller.h"
#include "weight_store/weight_types.h"

namespace crankspur {

using WeightsResult = std::variant<WeightsTransfer, ServiceUnavailable, ServiceRateLimited>;

/// Calls the weight store. Destruction cancels pending calls without running their callbacks.
class WeightClient {
public:
  virtual ~WeightClient() = default;
  /// Starts a transfer. Model and version must be names that are valid in a bundle.
  virtual void load(const std::string& model, const std::string& weights_version,
                    std::function<void(WeightsResult)> done) = 0;
};

/// @param client and `clock` must outlive the weight client.
std::unique_ptr<WeightClient> makeWeightClient(boost::asio::any_io_executor executor, http::Client& client,
                                               const Clock& clock, ServiceOptions options);

}  // namespace crankspur
