#pragma once
/// @file Chained hashes of prompt blocks. The chain is seeded from tenant, model, adapter and weights
/// version, so that blocks never match across tenants or weights.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace crankspur {

/// Bytes of prompt text counted as one token in estimates and in the engine stand-in.
inline constexpr std::size_t kBytesPerToken = 4;
/// Tokens in a cache block.
inline constexpr std::size_t kTokensPerBlock = 16;
/// Bytes of prompt text in a cache block.
inline constexpr std::size_t kBytesPerBlock = kBytesPerToken * kTokensPerBlock;

/// Identifies a block: the hash of its text chained to the hash of its predecessor. 64 bits; engines compare
/// the content as well.
using BlockHash = std::uint64_t;

/// The properties, besides the text, that a cached block depends on.
struct CacheScope {
  std::string tenant;
  std::string model;
  std::string adapter;
  std::string weights_version;

  /// @return the seed of the hash chains of this scope.
  BlockHash seed() const;
};

/// @return the hash of each full block of `prompt`; a trailing partial block is not hashed.
std::vector<BlockHash> hashBlocks(BlockHash seed, std::string_view prompt);

/// @return estimated tokens of `text`: its length divided by kBytesPerToken, rounded up.
std::uint32_t countTokens(std::string_view text);

}  // namespace crankspur
