#pragma once
/// @file Which engine holds which cached block, as far as this router knows.
/// Knowledge comes from own placements, engines' cache events (late, with gaps), digests after a gap,
/// summaries of peers and the cached-token count of each answer. Entries belong to (engine, incarnation):
/// once an engine's incarnation changes none of its old entries is ever reported again.

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "base/time.h"
#include "prefix_index/block_hash.h"

namespace crankspur {

/// How long a placed block counts as cached without a confirmation by an event, a digest or an answer.
inline constexpr Duration kOptimisticLifetime = std::chrono::seconds(5);

/// Small dense number of an engine within one process; slots are given out by the engine table.
using EngineSlot = std::uint16_t;

/// How many leading blocks of a prompt an engine is believed to hold.
struct PrefixMatch {
  EngineSlot engine = 0;
  std::uint32_t blocks = 0;
  std::uint32_t confirmed_blocks = 0;  ///< Leading blocks known to be held; others may be yet to compute.
};

/// One engine cache event, in the engine's order.
struct CacheEvent {
  std::uint64_t sequence = 0;
  std::vector<BlockHash> stored;
  std::vector<BlockHash> removed;
};

/// Index of cached blocks. Not thread-safe: one traffic shard owns it.
class PrefixIndex {
public:
  virtual ~PrefixIndex() = default;
  /// Declares the engine's present incarnation; a change forgets every entry of the slot at once.
  virtual void setIncarnation(EngineSlot engine, std::uint64_t incarnation) = 0;
  /// Forgets every entry of the slot (engine dead or replaced).
  virtual void forgetEngine(EngineSlot engine) = 0;
  /// Notes blocks that a placement is about to create. Believed for `kOptimisticLifetime` unless an event or
  /// an answer confirms them. Ignored unless `incarnation` is the present one.
  virtual void recordPlacement(EngineSlot engine, std::uint64_t incarnation,
                               std::span<const BlockHash> blocks, TimePoint now) = 0;
  /// Applies an event.
  /// @return false when a sequence gap was found, so that a digest should be fetched.
  virtual bool applyEvent(EngineSlot engine, std::uint64_t incarnation, const CacheEvent& event,
                          TimePoint now) = 0;
  /// Replaces what is known of the engine by a complete digest taken at `sequence`.
  virtual void applyDigest(EngineSlot engine, std::uint64_t incarnation, std::uint64_t sequence,
                           std::span<const BlockHash> blocks, TimePoint now) = 0;
  /// Corrects the index by what an answer reported: the engine held `cached_blocks` leading blocks at its
  /// start and holds all `blocks` now. What it is yet to compute is left out until it has.
  virtual void correct(EngineSlot engine, std::uint64_t incarnation, std::span<const BlockHash> blocks,
                       std::uint32_t cached_blocks, TimePoint now) = 0;
  /// @return engines that hold at least one leading block, longest prefix first.
  virtual std::vector<PrefixMatch> match(std::span<const BlockHash> blocks, TimePoint now) const = 0;
  /// @return entries held, an entry being one block at one engine.
  virtual std::size_t size() const = 0;
  /// @return estimated bytes of memory held.
  virtual std::size_t memoryBytes() const = 0;
};

/// @param maximum_entries when reached, entries of forgotten incarnations go first, then those least recently
/// confirmed within a sample of the table.
std::unique_ptr<PrefixIndex> makePrefixIndex(std::size_t maximum_entries);

}  // namespace crankspur
