#pragma once
/// @file Memory of the engine stand-in: cached blocks with reference counts and least-recently-used eviction,
/// and memory reserved by running requests, within one bound.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <list>
#include <memory>
#include <span>
#include <vector>

#include "prefix_index/block_hash.h"

namespace crankspur::standin {

/// Who computed a cached block.
struct BlockWriter {
  std::shared_ptr<const CacheScope> scope;
  std::uint64_t incarnation = 0;
  bool imported = false;
};

/// The cache. A block in use (reference count above zero) is never evicted.
class BlockCache {
public:
  explicit BlockCache(std::uint32_t capacity) : capacity_(capacity) {}

  /// @return how many leading blocks of `blocks` are cached.
  std::uint32_t heldPrefix(std::span<const BlockHash> blocks) const;
  /// @return whether `leading` cached blocks can be taken into use and `others` reserved besides.
  bool fits(std::span<const BlockHash> leading, std::uint32_t others) const;
  /// Takes cached blocks into use.
  void acquire(std::span<const BlockHash> blocks);
  /// Reserves memory, evicting unused blocks. Call only when it fits.
  void reserve(std::uint32_t blocks);
  void releaseReserved(std::uint32_t blocks);
  /// Turns one reserved block into a cached one in use. If another request has cached it meanwhile, that one
  /// is taken into use and the reserved block is freed.
  void store(BlockHash block, const BlockWriter& writer);
  /// Ends the use of blocks; the last ones will be evicted first.
  void release(std::span<const BlockHash> blocks);
  /// Forgets unused blocks whose writer had the model. Blocks in use go when they are released.
  void dropModel(const std::string& model);

  /// @return who computed the block, or nullptr when it is not cached.
  const BlockWriter* writer(BlockHash block) const;
  std::vector<BlockHash> blocks() const;
  std::uint32_t used() const { return static_cast<std::uint32_t>(entries_.size()) + reserved_; }
  std::uint32_t capacity() const { return capacity_; }
  std::uint64_t evicted() const { return evicted_; }

  /// @return blocks stored and removed since the last call, in order.
  std::vector<BlockHash> takeStored();
  std::vector<BlockHash> takeRemoved();

private:
  using RecencyList = std::list<BlockHash>;
  struct Entry {
    BlockWriter writer;
    std::uint32_t references = 0;
    bool dropped = false;             ///< Goes when no longer in use.
    RecencyList::iterator recency{};  ///< Valid when references is 0.
  };

  void makeRoom(std::uint32_t blocks);
  void erase(BlockHash block);

  std::uint32_t capacity_;
  std::uint32_t reserved_ = 0;
  std::uint64_t evicted_ = 0;
  absl::flat_hash_map<BlockHash, Entry> entries_;
  RecencyList unused_;  ///< Least recently used first.
  std::vector<BlockHash> stored_;
  std::vector<BlockHash> removed_;
};

}  // namespace crankspur::standin
