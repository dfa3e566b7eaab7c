#include "standins/kv_store/kv_store_model.h"

namespace crankspur::standin {

std::uint32_t KvStoreModel::put(std::span<const BlockHash> blocks) {
  std::uint32_t held = cache_.cachedPrefixLength(blocks);
  cache_.acquire(blocks.first(held));
  while (held < blocks.size() && cache_.fits({}, 1)) {
    cache_.reserve(1);
    cache_.store(blocks[held], {});
    ++held;
  }
  cache_.release(blocks.first(held));
  cache_.takeStored();
  cache_.takeRemoved();
  return held;
}

std::uint32_t KvStoreModel::get(std::span<const BlockHash> blocks) {
  const std::uint32_t held = cache_.cachedPrefixLength(blocks);
  cache_.acquire(blocks.first(held));
  cache_.release(blocks.first(held));
  return held;
}

}  // namespace crankspur::standin
