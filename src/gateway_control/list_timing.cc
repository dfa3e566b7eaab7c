#include "gateway_control/list_timing.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

constexpr Duration kDelayPerGateway = std::chrono::milliseconds(25);
/// The remainder of the limit covers the call, one retry after a failure, and the publication.
constexpr double kMaxShareOfLimit = 0.5;
/// Part of the limit for a call on a new connection, one packet lost, the publication and the way to the back
/// end.
constexpr Duration kReadReserve = std::chrono::milliseconds(500);
/// A shorter wait would poll the platform.
constexpr Duration kMinListWait = std::chrono::milliseconds(100);

Duration maxShareOf(Duration limit) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(limit.count()) * kMaxShareOfLimit));
}

}  // namespace

Duration listBatchDelay(std::size_t gateways, Duration departure_limit) {
  return std::min(maxShareOf(departure_limit), kDelayPerGateway * static_cast<Duration::rep>(gateways));
}

Duration listWait(Duration departure_limit, Duration late_threshold) {
  const Duration wait =
      std::min(maxShareOf(departure_limit), departure_limit - late_threshold - kReadReserve);
  return std::max(wait, kMinListWait);
}

}  // namespace crankspur::gateway
