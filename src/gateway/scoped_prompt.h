#pragma once
/// @file A prompt in the cache scope of one weights version.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gateway/part_index.h"

namespace crankspur::gateway {

/// The prompt under one weights version: the keys of its parts and the engines that hold them.
struct ScopedPrompt {
  std::optional<std::uint64_t> weights;
  std::string scope;
  std::vector<KeyedPart> parts;
  std::vector<HeldPrefix> matches;       ///< Longest first.
  std::vector<HeldPrefix> by_engine;     ///< The same, sorted by slot.
  std::uint32_t shared_tokens = 0;       ///< Tokens of the parts that other prompts may share.
  std::uint32_t held_shared_tokens = 0;  ///< Those of them that some engine holds.
  bool superseded = false;               ///< Newer weights have been named.
  EngineSlot prefill_engine = 0;         ///< Engine for the first prefill of shared parts without a holder.

  /// @return leading tokens of the prompt that the engine holds.
  std::uint32_t heldBy(EngineSlot engine) const;
  /// @param cached tokens that an engine holds, including those that it imports.
  /// @return shared tokens that it would prefill although another engine holds them.
  std::uint32_t recomputedTokens(std::uint32_t cached) const;
};

/// Looks up the prompt in the index.
/// @param isolated_tenant empty: the tenant shares cached prefixes with all others.
ScopedPrompt scopePrompt(const PartIndex& index, std::optional<std::uint64_t> weights,
                         const std::string& isolated_tenant, const std::string& model,
                         const std::vector<PromptPart>& prompt);

}  // namespace crankspur::gateway
