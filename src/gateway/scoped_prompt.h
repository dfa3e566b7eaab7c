#pragma once
/// @file A prompt as the caches of one weights version see it.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gateway/part_index.h"

namespace crankspur::gateway {

/// The prompt under one weights version: what it hashes to and who holds it.
struct ScopedPrompt {
  std::optional<std::uint64_t> weights;
  std::string scope;
  std::vector<KeyedPart> parts;
  std::vector<HeldPrefix> matches;       ///< The longest first.
  std::vector<HeldPrefix> by_engine;     ///< The same by slot.
  std::uint32_t shared_tokens = 0;       ///< Of the parts that other prompts may have too.
  std::uint32_t held_shared_tokens = 0;  ///< Of these, held by some engine.
  bool superseded = false;               ///< Newer weights have been named.
  EngineSlot first_reader = 0;           ///< Engine that first reads the shared parts which none holds.

  /// @return leading tokens of the prompt that the engine holds.
  std::uint32_t heldBy(EngineSlot engine) const;
  /// @param cached tokens that an engine holds, what it imports included.
  /// @return shared tokens that it would read although another engine holds them.
  std::uint32_t readAgainTokens(std::uint32_t cached) const;
};

/// Looks the prompt up.
/// @param isolated_tenant empty: the tenant shares cached prefixes with all others.
ScopedPrompt scopePrompt(const PartIndex& index, std::optional<std::uint64_t> weights,
                         const std::string& isolated_tenant, const std::string& model,
                         const std::vector<PromptPart>& prompt);

}  // namespace crankspur::gateway
