#pragma once
/// @file Which engine holds which part of prompts, as far as a gateway knows. Clients name prompts by parts
/// and engines tell their caches by parts, so that a part is one entry, however many blocks it takes.

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

/// A part as caches keep it: parts of another scope or model have another key, so that none is ever found
/// there.
struct KeyedPart {
  std::uint64_t key = 0;
  std::uint32_t tokens = 0;
};

/// @return memory blocks of an engine that `tokens` tokens take.
std::uint32_t blocksOf(std::uint32_t tokens);

/// @return the text that cached parts are kept under: parts of other weights are never found, nor are those
/// of another tenant when either is isolated.
std::string cacheScope(const std::string& weights_version, const std::string& isolated_tenant);

/// @return the key of a part.
std::uint64_t partKey(const std::string& scope, const std::string& model, std::uint64_t part);

/// @return the parts of a prompt in order.
std::vector<KeyedPart> keyedParts(const std::string& scope, const std::string& model,
                                  const std::vector<PromptPart>& prompt);

/// How much of the beginning of a prompt an engine holds.
struct HeldPrefix {
  EngineSlot engine = 0;
  std::uint32_t tokens = 0;
};

/// The index. Entries belong to (engine, incarnation): a change of the incarnation forgets them at once. Not
/// thread-safe.
class PartIndex {
public:
  /// @param maximum_entries an entry is one part at one engine; beyond it arbitrary ones are forgotten, from
  /// one engine after the other.
  explicit PartIndex(std::size_t maximum_entries) : maximum_entries_(maximum_entries) {}

  /// Declares the engine's present incarnation; a change forgets every entry of the slot.
  void setIncarnation(EngineSlot engine, std::uint64_t incarnation);
  /// The engine holds this many leading tokens of the part now; 0: none. Ignored unless the incarnation is
  /// the present one.
  void set(EngineSlot engine, std::uint64_t incarnation, KeyedPart part);
  /// Forgets every entry of the engine. Ignored unless the incarnation is the present one.
  void clear(EngineSlot engine, std::uint64_t incarnation);
  /// @return engines that hold some of the beginning of the prompt, the longest prefix first, equal ones by
  /// slot.
  std::vector<HeldPrefix> match(std::span<const KeyedPart> prompt) const;
  /// @return entries held.
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

  EngineParts* present(EngineSlot engine, std::uint64_t incarnation);
  void forgetAll(EngineSlot engine);
  void erase(EngineSlot engine, std::uint64_t key);
  void makeRoom();

  std::size_t maximum_entries_;
  std::size_t entries_ = 0;
  std::size_t next_evicted_ = 0;                         ///< Engine slot that gives way next.
  absl::flat_hash_map<std::uint64_t, Holders> holders_;  ///< By part key.
  std::vector<EngineParts> engines_;                     ///< By engine slot.
  // Scratch of match(), by engine slot.
  mutable std::vector<std::uint32_t> whole_parts_;  ///< Leading parts that it was found to hold whole.
  mutable std::vector<std::uint32_t> match_of_;     ///< Its place among the matches.
};

}  // namespace crankspur::gateway
