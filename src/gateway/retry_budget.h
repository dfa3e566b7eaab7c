#pragma once
/// @file Limits the retries of requests for one pool to this gateway's part of the budget of all gateways.

#include <array>
#include <cstdint>

#include "base/time.h"
#include "gateway/gateway_settings.h"

namespace crankspur::gateway {

/// Counts requests and retries of one pool in slices of a window.
///
/// The budget holds for the sum over all gateways, in each window wherever it begins. So the retries of a
/// gateway in a window are limited by half of the ratio times the requests that it received in this window
/// and in the one before. Such limits add up over all gateways and their processes: a request counts once,
/// wherever callers send the next one and however long the process lives. The larger of two counts of
/// requests, or the requests of one window alone, would not add up: callers that move would be counted at the
/// gateway that they left and at the one that they use.
///
/// A back end has received a request twice when both dispatches have arrived. If the first one was sent on a
/// connection that has gone silent, it may arrive after the second one, once the path works again. Such a
/// retry counts in the window after its own too.
class RetryBudget {
public:
  /// Where the dispatch is that a retry repeats.
  enum class Original {
    ended,        ///< It arrived before, or never does.
    may_be_late,  ///< It may arrive later.
  };
  explicit RetryBudget(const RetryBudgetSettings& settings) : settings_(settings) {}
  /// Counts a client's request for the pool.
  void onRequest(TimePoint now);
  /// Reserves a retry. It counts as sent now until onSent() or release().
  /// @param slack retries that the gateway may send in a window whatever it receives.
  /// @return false if the budget is used up; nothing is reserved then.
  bool tryReserve(double slack, TimePoint now);
  /// The reserved retry is sent.
  void onSent(Original original, TimePoint now);
  /// The reserved retry is not sent.
  void release();
  /// @return retries that the budget still allows; below 1: none.
  double left(double slack, TimePoint now) const;

private:
  static constexpr std::int64_t kSlices = 20;                   ///< In one window.
  static constexpr std::int64_t kKeptSlices = 2 * kSlices + 1;  ///< Two windows, and the current slice.
  /// Retries arrive at most so many slices after they are sent: as long as a connection may take to open.
  static constexpr std::int64_t kArrivalSlices = 1;
  struct Slice {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
    std::uint32_t late_retries = 0;  ///< Those of them whose original may be late.
  };
  /// Sums over the slices from the oldest kept one up to each one.
  struct Sums {
    std::array<double, kKeptSlices + 1> requests{};
    std::array<double, kKeptSlices + 1> retries{};
    std::array<double, kKeptSlices + 1> late_retries{};
  };
  std::int64_t numberOf(TimePoint now) const;
  Slice& slice(TimePoint now);
  Sums sumsUntil(std::int64_t current) const;

  RetryBudgetSettings settings_;
  std::uint32_t reserved_ = 0;
  std::array<Slice, kKeptSlices> slices_{};
};

}  // namespace crankspur::gateway
