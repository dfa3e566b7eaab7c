#include "base/byte_budget.h"

#include <utility>

namespace crankspur {

void ByteBudget::add(std::size_t bytes) {
  used_.fetch_add(bytes, std::memory_order_relaxed);
  if (whole_ != nullptr) whole_->add(bytes);
}

void ByteBudget::remove(std::size_t bytes) {
  used_.fetch_sub(bytes, std::memory_order_relaxed);
  if (whole_ != nullptr) whole_->remove(bytes);
}

bool ByteBudget::tryAdd(std::size_t bytes, double share) {
  const auto limit = static_cast<std::size_t>(share * double(limit_));
  std::size_t used = used_.load(std::memory_order_relaxed);
  do {
    if (used > limit || bytes > limit - used) return false;
  } while (!used_.compare_exchange_weak(used, used + bytes, std::memory_order_relaxed));
  if (whole_ == nullptr || whole_->tryAdd(bytes, share)) return true;
  used_.fetch_sub(bytes, std::memory_order_relaxed);
  return false;
}

ByteReservation::ByteReservation(ByteReservation&& other) noexcept
    : budget_(std::move(other.budget_)), bytes_(std::exchange(other.bytes_, 0)) {}

ByteReservation& ByteReservation::operator=(ByteReservation&& other) noexcept {
  if (this == &other) return *this;
  resize(0);
  budget_ = std::move(other.budget_);
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

void ByteReservation::resize(std::size_t bytes) {
  if (budget_ == nullptr) return;
  if (bytes > bytes_) budget_->add(bytes - bytes_);
  if (bytes < bytes_) budget_->remove(bytes_ - bytes);
  bytes_ = bytes;
}

bool ByteReservation::tryResize(std::size_t bytes, double share) {
  if (budget_ == nullptr || bytes <= bytes_) return true;
  if (!budget_->tryAdd(bytes - bytes_, share)) return false;
  bytes_ = bytes;
  return true;
}

}  // namespace crankspur
