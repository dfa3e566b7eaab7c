#pragma once
/// @file Decides which request bodies may be read while the bytes that a process may hold are short. Decision
/// logic only, without I/O; docs/design/0022-bytes-held-for-callers.md has what was weighed.

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "base/byte_budget.h"
#include "base/time.h"

namespace crankspur::http {

/// Identifies a body that is being read.
using BodyId = std::uint64_t;

/// Whether a body may be read.
enum class BodyDecision {
  Admitted,  ///< Its bytes are reserved; it can be read to its end.
  Waiting,   ///< Not now. A later poll() admits or refuses it.
  Refused,   ///< It cannot be held.
};

/// What became of bodies since the last poll.
struct BodyOutcomes {
  std::vector<BodyId> admitted;  ///< Waited before.
  std::vector<BodyId> refused;   ///< Waited for too long.
  std::vector<BodyId> evicted;   ///< Were admitted and arrived too slowly while others waited.
};

/// Admits bodies in the order of their arrival. An admitted body has all its bytes reserved, so that bodies
/// that are being read cannot prevent each other from being complete. Not thread-safe.
class BodyAdmission {
public:
  /// Bodies up to this size are admitted without waiting while the budget has any room.
  static constexpr std::size_t kSmallBytes = std::size_t{16} * 1024;
  /// Larger bodies may use the budget up to this share; the rest is for small ones and for responses.
  static constexpr double kLargeShare = 0.75;
  /// Share of the budget for large bodies of clients that no key identifies, all together, until their
  /// requests end.
  static constexpr double kUnidentifiedShare = 0.25;
  /// A client would rather go to another gateway than wait for longer.
  static constexpr Duration kMaxWait = std::chrono::seconds(1);
  /// An admitted body that received less than kMinBytesPerSecond over this time arrives too slowly.
  static constexpr Duration kProgressPeriod = std::chrono::milliseconds(500);
  static constexpr double kMinBytesPerSecond = 32.0 * 1024;

  explicit BodyAdmission(std::shared_ptr<ByteBudget> budget);

  /// A body is about to be read.
  /// @param bytes its declared size, or what is reserved first if none is declared.
  /// @param identified a valid key came with the request.
  BodyDecision request(BodyId id, std::size_t bytes, bool identified, TimePoint now);
  /// More bytes than reserved are expected of a body without a declared size.
  /// @return whether they are reserved; otherwise the body has to be refused.
  bool grow(BodyId id, std::size_t bytes);
  /// Bytes of an admitted body were received.
  /// @param total since its beginning.
  void onReceived(BodyId id, std::size_t total, TimePoint now);
  /// The body is complete, or is not read further.
  /// @return its reservation.
  ByteReservation remove(BodyId id);
  /// Admits, refuses and evicts. To be called every kPollInterval while hasWaiting().
  BodyOutcomes poll(TimePoint now);
  bool hasWaiting() const { return !waiting_.empty(); }
  std::size_t waiting() const { return waiting_.size(); }

  static constexpr Duration kPollInterval = std::chrono::milliseconds(50);

private:
  struct Waiting {
    std::size_t bytes = 0;
    bool identified = false;
    TimePoint since{};
  };
  struct Admitted {
    ByteReservation held;
    bool identified = false;
    std::size_t received = 0;
    std::size_t received_before = 0;  ///< At `period_began`.
    TimePoint period_began{};
  };

  bool tryAdmit(BodyId id, std::size_t bytes, bool identified, TimePoint now);
  bool hasWaiting(bool identified) const;
  /// @return the share of budgetOf(identified) that large bodies may use.
  static double shareOf(bool identified) { return identified ? kLargeShare : 1; }
  const std::shared_ptr<ByteBudget>& budgetOf(bool identified) const {
    return identified ? budget_ : unidentified_budget_;
  }
  void refuseExpired(BodyOutcomes& outcomes, TimePoint now);
  void admitInOrder(BodyOutcomes& outcomes, TimePoint now);
  void evictSlowest(BodyOutcomes& outcomes, TimePoint now);
  static void beginPeriod(Admitted& body, TimePoint now);
  static bool isSlow(const Admitted& body, TimePoint now);

  std::shared_ptr<ByteBudget> budget_;
  std::shared_ptr<ByteBudget> unidentified_budget_;  ///< Part of `budget_`.
  std::map<BodyId, Waiting> waiting_;  ///< In the order of their ids, which is that of their arrival.
  std::map<BodyId, Admitted> admitted_;
};

}  // namespace crankspur::http
