#pragma once
/// @file Limit of the bytes that a process holds for its callers. Each connection and request has limits of
/// its own; without this one their sum could exceed the memory of the process.

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

namespace crankspur {

/// Counts bytes against a limit. Thread-safe.
class ByteBudget {
public:
  /// @param limit in bytes.
  /// @param whole its bytes include those of this budget; null: this budget is no part of another.
  explicit ByteBudget(std::size_t limit, std::shared_ptr<ByteBudget> whole = nullptr)
      : limit_(limit), whole_(std::move(whole)) {}
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;

  std::size_t limit() const { return limit_; }
  std::size_t used() const { return used_.load(std::memory_order_relaxed); }
  /// @return whether more than `share` of the limit is used.
  /// @param share from 0 to 1.
  bool exceeds(double share) const { return double(used()) > share * double(limit_); }

private:
  friend class ByteReservation;
  void add(std::size_t bytes);
  void remove(std::size_t bytes);
  bool tryAdd(std::size_t bytes, double share);

  std::size_t limit_;
  std::shared_ptr<ByteBudget> whole_;
  std::atomic<std::size_t> used_ = 0;
};

/// Bytes of a budget that are released when this object is destroyed. Not thread-safe.
class ByteReservation {
public:
  /// Reserves nothing, of no budget.
  ByteReservation() = default;
  /// @param budget null: nothing is counted.
  explicit ByteReservation(std::shared_ptr<ByteBudget> budget) : budget_(std::move(budget)) {}
  ByteReservation(ByteReservation&& other) noexcept;
  ByteReservation& operator=(ByteReservation&& other) noexcept;
  ~ByteReservation() { resize(0); }

  std::size_t bytes() const { return bytes_; }
  /// Sets the number of bytes, also beyond the limit: for bytes that are held already.
  void resize(std::size_t bytes);
  /// Raises the number of bytes unless the budget, or the whole that it is a part of, would then use more
  /// than `share` of its limit.
  /// @return whether it was raised, or was as high before.
  bool tryResize(std::size_t bytes, double share);

private:
  std::shared_ptr<ByteBudget> budget_;
  std::size_t bytes_ = 0;
};

}  // namespace crankspur
