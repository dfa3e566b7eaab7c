#include "prefix_index/prefix_index.h"

#include <algorithm>

#include "prefix_index/block_table.h"

namespace crankspur {
namespace {

/// Resolution of confirmation times; 31 bits of ticks last 6.8 years.
constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr std::uint32_t kTickMask = 0x7fffffff;
constexpr std::uint32_t kOptimisticTicks = kOptimisticLifetime / kTick;
/// Number of blocks by which match() prefetches table slots ahead.
constexpr std::size_t kPrefetchDistance = 16;

/// State of an engine slot.
struct SlotState {
  std::uint64_t incarnation = 0;
  std::uint64_t last_sequence = 0;
  std::uint32_t entries = 0;  ///< Entries of the current generation.
};

/// @return a key that sorts longer prefixes first and equal ones by engine. Comparing a single integer sorts
/// faster than comparing two fields.
std::uint64_t sortKey(const PrefixMatch& match) {
  return (std::uint64_t{~match.blocks} << 16) | match.engine;
}

class TablePrefixIndex : public PrefixIndex {
public:
  explicit TablePrefixIndex(std::size_t max_entries) : table_(max_entries) {}

  void setIncarnation(EngineSlot engine, std::uint64_t incarnation) override;
  void forgetEngine(EngineSlot engine) override;
  void recordPlacement(EngineSlot engine, std::uint64_t incarnation, std::span<const BlockHash> blocks,
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
  /// @return the slot's state, or nullptr when `incarnation` is not the current one.
  SlotState* findCurrent(EngineSlot engine, std::uint64_t incarnation);
  std::uint32_t tick(TimePoint now) const;
  bool isLive(const Holder& entry) const { return entry.generation == generations_[entry.engine]; }
  bool countsAsCached(const Holder& entry, std::uint32_t now_tick) const;
  /// Makes every entry of the slot dead at once, by starting a new generation.
  void retireEntries(EngineSlot engine);
  void store(EngineSlot engine, BlockHash hash, bool optimistic, std::uint32_t now_tick);
  void remove(EngineSlot engine, BlockHash hash, std::uint32_t now_tick);
  /// Extends the prefixes of the engines that hold every block before step `step` and are among `holders`;
  /// the first step adds every holder that counts as cached to `matches`.
  /// @return whether any prefix was extended.
  bool extend(std::span<const Holder> holders, std::uint32_t step, std::uint32_t now_tick,
              std::vector<PrefixMatch>& matches) const;
  /// Prefetches the slots and holders that match() needs a few blocks later.
  void prefetchAhead(std::span<const BlockHash> blocks, std::size_t position) const;
  void evictIfFull();
  /// Updates the entry count of the slot for an entry that leaves the table.
  void recordRemoval(const Holder& entry);

  BlockTable table_;
  std::vector<SlotState> slots_;
  std::vector<std::uint16_t> generations_;  ///< By engine slot; entries of other generations are dead.
  std::size_t live_entries_ = 0;
  TimePoint epoch_ = TimePoint::min();
  // Scratch buffers of match(), whose steps each read all holders of one block.
  mutable std::vector<std::uint32_t> last_step_;         ///< Last step with a live entry, by engine slot.
  mutable std::vector<std::uint32_t> first_optimistic_;  ///< First step with an optimistic one; 0: none.
  mutable std::vector<std::uint32_t> step_positions_;    ///< Position of the block in the prompt, by step.
};

SlotState& TablePrefixIndex::slotState(EngineSlot engine) {
  if (engine >= slots_.size()) {
    slots_.resize(engine + 1U);
    generations_.resize(engine + 1U);
  }
  return slots_[engine];
}

SlotState* TablePrefixIndex::findCurrent(EngineSlot engine, std::uint64_t incarnation) {
  if (engine >= slots_.size() || incarnation == 0) return nullptr;
  SlotState& state = slots_[engine];
  return state.incarnation == incarnation ? &state : nullptr;
}

std::uint32_t TablePrefixIndex::tick(TimePoint now) const {
  // The epoch is set with the first entry.
  if (epoch_ == TimePoint::min()) return 0;
  return now <= epoch_ ? 0 : static_cast<std::uint32_t>((now - epoch_) / kTick);
}

bool TablePrefixIndex::countsAsCached(const Holder& entry, std::uint32_t now_tick) const {
  if (!isLive(entry)) return false;
  return entry.optimistic == 0 || entry.confirmed_tick + kOptimisticTicks > now_tick;
}

void TablePrefixIndex::retireEntries(EngineSlot engine) {
  SlotState& state = slotState(engine);
  live_entries_ -= state.entries;
  state.entries = 0;
  state.last_sequence = 0;
  ++generations_[engine];
  // The generation number wrapped around: entries of earlier generations must not become live again.
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

void TablePrefixIndex::evictIfFull() {
  if (table_.size() < table_.maxEntries()) return;
  table_.evictOne([this](const Holder& entry) { return !isLive(entry); },
                  [this](const Holder& entry) { recordRemoval(entry); });
}

void TablePrefixIndex::recordRemoval(const Holder& entry) {
  if (entry.engine == BlockTable::kNoEngine || !isLive(entry)) return;
  --slots_[entry.engine].entries;
  --live_entries_;
}

void TablePrefixIndex::store(EngineSlot engine, BlockHash hash, bool optimistic, std::uint32_t now_tick) {
  SlotState& state = slots_[engine];
  const BlockTable::Position position = table_.find(hash, engine);
  const bool known = position.holder != nullptr && isLive(*position.holder);
  if (!known) {
    ++state.entries;
    ++live_entries_;
  }
  if (position.holder == nullptr) {
    evictIfFull();
    recordRemoval(table_.insert(hash, {engine, generations_[engine], optimistic, now_tick & kTickMask}));
    return;
  }
  // A placement refreshes a confirmed entry but never makes it optimistic again.
  const bool stays_confirmed = known && position.holder->optimistic == 0;
  const bool is_optimistic = optimistic && !stays_confirmed;
  table_.replace(position, {engine, generations_[engine], is_optimistic, now_tick & kTickMask});
}

void TablePrefixIndex::remove(EngineSlot engine, BlockHash hash, std::uint32_t now_tick) {
  const BlockTable::Position position = table_.find(hash, engine);
  if (position.holder == nullptr) return;
  // Events arrive late: the removed copy may be older than the one that a recent placement is creating.
  const bool being_created = position.holder->optimistic == 1 && countsAsCached(*position.holder, now_tick);
  if (being_created) return;
  recordRemoval(*position.holder);
  table_.erase(position);
}

void TablePrefixIndex::recordPlacement(EngineSlot engine, std::uint64_t incarnation,
                                       std::span<const BlockHash> blocks, TimePoint now) {
  if (findCurrent(engine, incarnation) == nullptr) return;
  if (epoch_ == TimePoint::min()) epoch_ = now;
  for (const BlockHash hash : blocks) store(engine, hash, true, tick(now));
}

bool TablePrefixIndex::applyEvent(EngineSlot engine, std::uint64_t incarnation, const CacheEvent& event,
                                  TimePoint now) {
  SlotState* state = findCurrent(engine, incarnation);
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
  SlotState* state = findCurrent(engine, incarnation);
  if (state == nullptr || sequence < state->last_sequence) return;
  if (epoch_ == TimePoint::min()) epoch_ = now;
  retireEntries(engine);
  slots_[engine].last_sequence = sequence;
  for (const BlockHash hash : blocks) store(engine, hash, false, tick(now));
}

void TablePrefixIndex::correct(EngineSlot engine, std::uint64_t incarnation,
                               std::span<const BlockHash> blocks, std::uint32_t /*cached_blocks*/,
                               TimePoint now) {
  // All blocks are held whatever was cached at the start; evictions are reported by events and later
  // responses.
  if (findCurrent(engine, incarnation) == nullptr) return;
  if (epoch_ == TimePoint::min()) epoch_ = now;
  for (const BlockHash hash : blocks) store(engine, hash, false, tick(now));
}

void TablePrefixIndex::prefetchAhead(std::span<const BlockHash> blocks, std::size_t position) const {
  const std::size_t slot_ahead = position + kPrefetchDistance;
  const std::size_t holders_ahead = position + kPrefetchDistance / 2;
  if (slot_ahead < blocks.size()) table_.prefetch(blocks[slot_ahead]);
  if (holders_ahead < blocks.size()) table_.prefetchHolders(blocks[holders_ahead]);
}

bool TablePrefixIndex::extend(std::span<const Holder> holders, std::uint32_t step, std::uint32_t now_tick,
                              std::vector<PrefixMatch>& matches) const {
  bool any = false;
  for (const Holder& entry : holders) {
    std::uint32_t& last_step = last_step_[entry.engine];
    if (last_step != step - 1 || !countsAsCached(entry, now_tick)) continue;
    std::uint32_t& first_optimistic = first_optimistic_[entry.engine];
    if (step == 1) {
      matches.push_back({entry.engine, 0, 0});
      first_optimistic = 0;
    }
    if (entry.optimistic == 1 && first_optimistic == 0) first_optimistic = step;
    last_step = step;
    any = true;
  }
  return any;
}

std::vector<PrefixMatch> TablePrefixIndex::match(std::span<const BlockHash> blocks, TimePoint now) const {
  last_step_.assign(slots_.size(), 0);
  first_optimistic_.resize(slots_.size());
  step_positions_.assign(1, 0);
  std::vector<PrefixMatch> matches;
  const std::uint32_t now_tick = tick(now);
  for (std::size_t ahead = 0; ahead < kPrefetchDistance && ahead < blocks.size(); ++ahead) {
    table_.prefetch(blocks[ahead]);
  }
  std::uint64_t fingerprint = 0;
  std::uint32_t position = 0;
  for (; position < blocks.size(); ++position) {
    prefetchAhead(blocks, position);
    const HolderSet set = table_.holdersOf(blocks[position]);
    // The block has the same holders as the previous one, so every prefix continues.
    if (set.fingerprint != 0 && set.fingerprint == fingerprint) continue;
    fingerprint = set.fingerprint;
    const auto step = static_cast<std::uint32_t>(step_positions_.size());
    if (!extend(set.holders, step, now_tick, matches)) break;
    step_positions_.push_back(position);
  }
  // The prefix of an engine ends at the block of the step after the engine's last one.
  step_positions_.push_back(position);
  for (PrefixMatch& found : matches) {
    found.blocks = step_positions_[last_step_[found.engine] + 1];
    const std::uint32_t optimistic_step = first_optimistic_[found.engine];
    found.confirmed_blocks = optimistic_step == 0 ? found.blocks : step_positions_[optimistic_step];
  }
  std::sort(matches.begin(), matches.end(),
            [](const PrefixMatch& left, const PrefixMatch& right) { return sortKey(left) < sortKey(right); });
  return matches;
}

std::size_t TablePrefixIndex::memoryBytes() const {
  return table_.memoryBytes() + slots_.capacity() * (sizeof(SlotState) + sizeof(std::uint16_t)) +
         (last_step_.capacity() + first_optimistic_.capacity() + step_positions_.capacity()) *
             sizeof(std::uint32_t);
}

}  // namespace

std::unique_ptr<PrefixIndex> makePrefixIndex(std::size_t max_entries) {
  return std::make_unique<TablePrefixIndex>(max_entries);
}

}  // namespace crankspur
