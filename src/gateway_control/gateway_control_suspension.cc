/// @file What a gateway does when its machine wakes from a suspension.

#include <chrono>

#include "gateway_control/gateway_control.h"

namespace crankspur::gateway {
namespace {

/// A wake is noticed within this time; until then only what the clock itself tells is known of it.
constexpr Duration kSuspensionCheckInterval = std::chrono::milliseconds(250);

}  // namespace

/// What has run out during a suspension is judged by the clock at each act; this renews it. Traffic hears of
/// it by way of the platform's word on silent connections.
void GatewayControl::watchForSuspension() {
  const auto not_counting = std::chrono::steady_clock::now().time_since_epoch();
  const auto suspended =
      suspension_.onTick(now().time_since_epoch(), std::chrono::duration_cast<Duration>(not_counting));
  if (suspended) {
    log_.write(EventId::MachineSuspended, {{"for_ms", *suspended / std::chrono::milliseconds(1)}});
    platform_.onWake();
  }
  crashes_.onRunning(now());
  suspension_timer_.expires_after(kSuspensionCheckInterval);
  suspension_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) watchForSuspension();
  });
}

}  // namespace crankspur::gateway
