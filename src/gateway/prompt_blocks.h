#pragma once
/// @file Block hashes of prompts that clients name by parts, for the prefix index.

#include <string>
#include <vector>

#include "gateway/dialect.h"
#include "prefix_index/block_hash.h"

namespace crankspur::gateway {

/// @return blocks that `tokens` tokens take.
std::uint32_t blocksOf(std::uint32_t tokens);

/// Appends the hashes of the blocks from `first` up to `last` (excluded) of one part.
void appendPartBlocks(const std::string& scope, const std::string& model, std::uint64_t part,
                      std::uint32_t first, std::uint32_t last, std::vector<BlockHash>& blocks);

/// @return the hashes of all blocks of the prompt in order. Each part begins a block of its own.
std::vector<BlockHash> promptBlocks(const std::string& scope, const std::string& model,
                                    const std::vector<PromptPart>& prompt);

/// @return prompt tokens in the first `blocks` blocks of the prompt.
std::uint32_t tokensIn(const std::vector<PromptPart>& prompt, std::uint32_t blocks);

/// @return the text that cached parts are kept under: parts of other weights are never found, nor are those
/// of another tenant when either is isolated.
std::string cacheScope(const std::string& weights_version, const std::string& isolated_tenant);

}  // namespace crankspur::gateway
