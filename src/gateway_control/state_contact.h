#pragma once
/// @file The contact with the platform that vouches for one kind of state, such as the configuration. Control
/// thread only; the contacts that it hands out may be read by any thread.

#include <memory>
#include <utility>

#include "gateway/gateway_snapshot.h"

namespace crankspur::gateway {

/// Each state has a contact of its own. Traffic may hold an earlier state for some time after the platform
/// confirmed a newer one, and must not take that confirmation for one of the state that it holds.
class StateContact {
public:
  /// Nothing was received yet; the age counts from `now`.
  void start(TimePoint now) { current_ = std::make_shared<PlatformContact>(now); }

  /// The state changed: its earlier contact is not confirmed any more. The new state is known to have been
  /// current whenever the earlier one was.
  void onChanged() { current_ = std::make_shared<PlatformContact>(confirmedAt()); }

  /// The current state contains everything that the platform had accepted by `as_of`, which may be before
  /// start() if another gateway passed it on.
  /// @return whether this is the first confirmation.
  bool confirm(TimePoint as_of) {
    const bool first = !std::exchange(confirmed_, true);
    if (first) {
      current_ = std::make_shared<PlatformContact>(as_of);
    } else {
      current_->confirm(as_of);
    }
    return first;
  }

  bool isConfirmed() const { return confirmed_; }
  TimePoint confirmedAt() const { return current_->confirmedAt(); }
  std::shared_ptr<const PlatformContact> current() const { return current_; }

private:
  std::shared_ptr<PlatformContact> current_ = std::make_shared<PlatformContact>();
  bool confirmed_ = false;
};

}  // namespace crankspur::gateway
