#pragma once
/// @file Compact table of (block, engine) entries: open addressing with linear probing, 16 bytes an entry.
/// All holders of a block lie in one run of slots, so one probe finds every engine that holds it.

#include <cstdint>
#include <vector>

#include "prefix_index/prefix_index.h"

namespace crankspur {

/// One block at one engine. A zero hash marks an empty slot.
struct IndexEntry {
  BlockHash hash = 0;
  EngineSlot engine = 0;
  std::uint16_t generation = 0;           ///< Generation of the engine's slot that the entry belongs to.
  std::uint32_t optimistic : 1 = 0;       ///< 1 until an event, a digest or an answer confirms it.
  std::uint32_t confirmed_tick : 31 = 0;  ///< When it was noted or confirmed last.
};
static_assert(sizeof(IndexEntry) == 16);

/// Fixed-capacity hash table of entries. Knows nothing of generations beyond a caller's predicate.
class EntryTable {
public:
  /// @param maximum_entries entries the table must be able to hold.
  explicit EntryTable(std::size_t maximum_entries);

  /// @return the entry of (hash, engine), or nullptr.
  IndexEntry* find(BlockHash hash, EngineSlot engine);
  /// Adds an entry; the caller made sure that it is absent and that the table has room.
  IndexEntry& insert(const IndexEntry& entry);
  /// Removes an entry that find() returned, closing the gap in its run.
  void erase(IndexEntry* entry);
  /// Removes one entry: the first dead one, or else the least recently confirmed, among the next
  /// kEvictionSample occupied slots after the previous eviction. Calls `on_evict(entry)` before.
  template <typename IsDead, typename OnEvict>
  void evictOne(IsDead is_dead, OnEvict on_evict);
  /// Removes every entry that the predicate holds for.
  template <typename Predicate>
  void eraseIf(Predicate predicate);

  /// Calls `visit(entry)` for each holder of `hash`.
  template <typename Visit>
  void forEachHolder(BlockHash hash, Visit visit) const;
  /// Loads the cache line of `hash` ahead of its use.
  void prefetch(BlockHash hash) const { __builtin_prefetch(&slots_[home(normalize(hash))]); }

  std::size_t size() const { return size_; }
  std::size_t maximumEntries() const { return maximum_entries_; }
  std::size_t memoryBytes() const { return slots_.capacity() * sizeof(IndexEntry); }

  /// @return `hash`, with the reserved value 0 moved to 1.
  static BlockHash normalize(BlockHash hash) { return hash == 0 ? 1 : hash; }

private:
  static constexpr std::size_t kEvictionSample = 32;

  /// Maps a hash's upper half to its first slot; the number of slots is below 2^32.
  std::size_t home(BlockHash hash) const {
    return static_cast<std::size_t>(((hash >> 32) * slots_.size()) >> 32);
  }
  std::size_t next(std::size_t slot) const { return slot + 1 == slots_.size() ? 0 : slot + 1; }

  std::size_t maximum_entries_;
  std::size_t size_ = 0;
  std::size_t eviction_hand_ = 0;
  std::vector<IndexEntry> slots_;
};

template <typename Visit>
void EntryTable::forEachHolder(BlockHash hash, Visit visit) const {
  hash = normalize(hash);
  for (std::size_t slot = home(hash); slots_[slot].hash != 0; slot = next(slot)) {
    if (slots_[slot].hash == hash) visit(slots_[slot]);
  }
}

template <typename IsDead, typename OnEvict>
void EntryTable::evictOne(IsDead is_dead, OnEvict on_evict) {
  if (size_ == 0) return;
  IndexEntry* victim = nullptr;
  for (std::size_t seen = 0; seen < kEvictionSample && seen < size_; eviction_hand_ = next(eviction_hand_)) {
    IndexEntry& entry = slots_[eviction_hand_];
    if (entry.hash == 0) continue;
    ++seen;
    if (is_dead(entry)) {
      victim = &entry;
      break;
    }
    if (victim == nullptr || entry.confirmed_tick < victim->confirmed_tick) victim = &entry;
  }
  on_evict(*victim);
  erase(victim);
}

template <typename Predicate>
void EntryTable::eraseIf(Predicate predicate) {
  std::vector<IndexEntry> kept;
  for (IndexEntry& entry : slots_) {
    if (entry.hash != 0 && !predicate(entry)) kept.push_back(entry);
    entry = IndexEntry{};
  }
  size_ = 0;
  for (const IndexEntry& entry : kept) insert(entry);
}

}  // namespace crankspur
