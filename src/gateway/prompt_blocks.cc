#include "gateway/prompt_blocks.h"

#include <algorithm>

#include "base/hash.h"

namespace crankspur::gateway {

std::uint32_t blocksOf(std::uint32_t tokens) {
  return static_cast<std::uint32_t>((tokens + kTokensPerBlock - 1) / kTokensPerBlock);
}

void appendPartBlocks(const std::string& scope, const std::string& model, std::uint64_t part,
                      std::uint32_t first, std::uint32_t last, std::vector<BlockHash>& blocks) {
  const std::uint64_t seed = combineHashes(hashBytes(model, hashBytes(scope)), part);
  for (std::uint32_t index = first; index < last; ++index) blocks.push_back(combineHashes(seed, index));
}

std::vector<BlockHash> promptBlocks(const std::string& scope, const std::string& model,
                                    const std::vector<PromptPart>& prompt) {
  std::vector<BlockHash> blocks;
  for (const PromptPart& part : prompt)
    appendPartBlocks(scope, model, part.id, 0, blocksOf(part.tokens), blocks);
  return blocks;
}

std::uint32_t tokensIn(const std::vector<PromptPart>& prompt, std::uint32_t blocks) {
  std::uint32_t tokens = 0;
  for (const PromptPart& part : prompt) {
    const std::uint32_t held = std::min(blocks, blocksOf(part.tokens));
    tokens += std::min(part.tokens, held * static_cast<std::uint32_t>(kTokensPerBlock));
    blocks -= held;
  }
  return tokens;
}

std::string cacheScope(const std::string& weights_version, const std::string& isolated_tenant) {
  std::string scope = "w" + weights_version;
  if (!isolated_tenant.empty()) scope += "/" + isolated_tenant;
  return scope;
}

}  // namespace crankspur::gateway
