#pragma once
/// @file Index of the cached blocks that each engine is assumed to hold.
/// It is updated from this router's placements, cache events of engines (which arrive late and with gaps),
/// digests after a gap, summaries from peers and the cached-token count of each response. Entries belong to
/// an (engine, incarnation) pair: once the incarnation of an engine changes, none of its old entries is
/// reported again.

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "base/time.h"
#include "prefix_index/block_hash.h"

namespace crankspur {

/// How long a placed block counts as cached unless an event, a digest or a response confirms it.
inline constexpr Duration kOptimisticLifetime = std::chrono::seconds(5);

/// Small dense number that identifies an engine within one process; allocated by the engine table.
using EngineSlot = std::uint16_t;

/// Number of leading blocks of a prompt that an engine is assumed to hold.
struct PrefixMatch {
  EngineSlot engine = 0;
  std::uint32_t blocks = 0;
  std::uint32_t confirmed_blocks = 0;  ///< Leading blocks confirmed to be held; others may be pending.
};

/// One cache event of an engine; sequence numbers follow the engine's order.
struct CacheEvent {
  std::uint64_t sequence = 0;
  std::vector<BlockHash> stored;
  std::vector<BlockHash> removed;
};

/// Index of cached blocks. Not thread-safe: one traffic shard owns it.
class PrefixIndex {
public:
  virtual ~PrefixIndex() = default;
  /// Sets the current incarnation of the engine; a change removes every entry of the slot at once.
  virtual void setIncarnation(EngineSlot engine, std::uint64_t incarnation) = 0;
  /// Removes every entry of the slot, after its engine stopped or was replaced. Updates are ignored until
  /// setIncarnation() is called.
  virtual void forgetEngine(EngineSlot engine) = 0;
  /// Records blocks that a placement is about to create. They count as cached for `kOptimisticLifetime`
  /// unless an event, a digest or a response confirms them. Ignored unless `incarnation` is the current one.
  virtual void recordPlacement(EngineSlot engine, std::uint64_t incarnation,
                               std::span<const BlockHash> blocks, TimePoint now) = 0;
  /// Applies an event.
  /// @return false when events are missing before this one, so that a digest should be fetched.
  virtual bool applyEvent(EngineSlot engine, std::uint64_t incarnation, const CacheEvent& event,
                          TimePoint now) = 0;
  /// Replaces the entries of the engine by a complete digest taken at `sequence`; a digest older than the
  /// last applied event is ignored.
  virtual void applyDigest(EngineSlot engine, std::uint64_t incarnation, std::uint64_t sequence,
                           std::span<const BlockHash> blocks, TimePoint now) = 0;
  /// Corrects the entries by the cache use that a response reported: the engine held `cached_blocks` leading
  /// blocks when it started the request and holds all of `blocks` at the time of the call. Callers leave out
  /// blocks that the engine has yet to compute.
  virtual void correct(EngineSlot engine, std::uint64_t incarnation, std::span<const BlockHash> blocks,
                       std::uint32_t cached_blocks, TimePoint now) = 0;
  /// @return engines that hold at least one leading block, longest prefix first.
  virtual std::vector<PrefixMatch> match(std::span<const BlockHash> blocks, TimePoint now) const = 0;
  /// @return number of entries, one for each block at each engine.
  virtual std::size_t size() const = 0;
  /// @return estimated memory use in bytes.
  virtual std::size_t memoryBytes() const = 0;
};

/// @param max_entries capacity. When it is reached, entries are evicted from a sample of the table: first
/// those of removed incarnations, then the least recently confirmed ones.
std::unique_ptr<PrefixIndex> makePrefixIndex(std::size_t max_entries);

}  // namespace crankspur
