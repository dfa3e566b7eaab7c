#pragma once
/// @file Lease with fencing token over a compare-and-set table row. Pure decision code.
/// Safety rests on the token, not on clocks: back ends refuse orders that carry a lower token than one they
/// saw, so a holder that was paused past its lease can do no harm.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"

namespace crankspur {

/// Content of the lease row.
struct LeaseRow {
  std::string holder;
  std::uint64_t token = 0;  ///< Grows by one with each change of holder.
  std::uint64_t renewal =
      0;  ///< Grows with each renewal, so that observers see life without comparing clocks.
  std::uint64_t row_version = 0;  ///< The table's version of the row; 0 when absent.
  /// The table service's clock when the holder sent this row, at the latest; 0: its clock is not known.
  std::uint64_t sent_ms = 0;
  /// Time since the holder sent this row, at least, as of the answer that brought it; empty: unknown. Not
  /// stored.
  std::optional<Duration> age = std::nullopt;
};

/// What the lease wants done with the table.
struct LeaseAction {
  enum class Kind { Read, CompareAndSet } kind = Kind::Read;
  LeaseRow write;  ///< For CompareAndSet.
  std::uint64_t expected_version = 0;
};

/// One contender for one lease.
class Lease {
public:
  virtual ~Lease() = default;
  /// @return the action due now, if any; one is outstanding at a time.
  virtual std::optional<LeaseAction> poll(TimePoint now) = 0;
  virtual void onRead(const LeaseRow& row, TimePoint now) = 0;
  virtual void onWritten(bool committed, const LeaseRow& row, TimePoint now) = 0;
  /// The table did not answer; whether the write took effect is unknown.
  virtual void onFailed(TimePoint now) = 0;
  /// @return the token while the lease is surely held at `now`, by the time the last renewal was *sent*.
  virtual std::optional<std::uint64_t> heldToken(TimePoint now) const = 0;
  virtual TimePoint nextTimer() const = 0;
};

std::unique_ptr<Lease> makeLease(std::string holder, Duration lifetime, std::uint64_t random_seed);

}  // namespace crankspur
