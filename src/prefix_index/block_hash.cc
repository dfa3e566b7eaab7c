#include "prefix_index/block_hash.h"

#include "base/hash.h"

namespace crankspur {

BlockHash CacheScope::seed() const {
  BlockHash seed = hashBytes(tenant);
  seed = combineHashes(seed, hashBytes(model));
  seed = combineHashes(seed, hashBytes(adapter));
  return combineHashes(seed, hashBytes(weights_version));
}

std::vector<BlockHash> hashBlocks(BlockHash seed, std::string_view prompt) {
  std::vector<BlockHash> blocks;
  blocks.reserve(prompt.size() / kBytesPerBlock);
  BlockHash previous = seed;
  for (std::size_t begin = 0; begin + kBytesPerBlock <= prompt.size(); begin += kBytesPerBlock) {
    previous = hashBytes(prompt.substr(begin, kBytesPerBlock), previous);
    blocks.push_back(previous);
  }
  return blocks;
}

std::uint32_t countTokens(std::string_view text) {
  return static_cast<std::uint32_t>((text.size() + kBytesPerToken - 1) / kBytesPerToken);
}

}  // namespace crankspur
