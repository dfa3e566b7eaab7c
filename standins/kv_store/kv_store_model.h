#pragma once
/// @file Model of the KV-cache store: a bounded set of blocks that engines put and get. Pure state without
/// I/O. Stores only the hashes of blocks; the transfer time is modelled by the engine.

#include <cstdint>
#include <span>

#include "standins/engine/block_cache.h"

namespace crankspur::standin {

/// Block hashes of one KV-cache store, with least-recently-used eviction.
class KvStoreModel {
public:
  /// @param capacity maximum number of blocks; the least recently used are evicted first.
  KvStoreModel(std::uint32_t capacity, std::uint64_t incarnation)
      : cache_(capacity), incarnation_(incarnation) {}

  /// Stores blocks in the given order until the store is at capacity.
  /// @return the number of leading blocks that are stored now.
  std::uint32_t put(std::span<const BlockHash> blocks);
  /// Marks blocks as recently used.
  /// @return the number of leading blocks that are stored.
  std::uint32_t get(std::span<const BlockHash> blocks);

  std::uint64_t incarnation() const { return incarnation_; }
  std::uint32_t used() const { return cache_.used(); }

private:
  BlockCache cache_;
  std::uint64_t incarnation_;
};

}  // namespace crankspur::standin
