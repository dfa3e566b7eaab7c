#pragma once
/// @file Compact hash table from a block to the engines that hold it: open addressing with linear probing and
/// one 16-byte slot per block. A single holder is stored in the slot itself; several are stored contiguously
/// in a pool. Larger sets also have a fingerprint, so that blocks with the same holders are recognized
/// without reading the holders.

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
  /// 0: none, because the holders are few. Blocks with the same fingerprint are held by the same engines,
  /// with the same generations and optimistic flags and, where optimistic, the same ticks.
  std::uint64_t fingerprint = 0;
};

/// Hash table of fixed capacity. Callers decide by a predicate which generations are dead.
class BlockTable {
public:
  /// Position of a holder in the table. Valid until a holder is inserted or removed.
  struct Position {
    std::size_t slot = 0;
    std::uint32_t index = 0;
    const Holder* holder = nullptr;  ///< Null: not found.
  };

  /// @param max_entries number of (block, engine) pairs that the table must be able to hold.
  explicit BlockTable(std::size_t max_entries);

  Position find(BlockHash hash, EngineSlot engine) const;
  /// Replaces the entry of a holder; the engine must stay the same.
  void replace(const Position& position, const Holder& holder);
  /// Adds a holder that find() does not return. Replaces the least recently confirmed holder of a block that
  /// already has kMaxHolders.
  /// @return the replaced holder; its engine is kNoEngine when none was replaced.
  Holder insert(BlockHash hash, const Holder& holder);
  void erase(const Position& position) { removeHolder(position.slot, position.index); }
  /// Removes one holder among those of the next kEvictionSample blocks after the previous eviction: the first
  /// dead one or, if none is dead, the least recently confirmed one. Calls `on_evict(holder)` before the
  /// removal.
  template <typename IsDead, typename OnEvict>
  void evictOne(IsDead is_dead, OnEvict on_evict);
  /// Removes every holder of an engine.
  void eraseEngine(EngineSlot engine);
  /// @return the holders of a block. Valid until the table changes.
  HolderSet holdersOf(BlockHash hash) const;
  /// Prefetches the cache line of a block's slot.
  void prefetch(BlockHash hash) const { __builtin_prefetch(&slots_[idealSlot(normalize(hash))]); }

  /// Prefetches the pooled holders of a block; its slot should be in the CPU cache already.
  void prefetchHolders(BlockHash hash) const {
    const Slot& slot = slots_[idealSlot(normalize(hash))];
    if (slot.hash != 0 && slot.isPooled()) __builtin_prefetch(pool_.at(slot.pooled()));
  }

  std::size_t size() const { return size_; }
  std::size_t maxEntries() const { return max_entries_; }
  std::size_t memoryBytes() const { return slots_.capacity() * sizeof(Slot) + pool_.memoryBytes(); }

  /// Reserved value that is not the slot of any engine.
  static constexpr EngineSlot kNoEngine = 0xffff;
  /// Maximum number of holders of one block.
  static constexpr std::uint32_t kMaxHolders = HolderPool::kMaxArraySize - 1;

private:
  static constexpr std::size_t kEvictionSample = 32;
  /// Pooled arrays with more holders than this start with their fingerprint.
  static constexpr std::uint32_t kMaxHoldersWithoutFingerprint = 8;

  /// One block. When the holders are in the pool, `single.engine` is kNoEngine, `single.generation` is their
  /// count and `pooled()` is the number of their array.
  struct Slot {
    BlockHash hash = 0;  ///< 0: empty.
    Holder single;
    bool isPooled() const { return single.engine == kNoEngine; }
    std::uint32_t count() const { return isPooled() ? single.generation : 1; }
    std::uint32_t pooled() const { return single.confirmed_tick; }
    bool hasFingerprint() const { return isPooled() && count() > kMaxHoldersWithoutFingerprint; }
  };
  static_assert(sizeof(Slot) == 16);

  /// @return `hash`, with the reserved value 0 mapped to 1.
  static BlockHash normalize(BlockHash hash) { return hash == 0 ? 1 : hash; }
  /// Maps the upper half of a hash to the first slot of its probe sequence; there are fewer than 2^32 slots.
  std::size_t idealSlot(BlockHash hash) const {
    return static_cast<std::size_t>(((hash >> 32) * slots_.size()) >> 32);
  }
  std::size_t next(std::size_t slot) const { return slot + 1 == slots_.size() ? 0 : slot + 1; }
  /// @return the slot of the block, or the empty slot where it is to be inserted.
  std::size_t locate(BlockHash hash) const;
  /// @return size of the pooled array for `count` holders, including the fingerprint if it has one.
  static std::uint32_t arraySize(std::uint32_t count) {
    return std::bit_ceil(count > kMaxHoldersWithoutFingerprint ? count + 1 : count);
  }
  const Holder* holders(const Slot& slot) const {
    return slot.isPooled() ? pool_.at(slot.pooled()) + slot.hasFingerprint() : &slot.single;
  }
  Holder* holders(Slot& slot) { return const_cast<Holder*>(std::as_const(*this).holders(slot)); }
  /// Adds `change` to the fingerprint of a slot that has one.
  void changeFingerprint(Slot& slot, std::uint64_t change);
  /// Allocates an array for `count` holders and moves the slot's holders there, as many as fit.
  void resize(Slot& slot, std::uint32_t count);
  void setPooled(Slot& slot, std::uint32_t number, std::uint32_t count);
  void append(Slot& slot, const Holder& holder);
  /// Removes a holder of a slot; a slot that becomes empty is removed by closeGap().
  void removeHolder(std::size_t slot, std::uint32_t position);
  /// Empties a slot and moves later entries back so that no probe sequence is interrupted.
  void closeGap(std::size_t hole);

  std::size_t max_entries_;
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
    const std::size_t slot_index = eviction_hand_;
    eviction_hand_ = next(eviction_hand_);
    Slot& slot = slots_[slot_index];
    if (slot.hash == 0) continue;
    ++seen;
    const Holder* first = holders(slot);
    for (std::uint32_t position = 0; position < slot.count(); ++position) {
      const Holder& holder = first[position];
      const bool dead = is_dead(holder);
      const bool better = victim_slot == slots_.size() || holder.confirmed_tick < victim.confirmed_tick;
      if (!dead && !better) continue;
      victim_slot = slot_index;
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
