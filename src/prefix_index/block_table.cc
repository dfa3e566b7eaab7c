#include "prefix_index/block_table.h"

#include <algorithm>
#include <utility>

namespace crankspur {
namespace {

/// Slots for each entry: a load factor of 0.8 keeps probe runs short.
constexpr std::size_t kSlotsNumerator = 5;
constexpr std::size_t kSlotsDenominator = 4;
constexpr std::size_t kMinimumSlots = 64;

}  // namespace

BlockTable::BlockTable(std::size_t maximum_entries)
    : maximum_entries_(std::max<std::size_t>(maximum_entries, 1)) {
  const std::size_t slots = maximum_entries_ * kSlotsNumerator / kSlotsDenominator + 1;
  slots_.resize(std::max(slots, kMinimumSlots));
}

std::size_t BlockTable::locate(BlockHash hash) const {
  std::size_t slot = home(hash);
  while (slots_[slot].hash != 0 && slots_[slot].hash != hash) slot = next(slot);
  return slot;
}

Holder* BlockTable::find(BlockHash hash, EngineSlot engine) {
  Slot& slot = slots_[locate(normalize(hash))];
  if (slot.hash == 0) return nullptr;
  Holder* first = holders(slot);
  for (std::uint32_t position = 0; position < slot.count(); ++position) {
    if (first[position].engine == engine) return first + position;
  }
  return nullptr;
}

Holder BlockTable::insert(BlockHash hash, const Holder& holder) {
  Holder displaced;
  displaced.engine = kNoEngine;
  hash = normalize(hash);
  Slot& slot = slots_[locate(hash)];
  if (slot.hash == 0) {
    slot = {hash, holder};
    ++size_;
    return displaced;
  }
  if (slot.count() < HolderPool::kMaximumHolders) {
    append(slot, holder);
    ++size_;
    return displaced;
  }
  Holder* first = holders(slot);
  Holder* oldest = std::min_element(first, first + slot.count(), [](const Holder& left, const Holder& right) {
    return left.confirmed_tick < right.confirmed_tick;
  });
  return std::exchange(*oldest, holder);
}

void BlockTable::setPooled(Slot& slot, std::uint32_t number, std::uint32_t count) {
  slot.single.engine = kNoEngine;
  slot.single.generation = static_cast<std::uint16_t>(count);
  slot.single.optimistic = 0;
  slot.single.confirmed_tick = number & 0x7fffffffU;
}

void BlockTable::append(Slot& slot, const Holder& holder) {
  const std::uint32_t count = slot.count();
  const bool full = !slot.isPooled() || slot.capacity() == count;
  std::uint32_t number = slot.pooled();
  if (full) {
    number = pool_.allocate(std::bit_ceil(count + 1));
    std::copy_n(holders(slot), count, pool_.at(number));
    if (slot.isPooled()) pool_.release(slot.pooled(), slot.capacity());
  }
  pool_.at(number)[count] = holder;
  setPooled(slot, number, count + 1);
}

void BlockTable::erase(BlockHash hash, EngineSlot engine) {
  const std::size_t place = locate(normalize(hash));
  if (slots_[place].hash == 0) return;
  const Holder* first = holders(slots_[place]);
  for (std::uint32_t position = 0; position < slots_[place].count(); ++position) {
    if (first[position].engine == engine) return removeHolder(place, position);
  }
}

void BlockTable::removeHolder(std::size_t place, std::uint32_t position) {
  --size_;
  Slot& slot = slots_[place];
  if (!slot.isPooled()) return closeGap(place);
  const std::uint32_t number = slot.pooled();
  const std::uint32_t capacity = slot.capacity();
  const std::uint32_t left = slot.count() - 1;
  Holder* first = pool_.at(number);
  first[position] = first[left];
  if (left == 1) {
    slot.single = first[0];
    return pool_.release(number, capacity);
  }
  if (std::bit_ceil(left) == capacity) return setPooled(slot, number, left);
  const std::uint32_t smaller = pool_.allocate(std::bit_ceil(left));
  std::copy_n(pool_.at(number), left, pool_.at(smaller));
  pool_.release(number, capacity);
  setPooled(slot, smaller, left);
}

void BlockTable::closeGap(std::size_t hole) {
  for (std::size_t slot = next(hole); slots_[slot].hash != 0; slot = next(slot)) {
    const std::size_t wanted = home(slots_[slot].hash);
    // The entry may move back to the hole unless its home lies between the hole (exclusive) and its slot.
    const bool stays = hole <= slot ? (hole < wanted && wanted <= slot) : (hole < wanted || wanted <= slot);
    if (stays) continue;
    slots_[hole] = slots_[slot];
    hole = slot;
  }
  slots_[hole] = Slot{};
}

void BlockTable::eraseEngine(EngineSlot engine) {
  std::vector<BlockHash> held;
  for (const Slot& slot : slots_) {
    if (slot.hash == 0) continue;
    const Holder* first = holders(slot);
    const bool holds = std::any_of(first, first + slot.count(),
                                   [engine](const Holder& holder) { return holder.engine == engine; });
    if (holds) held.push_back(slot.hash);
  }
  for (const BlockHash hash : held) erase(hash, engine);
}

}  // namespace crankspur
