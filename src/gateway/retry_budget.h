#pragma once
/// @file Limits the retries of requests for one pool to this gateway's share of the budget of all gateways.

#include <array>
#include <cstdint>

#include "base/time.h"
#include "gateway/gateway_settings.h"

namespace crankspur::gateway {

/// Counts requests and retries of one pool over a sliding window that is divided into slices. Retries are
/// counted over the window and up to one slice more, requests over the window less up to one slice, so that
/// the budget holds for any window.
///
/// An earlier process of this gateway may have used the whole share before it ended. So the slack, which does
/// not depend on requests, is available from one window after the start of the process on.
class RetryBudget {
public:
  /// @param started_at when the process of the gateway started.
  RetryBudget(const RetryBudgetSettings& settings, TimePoint started_at)
      : settings_(settings), started_at_(started_at) {}
  /// Counts a client's request for the pool.
  void onRequest(TimePoint now);
  /// Consumes one retry of this gateway's share.
  /// @return false if the share is used up; nothing is consumed then.
  bool tryRetry(std::uint32_t share_divisor, TimePoint now);
  /// Counts a retry at the time at which it is sent, instead of the time at which it was consumed.
  void onSent(TimePoint consumed_at, TimePoint now);
  /// The retry was not sent.
  void undo(TimePoint consumed_at);
  /// @return retries that this gateway's share still allows; below 1: none.
  double left(std::uint32_t share_divisor, TimePoint now) const;

private:
  static constexpr std::size_t kSlices = 10;  ///< In one window.
  struct Slice {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };
  std::int64_t numberOf(TimePoint now) const;
  Slice& slice(TimePoint now);

  RetryBudgetSettings settings_;
  TimePoint started_at_{};
  std::array<Slice, kSlices + 1> slices_{};
};

}  // namespace crankspur::gateway
