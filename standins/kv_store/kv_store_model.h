#pragma once
/// @file Model of the KV-cache store: a bounded set of blocks that engines put and get. Pure state holder.
/// Only block identities are kept; the time of a transfer is the engine's to model.

#include <cstdint>
#include <span>

#include "standins/engine/block_cache.h"

namespace crankspur::standin {

/// One KV-cache store.
class KvStoreModel {
public:
  /// @param capacity blocks held; those least recently used go first.
  KvStoreModel(std::uint32_t capacity, std::uint64_t incarnation)
      : cache_(capacity), incarnation_(incarnation) {}

  /// Stores blocks in their order.
  /// @return how many leading blocks are held now.
  std::uint32_t put(std::span<const BlockHash> blocks);
  /// Notes the use of blocks.
  /// @return how many leading blocks are held.
  std::uint32_t get(std::span<const BlockHash> blocks);

  std::uint64_t incarnation() const { return incarnation_; }
  std::uint32_t used() const { return cache_.used(); }

private:
  BlockCache cache_;
  std::uint64_t incarnation_;
};

}  // namespace crankspur::standin
