/// @file Detects that the machine was suspended and resumed, and renews the state that expired meanwhile.

#include <chrono>

#include "gateway_control/gateway_control.h"

namespace crankspur::gateway {
namespace {

/// A resume is detected within this time; until then it shows only in the clock.
constexpr Duration kSuspensionCheckInterval = std::chrono::milliseconds(250);

}  // namespace

/// State that expired during a suspension is recognized by the clock whenever it is used; this function
/// renews it. Traffic is notified through the platform's on_connections_silent callback.
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
