#pragma once
/// @file Chained block hashes of prompts. The chain starts from a salt made of tenant, model, adapter and
/// weights version, so that a match across tenants or weights cannot be expressed.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace crankspur {

/// Bytes of prompt text that stand for one token in estimates and in the engine stand-in.
inline constexpr std::size_t kBytesPerToken = 4;
/// Tokens in a cache block.
inline constexpr std::size_t kTokensPerBlock = 16;
/// Bytes of prompt text in a cache block.
inline constexpr std::size_t kBytesPerBlock = kBytesPerToken * kTokensPerBlock;

/// Identity of one block: the hash of its text chained to its predecessor's. 64 bits; engines compare
/// content.
using BlockHash = std::uint64_t;

/// What a cached block depends on besides the text.
struct CacheScope {
  std::string tenant;
  std::string model;
  std::string adapter;
  std::string weights_version;

  /// @return the hash that the chain of this scope starts from.
  BlockHash seed() const;
};

/// @return the hash of each full block of `prompt`; a trailing partial block has none.
std::vector<BlockHash> hashBlocks(BlockHash seed, std::string_view prompt);

/// @return tokens that `text` counts for: its length over kBytesPerToken, rounded up.
std::uint32_t countTokens(std::string_view text);

}  // namespace crankspur
