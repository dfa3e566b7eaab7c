#pragma once
/// @file Index of the engines that hold each prompt part, as known to a gateway. Clients describe prompts as
/// parts and engines report their caches by parts, so that a part is one entry regardless of its number of
/// blocks.

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/container/inlined_vector.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "gateway/dialect.h"
#include "prefix_index/prefix_index.h"

namespace crankspur::gateway {

/// A part with its cache key. The key covers scope and model, so that a part is never found under another
/// scope or model.
struct KeyedPart {
  std::uint64_t key = 0;
  std::uint32_t tokens = 0;
};

/// @return KV cache blocks of an engine that `tokens` tokens take.
std::uint32_t blocksOf(std::uint32_t tokens);

/// @return the scope of cached parts. It separates weights versions, and isolated tenants from all others.
std::string cacheScope(const std::string& weights_version, const std::string& isolated_tenant);

/// @return the key of a part.
std::uint64_t partKey(const std::string& scope, const std::string& model, std::uint64_t part);

/// @return the parts of a prompt in order.
std::vector<KeyedPart> keyedParts(const std::string& scope, const std::string& model,
                                  const std::vector<PromptPart>& prompt);

/// Length of the prompt prefix that an engine holds.
struct HeldPrefix {
  EngineSlot engine = 0;
  std::uint32_t tokens = 0;
};

/// The index. Entries belong to an incarnation of an engine and are removed when it changes. Not thread-safe.
class PartIndex {
public:
  /// @param max_entries limit of entries; an entry is one part at one engine. At the limit, arbitrary
  /// entries are evicted from the engines in turn.
  explicit PartIndex(std::size_t max_entries) : max_entries_(max_entries) {}

  /// Sets the engine's current incarnation; a change removes all entries of the slot.
  void setIncarnation(EngineSlot engine, std::uint64_t incarnation);
  /// Sets the number of leading tokens of the part that the engine holds; 0: none. Ignored unless the
  /// incarnation is the current one.
  void set(EngineSlot engine, std::uint64_t incarnation, KeyedPart part);
  /// Removes all entries of the engine. Ignored unless the incarnation is the current one.
  void clear(EngineSlot engine, std::uint64_t incarnation);
  /// @return engines that hold a prefix of the prompt, sorted by descending prefix length, then by slot.
  std::vector<HeldPrefix> match(std::span<const KeyedPart> prompt) const;
  /// @return the number of entries.
  std::size_t size() const { return entries_; }

private:
  struct Holder {
    EngineSlot engine = 0;
    std::uint32_t tokens = 0;
  };
  using Holders = absl::InlinedVector<Holder, 2>;
  struct EngineParts {
    std::uint64_t incarnation = 0;
    absl::flat_hash_set<std::uint64_t> keys;
  };

  EngineParts* findCurrent(EngineSlot engine, std::uint64_t incarnation);
  void removeAll(EngineSlot engine);
  void erase(EngineSlot engine, std::uint64_t key);
  void evictIfFull();

  std::size_t max_entries_;
  std::size_t entries_ = 0;
  std::size_t next_evicted_ = 0;                         ///< Engine slot of the next eviction.
  absl::flat_hash_map<std::uint64_t, Holders> holders_;  ///< By part key.
  std::vector<EngineParts> engines_;                     ///< By engine slot.
  // Scratch buffers of match(), by engine slot.
  mutable std::vector<std::uint32_t> complete_parts_;  ///< Number of leading parts that it holds completely.
  mutable std::vector<std::uint32_t> match_of_;        ///< Its index in the matches.
};

}  // namespace crankspur::gateway
