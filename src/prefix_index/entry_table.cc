#include "prefix_index/entry_table.h"

#include <algorithm>

namespace crankspur {
namespace {

/// Slots for each entry: a load factor of 0.8 keeps runs short at 20 bytes an entry.
constexpr std::size_t kSlotsNumerator = 5;
constexpr std::size_t kSlotsDenominator = 4;
constexpr std::size_t kMinimumSlots = 64;

}  // namespace

EntryTable::EntryTable(std::size_t maximum_entries)
    : maximum_entries_(std::max<std::size_t>(maximum_entries, 1)) {
  const std::size_t slots = maximum_entries_ * kSlotsNumerator / kSlotsDenominator + 1;
  slots_.resize(std::max(slots, kMinimumSlots));
}

IndexEntry* EntryTable::find(BlockHash hash, EngineSlot engine) {
  hash = normalize(hash);
  for (std::size_t slot = home(hash); slots_[slot].hash != 0; slot = next(slot)) {
    IndexEntry& entry = slots_[slot];
    if (entry.hash == hash && entry.engine == engine) return &entry;
  }
  return nullptr;
}

IndexEntry& EntryTable::insert(const IndexEntry& entry) {
  const BlockHash hash = normalize(entry.hash);
  std::size_t slot = home(hash);
  while (slots_[slot].hash != 0) slot = next(slot);
  slots_[slot] = entry;
  slots_[slot].hash = hash;
  ++size_;
  return slots_[slot];
}

void EntryTable::erase(IndexEntry* entry) {
  std::size_t hole = static_cast<std::size_t>(entry - slots_.data());
  for (std::size_t slot = next(hole); slots_[slot].hash != 0; slot = next(slot)) {
    const std::size_t wanted = home(slots_[slot].hash);
    // The entry may move back to the hole unless its home lies between the hole (exclusive) and its slot.
    const bool stays = hole <= slot ? (hole < wanted && wanted <= slot) : (hole < wanted || wanted <= slot);
    if (stays) continue;
    slots_[hole] = slots_[slot];
    hole = slot;
  }
  slots_[hole] = IndexEntry{};
  --size_;
}

}  // namespace crankspur
