#include "prefix_index/holder_pool.h"

#include <bit>

namespace crankspur {

std::uint32_t HolderPool::allocate(std::uint32_t capacity) {
  std::vector<std::uint32_t>& reusable = free_[static_cast<std::size_t>(std::countr_zero(capacity))];
  if (!reusable.empty()) {
    const std::uint32_t number = reusable.back();
    reusable.pop_back();
    return number;
  }
  if (chunk_used_ + capacity > kMaxArraySize) {
    chunks_.push_back(std::make_unique<Holder[]>(kMaxArraySize));
    chunk_used_ = 0;
  }
  const auto number = static_cast<std::uint32_t>((chunks_.size() - 1) * kMaxArraySize + chunk_used_);
  chunk_used_ += capacity;
  return number;
}

void HolderPool::release(std::uint32_t number, std::uint32_t capacity) {
  free_[static_cast<std::size_t>(std::countr_zero(capacity))].push_back(number);
}

std::size_t HolderPool::memoryBytes() const {
  std::size_t bytes = chunks_.size() * kMaxArraySize * sizeof(Holder);
  for (const std::vector<std::uint32_t>& reusable : free_) bytes += reusable.capacity() * sizeof(reusable[0]);
  return bytes;
}

}  // namespace crankspur
