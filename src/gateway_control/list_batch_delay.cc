#include "gateway_control/list_batch_delay.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

constexpr Duration kDelayPerGateway = std::chrono::milliseconds(25);
/// The remainder of the limit covers the call, one retry after a failure, and the publication.
constexpr double kMaxShareOfLimit = 0.5;

}  // namespace

Duration listBatchDelay(std::size_t gateways, Duration departure_limit) {
  const Duration max_delay(
      static_cast<Duration::rep>(static_cast<double>(departure_limit.count()) * kMaxShareOfLimit));
  return std::min(max_delay, kDelayPerGateway * static_cast<Duration::rep>(gateways));
}

}  // namespace crankspur::gateway
