#pragma once
/// @file Memory for the holders of blocks that several engines hold: arrays of 2, 4, 8 ... holders, cut from
/// chunks and reused by size.

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

#include "prefix_index/prefix_index.h"

namespace crankspur {

/// An engine that holds a block.
struct Holder {
  EngineSlot engine = 0;
  std::uint16_t generation = 0;           ///< Generation of the engine's slot that the entry belongs to.
  std::uint32_t optimistic : 1 = 0;       ///< 1 until an event, a digest or an answer confirms it.
  std::uint32_t confirmed_tick : 31 = 0;  ///< When it was noted or confirmed last.
};
static_assert(sizeof(Holder) == 8);

/// Allocates arrays of holders whose sizes are powers of two.
class HolderPool {
public:
  /// Holders of the largest array, and of a chunk.
  static constexpr std::uint32_t kLargestArray = 4096;

  /// @param capacity a power of two from 2 to kLargestArray.
  /// @return the number of an array of that many holders.
  std::uint32_t allocate(std::uint32_t capacity);
  void release(std::uint32_t number, std::uint32_t capacity);
  Holder* at(std::uint32_t number) { return &chunks_[number / kLargestArray][number % kLargestArray]; }
  const Holder* at(std::uint32_t number) const {
    return &chunks_[number / kLargestArray][number % kLargestArray];
  }
  std::size_t memoryBytes() const;

private:
  static constexpr std::size_t kSizes = 13;  ///< 1, 2, 4 ... 4096.

  std::vector<std::unique_ptr<Holder[]>> chunks_;
  std::uint32_t chunk_used_ = kLargestArray;  ///< Holders given out of the last chunk.
  std::array<std::vector<std::uint32_t>, kSizes> free_;
};

}  // namespace crankspur
