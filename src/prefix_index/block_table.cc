#include "prefix_index/block_table.h"

#include <algorithm>

#include "base/hash.h"

namespace crankspur {
namespace {

/// Slots per entry, as a fraction: a load factor of 0.8 keeps probe sequences short.
constexpr std::size_t kSlotsNumerator = 5;
constexpr std::size_t kSlotsDenominator = 4;
constexpr std::size_t kMinSlots = 64;

/// @return a hash of the fields that a match depends on. The fingerprint of a set of holders is the sum of
/// these hashes; sets with equal fingerprints are treated as equal.
std::uint64_t fingerprintOf(Holder holder) {
  if (holder.optimistic == 0) holder.confirmed_tick = 0;
  return mixBits(std::bit_cast<std::uint64_t>(holder));
}

}  // namespace

BlockTable::BlockTable(std::size_t max_entries) : max_entries_(std::max<std::size_t>(max_entries, 1)) {
  const std::size_t slots = max_entries_ * kSlotsNumerator / kSlotsDenominator + 1;
  slots_.resize(std::max(slots, kMinSlots));
}

std::size_t BlockTable::locate(BlockHash hash) const {
  std::size_t slot = idealSlot(hash);
  while (slots_[slot].hash != 0 && slots_[slot].hash != hash) slot = next(slot);
  return slot;
}

BlockTable::Position BlockTable::find(BlockHash hash, EngineSlot engine) const {
  const std::size_t slot_index = locate(normalize(hash));
  const Slot& slot = slots_[slot_index];
  if (slot.hash == 0) return {};
  const Holder* first = holders(slot);
  const std::uint32_t count = slot.count();
  for (std::uint32_t index = 0; index < count; ++index) {
    if (first[index].engine == engine) return {slot_index, index, first + index};
  }
  return {};
}

HolderSet BlockTable::holdersOf(BlockHash hash) const {
  const Slot& slot = slots_[locate(normalize(hash))];
  if (slot.hash == 0) return {};
  const std::uint64_t fingerprint =
      slot.hasFingerprint() ? std::bit_cast<std::uint64_t>(*pool_.at(slot.pooled())) : 0;
  return {{holders(slot), slot.count()}, fingerprint};
}

void BlockTable::replace(const Position& position, const Holder& holder) {
  Slot& slot = slots_[position.slot];
  Holder& old = holders(slot)[position.index];
  changeFingerprint(slot, fingerprintOf(holder) - fingerprintOf(old));
  old = holder;
}

void BlockTable::changeFingerprint(Slot& slot, std::uint64_t change) {
  if (!slot.hasFingerprint()) return;
  Holder* kept = pool_.at(slot.pooled());
  *kept = std::bit_cast<Holder>(std::bit_cast<std::uint64_t>(*kept) + change);
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
  if (slot.count() < kMaxHolders) {
    append(slot, holder);
    ++size_;
    return displaced;
  }
  const Holder* first = holders(slot);
  const Holder* oldest = std::min_element(
      first, first + slot.count(),
      [](const Holder& left, const Holder& right) { return left.confirmed_tick < right.confirmed_tick; });
  displaced = *oldest;
  replace({locate(hash), static_cast<std::uint32_t>(oldest - first), oldest}, holder);
  return displaced;
}

void BlockTable::setPooled(Slot& slot, std::uint32_t number, std::uint32_t count) {
  slot.single.engine = kNoEngine;
  slot.single.generation = static_cast<std::uint16_t>(count);
  slot.single.optimistic = 0;
  slot.single.confirmed_tick = number & 0x7fffffffU;
}

void BlockTable::resize(Slot& slot, std::uint32_t count) {
  const Slot old = slot;
  const std::uint32_t kept = std::min(old.count(), count);
  setPooled(slot, pool_.allocate(arraySize(count)), count);
  std::copy_n(holders(old), kept, holders(slot));
  if (old.isPooled()) pool_.release(old.pooled(), arraySize(old.count()));
  if (!slot.hasFingerprint()) return;
  *pool_.at(slot.pooled()) = std::bit_cast<Holder>(std::uint64_t{0});
  for (std::uint32_t index = 0; index < kept; ++index) {
    changeFingerprint(slot, fingerprintOf(holders(slot)[index]));
  }
}

void BlockTable::append(Slot& slot, const Holder& holder) {
  const std::uint32_t count = slot.count();
  if (slot.isPooled() && arraySize(count) == arraySize(count + 1)) {
    setPooled(slot, slot.pooled(), count + 1);
  } else {
    resize(slot, count + 1);
  }
  holders(slot)[count] = holder;
  changeFingerprint(slot, fingerprintOf(holder));
}

void BlockTable::removeHolder(std::size_t slot_index, std::uint32_t index) {
  --size_;
  Slot& slot = slots_[slot_index];
  if (!slot.isPooled()) return closeGap(slot_index);
  const std::uint32_t left = slot.count() - 1;
  Holder* first = holders(slot);
  changeFingerprint(slot, 0 - fingerprintOf(first[index]));
  first[index] = first[left];
  if (left == 1) {
    const std::uint32_t number = slot.pooled();
    slot.single = first[0];
    return pool_.release(number, arraySize(2));
  }
  if (arraySize(left) != arraySize(left + 1)) return resize(slot, left);
  setPooled(slot, slot.pooled(), left);
}

void BlockTable::closeGap(std::size_t hole) {
  for (std::size_t slot = next(hole); slots_[slot].hash != 0; slot = next(slot)) {
    const std::size_t wanted = idealSlot(slots_[slot].hash);
    // The entry may move back to the hole unless its ideal slot lies between the hole (exclusive) and its
    // slot.
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
  for (const BlockHash hash : held) erase(find(hash, engine));
}

}  // namespace crankspur
