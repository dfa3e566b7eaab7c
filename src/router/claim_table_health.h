#pragma once
/// @file Whether the table service answers claims. While it does not, new claims are refused at once instead
/// of waiting for it, or granted by the claim group alone, except for a probe now and then.

#include "base/time.h"

namespace crankspur {

/// Circuit breaker over the outcomes of claim calls.
class ClaimTableHealth {
public:
  /// The table answered a call.
  void succeeded() { failures_ = 0; }
  /// A call had no answer.
  void failed() { ++failures_; }
  /// @return whether a new claim may be tried now.
  bool allow(TimePoint now);
  /// @return whether the table counts as down.
  bool down() const;

private:
  unsigned failures_ = 0;  ///< In a row.
  TimePoint next_probe_{};
};

}  // namespace crankspur
