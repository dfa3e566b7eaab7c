#pragma once
/// @file Memory pool for the holders of blocks that several engines hold: arrays of 2, 4, 8 ... holders, cut
/// from chunks and reused by size class.

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

#include "prefix_index/prefix_index.h"

namespace crankspur {

/// An engine that holds a block.
struct Holder {
  EngineSlot engine = 0;
  std::uint16_t generation = 0;           ///< Generation of the engine slot to which the entry belongs.
  std::uint32_t optimistic : 1 = 0;       ///< 1 until an event, a digest or a response confirms it.
  std::uint32_t confirmed_tick : 31 = 0;  ///< When it was last recorded or confirmed.
};
static_assert(sizeof(Holder) == 8);

/// Allocates arrays of holders whose sizes are powers of two.
class HolderPool {
public:
  /// Number of holders in the largest array, and in a chunk.
  static constexpr std::uint32_t kMaxArraySize = 4096;

  /// @param capacity a power of two from 2 to kMaxArraySize.
  /// @return the number that identifies an array of that many holders; its contents are unspecified.
  std::uint32_t allocate(std::uint32_t capacity);
  /// Returns an array to the pool.
  /// @param capacity as passed to allocate().
  void release(std::uint32_t number, std::uint32_t capacity);
  Holder* at(std::uint32_t number) { return &chunks_[number / kMaxArraySize][number % kMaxArraySize]; }
  const Holder* at(std::uint32_t number) const {
    return &chunks_[number / kMaxArraySize][number % kMaxArraySize];
  }
  std::size_t memoryBytes() const;

private:
  static constexpr std::size_t kSizeClasses = 13;  ///< 1, 2, 4 ... 4096.

  std::vector<std::unique_ptr<Holder[]>> chunks_;
  std::uint32_t chunk_used_ = kMaxArraySize;  ///< Holders allocated from the last chunk.
  std::array<std::vector<std::uint32_t>, kSizeClasses> free_;
};

}  // namespace crankspur
