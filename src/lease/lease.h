#pragma once
/// @file Lease with fencing token over a compare-and-set table row. Decision logic only, without I/O.
/// Safety depends on the token, not on clocks: back ends refuse orders with a lower token than the highest
/// they have received, so a holder that was paused beyond its lease can do no harm.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"

namespace crankspur {

/// Content of the lease row.
struct LeaseRow {
  std::string holder;
  std::uint64_t token = 0;  ///< Incremented with each change of holder.
  /// Incremented with each renewal, so that observers see that the holder is live without comparing clocks.
  std::uint64_t renewal = 0;
  std::uint64_t row_version = 0;  ///< The table's version of the row; 0 when absent.
  /// Upper bound of the table service's clock, in milliseconds, when the holder sent this row; 0: unknown.
  std::uint64_t sent_ms = 0;
  /// Lower bound of the time from when the holder sent this row to the response that returned it; empty:
  /// unknown. Not stored.
  std::optional<Duration> age = std::nullopt;
  /// Identifies the process that wrote this row; 0: unknown. No two writes of one process share a `renewal`.
  std::uint64_t writer = 0;
};

/// Operation on the table row that the lease requests from its caller.
struct LeaseAction {
  enum class Kind { Read, CompareAndSet } kind = Kind::Read;
  LeaseRow write;  ///< For CompareAndSet.
  std::uint64_t expected_version = 0;
};

/// One contender for one lease. Not thread-safe.
class Lease {
public:
  virtual ~Lease() = default;
  /// @return the operation that is due, if any. At most one is outstanding; its result is passed to onRead(),
  /// onWritten() or onFailed().
  virtual std::optional<LeaseAction> poll(TimePoint now) = 0;
  /// The row was read.
  virtual void onRead(const LeaseRow& row, TimePoint now) = 0;
  /// The compare-and-set completed.
  /// @param row the row as written, or the present row when the write was not committed.
  virtual void onWritten(bool committed, const LeaseRow& row, TimePoint now) = 0;
  /// The table did not respond; whether the write took effect is unknown.
  virtual void onFailed(TimePoint now) = 0;
  /// @return the token if the lease is certainly held at `now`. Validity counts from when the last confirmed
  /// write was sent, not from its response.
  virtual std::optional<std::uint64_t> heldToken(TimePoint now) const = 0;
  /// @return the write that releases the lease, if it is certainly held at `now`. The contender ends with it:
  /// poll() must not be called any more.
  virtual std::optional<LeaseAction> release(TimePoint now) const = 0;
  /// @return when poll() is due next; TimePoint::max() while an operation is outstanding.
  virtual TimePoint nextTimer() const = 0;
};

/// @param holder name of this contender, unique among the contenders.
/// @param lifetime how long the lease is valid after a write that acquired or renewed it was sent.
/// @param random_seed seed of the jitter. It must differ at each start of a contender, because writes of an
/// earlier process of the same holder may take effect late.
std::unique_ptr<Lease> makeLease(std::string holder, Duration lifetime, std::uint64_t random_seed);

}  // namespace crankspur
