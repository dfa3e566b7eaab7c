#pragma once
/// @file Availability of the table service for claims. While it is unavailable, new claims do not wait for
/// it: they are refused at once, or granted by the claim group alone. Only periodic probes are sent to it.

#include "base/time.h"

namespace crankspur {

/// Circuit breaker over the outcomes of claim calls. Not thread-safe.
class ClaimTableHealth {
public:
  /// The table responded to a call.
  void onSuccess() { failures_ = 0; }
  /// A call failed or received no response.
  void onFailure() { ++failures_; }
  /// @return whether a new claim may call the table now. While the table is down this permits one probe per
  /// interval.
  bool allow(TimePoint now);
  /// @return whether the table is considered unavailable.
  bool isDown() const;

private:
  unsigned failures_ = 0;  ///< Consecutive.
  TimePoint next_probe_{};
};

}  // namespace crankspur
