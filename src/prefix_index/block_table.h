#pragma once
/// @file Compact table from block to the engines that hold it: open addressing with linear probing, one slot
/// of 16 bytes for each block. A block of one holder keeps it in the slot; several lie side by side in a
/// pool, and many with a fingerprint, so that blocks with the same holders are told without reading them.

#include <bit>
#include <cstdint>
#include <span>
#include <utility>
#include <vector>

#include "prefix_index/holder_pool.h"

namespace crankspur {

/// The engines that hold a block.
struct HolderSet {
  std::span<const Holder> holders;
  /// 0: not kept, the holders are few. Blocks of the same fingerprint have the same engines with the same
  /// generations, guesses and, of guesses, ticks.
  std::uint64_t fingerprint = 0;
};

/// Table of fixed capacity. Knows nothing of generations beyond a caller's predicate.
class BlockTable {
public:
  /// A holder in the table. Valid until one is inserted or removed.
  struct Position {
    std::size_t slot = 0;
    std::uint32_t index = 0;
    const Holder* holder = nullptr;  ///< Null: there is none.
  };

  /// @param maximum_entries (block, engine) pairs that the table must be able to hold.
  explicit BlockTable(std::size_t maximum_entries);

  Position find(BlockHash hash, EngineSlot engine) const;
  /// Changes what is known of a holder; it stays the same engine.
  void replace(const Position& position, const Holder& holder);
  /// Adds a holder that find() does not know. When a block has too many, its oldest gives way.
  /// @return the holder that gave way; its engine is kNoEngine when none did.
  Holder insert(BlockHash hash, const Holder& holder);
  void erase(const Position& position) { removeHolder(position.slot, position.index); }
  /// Removes one holder: the first dead one, or else the least recently confirmed, among those of the next
  /// kEvictionSample blocks after the previous eviction. Calls `on_evict(holder)` before.
  template <typename IsDead, typename OnEvict>
  void evictOne(IsDead is_dead, OnEvict on_evict);
  /// Removes every holder of an engine.
  void eraseEngine(EngineSlot engine);
  /// @return the holders of a block. Valid until the table changes.
  HolderSet holdersOf(BlockHash hash) const;
  /// Loads the cache line of a block ahead of its use.
  void prefetch(BlockHash hash) const { __builtin_prefetch(&slots_[idealSlot(normalize(hash))]); }

  /// Loads the pooled holders of a block ahead of their use, once its slot is in the cache.
  void prefetchHolders(BlockHash hash) const {
    const Slot& slot = slots_[idealSlot(normalize(hash))];
    if (slot.hash != 0 && slot.isPooled()) __builtin_prefetch(pool_.at(slot.pooled()));
  }

  std::size_t size() const { return size_; }
  std::size_t maximumEntries() const { return maximum_entries_; }
  std::size_t memoryBytes() const { return slots_.capacity() * sizeof(Slot) + pool_.memoryBytes(); }

  /// Never the number of an engine.
  static constexpr EngineSlot kNoEngine = 0xffff;
  /// Most holders of one block.
  static constexpr std::uint32_t kMaximumHolders = HolderPool::kLargestArray - 1;

private:
  static constexpr std::size_t kEvictionSample = 32;
  /// Pooled arrays of more holders begin with their fingerprint.
  static constexpr std::uint32_t kMostWithoutFingerprint = 8;

  /// One block. `single.engine` is kNoEngine when the pool keeps the holders: then `single.generation` is
  /// their count and `pooled` the number of their array.
  struct Slot {
    BlockHash hash = 0;  ///< 0: empty.
    Holder single;
    bool isPooled() const { return single.engine == kNoEngine; }
    std::uint32_t count() const { return isPooled() ? single.generation : 1; }
    std::uint32_t pooled() const { return single.confirmed_tick; }
    bool hasFingerprint() const { return isPooled() && count() > kMostWithoutFingerprint; }
  };
  static_assert(sizeof(Slot) == 16);

  /// @return `hash`, with the reserved value 0 moved to 1.
  static BlockHash normalize(BlockHash hash) { return hash == 0 ? 1 : hash; }
  /// Maps a hash's upper half to its first slot; the number of slots is below 2^32.
  std::size_t idealSlot(BlockHash hash) const {
    return static_cast<std::size_t>(((hash >> 32) * slots_.size()) >> 32);
  }
  std::size_t next(std::size_t slot) const { return slot + 1 == slots_.size() ? 0 : slot + 1; }
  /// @return the slot of the block, or the empty one where it belongs.
  std::size_t locate(BlockHash hash) const;
  /// @return size of the pooled array for `count` holders.
  static std::uint32_t arraySize(std::uint32_t count) {
    return std::bit_ceil(count > kMostWithoutFingerprint ? count + 1 : count);
  }
  const Holder* holders(const Slot& slot) const {
    return slot.isPooled() ? pool_.at(slot.pooled()) + slot.hasFingerprint() : &slot.single;
  }
  Holder* holders(Slot& slot) { return const_cast<Holder*>(std::as_const(*this).holders(slot)); }
  /// Adds `change` to the fingerprint of a slot that has one.
  void changeFingerprint(Slot& slot, std::uint64_t change);
  /// Gives a slot an array for `count` holders and moves those there that it has room for.
  void resize(Slot& slot, std::uint32_t count);
  void setPooled(Slot& slot, std::uint32_t number, std::uint32_t count);
  void append(Slot& slot, const Holder& holder);
  /// Removes a holder of a slot; an empty slot is closed.
  void removeHolder(std::size_t slot, std::uint32_t position);
  void closeGap(std::size_t hole);

  std::size_t maximum_entries_;
  std::size_t size_ = 0;
  std::size_t eviction_hand_ = 0;
  std::vector<Slot> slots_;
  HolderPool pool_;
};

template <typename IsDead, typename OnEvict>
void BlockTable::evictOne(IsDead is_dead, OnEvict on_evict) {
  if (size_ == 0) return;
  std::size_t victim_slot = slots_.size();
  std::uint32_t victim_position = 0;
  Holder victim;
  std::size_t seen = 0;
  for (std::size_t step = 0; step < slots_.size() && seen < kEvictionSample; ++step) {
    const std::size_t place = eviction_hand_;
    eviction_hand_ = next(eviction_hand_);
    Slot& slot = slots_[place];
    if (slot.hash == 0) continue;
    ++seen;
    const Holder* first = holders(slot);
    for (std::uint32_t position = 0; position < slot.count(); ++position) {
      const Holder& holder = first[position];
      const bool dead = is_dead(holder);
      const bool better = victim_slot == slots_.size() || holder.confirmed_tick < victim.confirmed_tick;
      if (!dead && !better) continue;
      victim_slot = place;
      victim_position = position;
      victim = holder;
      if (dead) seen = kEvictionSample;
      if (dead) break;
    }
  }
  on_evict(victim);
  removeHolder(victim_slot, victim_position);
}

}  // namespace crankspur
