#pragma once
/// @file KV memory of the engine stand-in: cached blocks with reference counts and least-recently-used
/// eviction, and blocks reserved by running requests, within one capacity.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <list>
#include <memory>
#include <span>
#include <vector>

#include "prefix_index/block_hash.h"

namespace crankspur::standin {

/// Origin of a cached block: the scope and the engine incarnation that computed it.
struct BlockWriter {
  std::shared_ptr<const CacheScope> scope;
  std::uint64_t incarnation = 0;
  bool imported = false;
};

/// Prefix cache of one engine. A block in use (reference count above zero) is never evicted.
class BlockCache {
public:
  explicit BlockCache(std::uint32_t capacity) : capacity_(capacity) {}

  /// @return the number of leading blocks of `blocks` that are cached.
  std::uint32_t cachedPrefixLength(std::span<const BlockHash> blocks) const;
  /// @return whether there is capacity to acquire the cached blocks `leading` and to reserve `others` more.
  bool fits(std::span<const BlockHash> leading, std::uint32_t others) const;
  /// Adds a reference to each of these cached blocks.
  void acquire(std::span<const BlockHash> blocks);
  /// Reserves memory, evicting unused blocks. Requires that fits() returned true.
  void reserve(std::uint32_t blocks);
  void releaseReserved(std::uint32_t blocks);
  /// Converts one reserved block into a cached block in use. If another request has cached the same block in
  /// the meantime, adds a reference to that block and frees the reserved one.
  void store(BlockHash block, const BlockWriter& writer);
  /// Drops a reference to each block. Blocks at the end of the prefix are evicted first.
  void release(std::span<const BlockHash> blocks);
  /// Removes the unused blocks computed by the model. Blocks in use are removed when they are released.
  void dropModel(const std::string& model);

  /// @return the origin of the block, or nullptr if it is not cached.
  const BlockWriter* writer(BlockHash block) const;
  std::vector<BlockHash> blocks() const;
  std::uint32_t used() const { return static_cast<std::uint32_t>(entries_.size()) + reserved_; }
  std::uint32_t capacity() const { return capacity_; }
  std::uint64_t evicted() const { return evicted_; }

  /// @return the blocks stored or removed since the last call, in order.
  std::vector<BlockHash> takeStored();
  std::vector<BlockHash> takeRemoved();

private:
  using RecencyList = std::list<BlockHash>;
  struct Entry {
    BlockWriter writer;
    std::uint32_t references = 0;
    bool dropped = false;             ///< Removed on the last release.
    RecencyList::iterator recency{};  ///< Valid only if references is 0.
  };

  void evictToFit(std::uint32_t blocks);
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
