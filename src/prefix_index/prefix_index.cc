#include "prefix_index/prefix_index.h"

#include <algorithm>

#include "prefix_index/block_table.h"

namespace crankspur {
namespace {

/// Resolution of confirmation times; 31 bits of it last 6.8 years.
constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr std::uint32_t kTickMask = 0x7fffffff;
constexpr std::uint32_t kOptimisticTicks = kOptimisticLifetime / kTick;
/// Blocks whose table slots are loaded ahead while matching.
constexpr std::size_t kPrefetchDistance = 16;

/// While more engines than this hold a prefix, match() looks at one block in kStride: engines evict the ends
/// of prefixes first, so that a hole in a prefix that many hold is rare, and answers correct it.
constexpr std::size_t kStrideHolders = 16;
constexpr std::uint32_t kStride = 4;

/// What the index knows of an engine slot.
struct SlotState {
  std::uint64_t incarnation = 0;
  std::uint64_t last_sequence = 0;
  std::uint32_t entries = 0;  ///< Entries of the present generation.
};

class TablePrefixIndex : public PrefixIndex {
public:
  explicit TablePrefixIndex(std::size_t maximum_entries) : table_(maximum_entries) {}

  void setIncarnation(EngineSlot engine, std::uint64_t incarnation) override;
  void forgetEngine(EngineSlot engine) override;
  void notePlaced(EngineSlot engine, std::uint64_t incarnation, std::span<const BlockHash> blocks,
                  TimePoint now) override;
  bool applyEvent(EngineSlot engine, std::uint64_t incarnation, const CacheEvent& event,
                  TimePoint now) override;
  void applyDigest(EngineSlot engine, std::uint64_t incarnation, std::uint64_t sequence,
                   std::span<const BlockHash> blocks, TimePoint now) override;
  void correct(EngineSlot engine, std::uint64_t incarnation, std::span<const BlockHash> blocks,
               std::uint32_t cached_blocks, TimePoint now) override;
  std::vector<PrefixMatch> match(std::span<const BlockHash> blocks, TimePoint now) const override;
  std::size_t size() const override { return live_entries_; }
  std::size_t memoryBytes() const override;

private:
  SlotState& slotState(EngineSlot engine);
  /// @return the slot's state, or nullptr when `incarnation` is not the present one.
  SlotState* present(EngineSlot engine, std::uint64_t incarnation);
  std::uint32_t tick(TimePoint now) const;
  bool isLive(const Holder& entry) const { return entry.generation == generations_[entry.engine]; }
  bool counts(const Holder& entry, std::uint32_t now_tick) const;
  /// Makes every entry of the slot dead at once.
  void retireEntries(EngineSlot engine);
  void store(EngineSlot engine, BlockHash hash, bool optimistic, std::uint32_t now_tick);
  void remove(EngineSlot engine, BlockHash hash, std::uint32_t now_tick);
  /// Finds the engines that hold `known` leading blocks and this one too, at `position`; notes their depth.
  /// @return how many there are.
  std::size_t extend(BlockHash block, std::uint32_t known, std::uint32_t position, std::uint32_t now_tick,
                     std::vector<PrefixMatch>& matches) const;
  /// Loads what match() needs a few blocks later.
  void prefetchAhead(std::span<const BlockHash> blocks, std::size_t position) const;
  void makeRoom();
  /// Counts an entry that leaves the table.
  void noteRemoved(const Holder& entry);

  BlockTable table_;
  std::vector<SlotState> slots_;
  std::vector<std::uint16_t> generations_;  ///< By engine slot; entries of other generations are dead.
  std::size_t live_entries_ = 0;
  TimePoint epoch_ = TimePoint::min();
  mutable std::vector<std::uint32_t> depth_;  ///< Scratch of match(): leading blocks by engine slot.
};

SlotState& TablePrefixIndex::slotState(EngineSlot engine) {
  if (engine >= slots_.size()) {
    slots_.resize(engine + 1U);
    generations_.resize(engine + 1U);
  }
  return slots_[engine];
}

SlotState* TablePrefixIndex::present(EngineSlot engine, std::uint64_t incarnation) {
  if (engine >= slots_.size() || incarnation == 0) return nullptr;
  SlotState& state = slots_[engine];
  return state.incarnation == incarnation ? &state : nullptr;
}

std::uint32_t TablePrefixIndex::tick(TimePoint now) const {
  // Before the first entry there is no epoch to count from.
  if (epoch_ == TimePoint::min()) return 0;
  return now <= epoch_ ? 0 : static_cast<std::uint32_t>((now - epoch_) / kTick);
}

bool TablePrefixIndex::counts(const Holder& entry, std::uint32_t now_tick) const {
  if (!isLive(entry)) return false;
  return entry.optimistic == 0 || entry.confirmed_tick + kOptimisticTicks > now_tick;
}

void TablePrefixIndex::retireEntries(EngineSlot engine) {
  SlotState& state = slotState(engine);
  live_entries_ -= state.entries;
  state.entries = 0;
  state.last_sequence = 0;
  ++generations_[engine];
  // Generation numbers begin anew: no entry of an earlier round may come back to life.
  if (generations_[engine] == 0) table_.eraseEngine(engine);
}

void TablePrefixIndex::setIncarnation(EngineSlot engine, std::uint64_t incarnation) {
  SlotState& state = slotState(engine);
  if (state.incarnation == incarnation) return;
  retireEntries(engine);
  slots_[engine].incarnation = incarnation;
}

void TablePrefixIndex::forgetEngine(EngineSlot engine) {
  retireEntries(engine);
  slots_[engine].incarnation = 0;
}

void TablePrefixIndex::makeRoom() {
  if (table_.size() < table_.maximumEntries()) return;
  table_.evictOne([this](const Holder& entry) { return !isLive(entry); },
                  [this](const Holder& entry) { noteRemoved(entry); });
}

void TablePrefixIndex::noteRemoved(const Holder& entry) {
  if (entry.engine == BlockTable::kNoEngine || !isLive(entry)) return;
  --slots_[entry.engine].entries;
  --live_entries_;
}

void TablePrefixIndex::store(EngineSlot engine, BlockHash hash, bool optimistic, std::uint32_t now_tick) {
  SlotState& state = slots_[engine];
  Holder* entry = table_.find(hash, engine);
  const bool known = entry != nullptr && isLive(*entry);
  if (!known) {
    ++state.entries;
    ++live_entries_;
  }
  if (entry == nullptr) {
    makeRoom();
    noteRemoved(table_.insert(hash, {engine, generations_[engine], optimistic, now_tick & kTickMask}));
    return;
  }
  entry->generation = generations_[engine];
  // A placement renews what is confirmed but never turns it back into a guess.
  const bool stays_confirmed = known && entry->optimistic == 0;
  entry->optimistic = optimistic && !stays_confirmed ? 1 : 0;
  entry->confirmed_tick = now_tick & kTickMask;
}

void TablePrefixIndex::remove(EngineSlot engine, BlockHash hash, std::uint32_t now_tick) {
  Holder* entry = table_.find(hash, engine);
  if (entry == nullptr) return;
  // Events are late: this removal may tell of a copy older than the one a fresh placement is creating.
  const bool being_created = entry->optimistic == 1 && counts(*entry, now_tick);
  if (being_created) return;
  noteRemoved(*entry);
  table_.erase(hash, engine);
}

void TablePrefixIndex::notePlaced(EngineSlot engine, std::uint64_t incarnation,
                                  std::span<const BlockHash> blocks, TimePoint now) {
  if (present(engine, incarnation) == nullptr) return;
  if (epoch_ == TimePoint::min()) epoch_ = now;
  for (const BlockHash hash : blocks) store(engine, hash, true, tick(now));
}

bool TablePrefixIndex::applyEvent(EngineSlot engine, std::uint64_t incarnation, const CacheEvent& event,
                                  TimePoint now) {
  SlotState* state = present(engine, incarnation);
  if (state == nullptr) return true;
  if (event.sequence <= state->last_sequence) return true;
  if (epoch_ == TimePoint::min()) epoch_ = now;
  const bool in_order = event.sequence == state->last_sequence + 1;
  state->last_sequence = event.sequence;
  for (const BlockHash hash : event.stored) store(engine, hash, false, tick(now));
  for (const BlockHash hash : event.removed) remove(engine, hash, tick(now));
  return in_order;
}

void TablePrefixIndex::applyDigest(EngineSlot engine, std::uint64_t incarnation, std::uint64_t sequence,
                                   std::span<const BlockHash> blocks, TimePoint now) {
  SlotState* state = present(engine, incarnation);
  if (state == nullptr || sequence < state->last_sequence) return;
  if (epoch_ == TimePoint::min()) epoch_ = now;
  retireEntries(engine);
  slots_[engine].last_sequence = sequence;
  for (const BlockHash hash : blocks) store(engine, hash, false, tick(now));
}

void TablePrefixIndex::correct(EngineSlot engine, std::uint64_t incarnation,
                               std::span<const BlockHash> blocks, std::uint32_t /*cached_blocks*/,
                               TimePoint now) {
  // Whatever was cached at the start, all blocks are held now; eviction shows in events or later answers.
  if (present(engine, incarnation) == nullptr) return;
  if (epoch_ == TimePoint::min()) epoch_ = now;
  for (const BlockHash hash : blocks) store(engine, hash, false, tick(now));
}

void TablePrefixIndex::prefetchAhead(std::span<const BlockHash> blocks, std::size_t position) const {
  const std::size_t slot_ahead = position + kPrefetchDistance;
  const std::size_t holders_ahead = position + kPrefetchDistance / 2;
  if (slot_ahead < blocks.size()) table_.prefetch(blocks[slot_ahead]);
  if (holders_ahead < blocks.size()) table_.prefetchHolders(blocks[holders_ahead]);
}

std::size_t TablePrefixIndex::extend(BlockHash block, std::uint32_t known, std::uint32_t position,
                                     std::uint32_t now_tick, std::vector<PrefixMatch>& matches) const {
  std::size_t extended = 0;
  table_.forEachHolder(block, [&](const Holder& entry) {
    if (depth_[entry.engine] != known || !counts(entry, now_tick)) return;
    if (position == 0) matches.push_back({entry.engine, 0});
    depth_[entry.engine] = position + 1;
    ++extended;
  });
  return extended;
}

std::vector<PrefixMatch> TablePrefixIndex::match(std::span<const BlockHash> blocks, TimePoint now) const {
  depth_.assign(slots_.size(), 0);
  std::vector<PrefixMatch> matches;
  const std::uint32_t now_tick = tick(now);
  for (std::size_t ahead = 0; ahead < kPrefetchDistance && ahead < blocks.size(); ++ahead) {
    table_.prefetch(blocks[ahead]);
  }
  std::uint32_t known = 0;  // Leading blocks that the engines still in the running hold.
  std::size_t running = 0;
  std::uint32_t position = 0;
  while (known < blocks.size()) {
    prefetchAhead(blocks, position);
    const std::size_t extended = extend(blocks[position], known, position, now_tick, matches);
    // Some fell out within a stride: see how far each of them reaches.
    for (std::uint32_t back = known; extended < running && back < position; ++back) {
      extend(blocks[back], back, back, now_tick, matches);
    }
    if (extended == 0) break;
    running = extended;
    known = position + 1;
    const std::uint32_t step = running > kStrideHolders ? kStride : 1;
    position = std::min(position + step, static_cast<std::uint32_t>(blocks.size() - 1));
  }
  for (PrefixMatch& found : matches) found.blocks = depth_[found.engine];
  std::sort(matches.begin(), matches.end(), [](const PrefixMatch& left, const PrefixMatch& right) {
    return left.blocks != right.blocks ? left.blocks > right.blocks : left.engine < right.engine;
  });
  return matches;
}

std::size_t TablePrefixIndex::memoryBytes() const {
  return table_.memoryBytes() + slots_.capacity() * (sizeof(SlotState) + sizeof(std::uint16_t)) +
         depth_.capacity() * sizeof(std::uint32_t);
}

}  // namespace

std::unique_ptr<PrefixIndex> makePrefixIndex(std::size_t maximum_entries) {
  return std::make_unique<TablePrefixIndex>(maximum_entries);
}

}  // namespace crankspur
