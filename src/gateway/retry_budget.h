#pragma once
/// @file How often requests for one pool may be sent once more, within what all gateways together may do.

#include <array>
#include <cstdint>

#include "base/time.h"
#include "gateway/gateway_settings.h"

namespace crankspur::gateway {

/// Counts requests and repeats of one pool over a sliding window, in slices. Repeats are counted over a slice
/// more than the window, and requests over a slice less, so that any window keeps to the budget.
class RetryBudget {
public:
  explicit RetryBudget(const RetryBudgetSettings& settings) : settings_(settings) {}
  /// Counts a client's request for the pool.
  void onRequest(TimePoint now);
  /// Takes one repeat out of this gateway's share.
  /// @return false when the share is used up; nothing is taken then.
  bool tryRetry(std::uint32_t share_divisor, TimePoint now);
  /// @return repeats that this gateway's share still allows; below 1: none.
  double left(std::uint32_t share_divisor, TimePoint now) const;

private:
  static constexpr std::size_t kSlices = 10;  ///< In one window.
  struct Slice {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
  };
  std::int64_t numberOf(TimePoint now) const;
  Slice& slice(TimePoint now);

  RetryBudgetSettings settings_;
  std::array<Slice, kSlices + 1> slices_{};
};

}  // namespace crankspur::gateway
