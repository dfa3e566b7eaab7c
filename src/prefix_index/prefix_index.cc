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

/// What the index knows of an engine slot.
struct SlotState {
  std::uint64_t incarnation = 0;
  std::uint64_t last_sequence = 0;
  std::uint32_t entries = 0;  ///< Entries of the present generation.
};

/// @return a number by which longer prefixes come first, and equal ones by engine; one comparison of numbers
/// sorts faster than one of two fields.
std::uint64_t rankOf(const PrefixMatch& match) {
  return (std::uint64_t{~match.blocks} << 16) | match.engine;
}

class TablePrefixIndex : public PrefixIndex {
public:
  explicit TablePrefixIndex(std::size_t maximum_entries) : table_(maximum_entries) {}

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
  /// @return the slot's state, or nullptr when `incarnation` is not the present one.
  SlotState* present(EngineSlot engine, std::uint64_t incarnation);
  std::uint32_t tick(TimePoint now) const;
  bool isLive(const Holder& entry) const { return entry.generation == generations_[entry.engine]; }
  bool counts(const Holder& entry, std::uint32_t now_tick) const;
  /// Makes every entry of the slot dead at once.
  void retireEntries(EngineSlot engine);
  void store(EngineSlot engine, BlockHash hash, bool optimistic, std::uint32_t now_tick);
  void remove(EngineSlot engine, BlockHash hash, std::uint32_t now_tick);
  /// Marks the holders that were in the running so far, as of walk number `walk`; at the first walk all are.
  /// @return whether there is any.
  bool extend(std::span<const Holder> holders, std::uint32_t walk, std::uint32_t now_tick,
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
  // Scratch of match(). A walk reads all holders of one block.
  mutable std::vector<std::uint32_t> last_walk_;       ///< Last walk that an engine was in, by engine slot.
  mutable std::vector<std::uint32_t> first_guess_;     ///< First walk that found it unconfirmed; 0: none.
  mutable std::vector<std::uint32_t> walk_positions_;  ///< Position of the block, by walk.
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
  const BlockTable::Position place = table_.find(hash, engine);
  const bool known = place.holder != nullptr && isLive(*place.holder);
  if (!known) {
    ++state.entries;
    ++live_entries_;
  }
  if (place.holder == nullptr) {
    makeRoom();
    noteRemoved(table_.insert(hash, {engine, generations_[engine], optimistic, now_tick & kTickMask}));
    return;
  }
  // A placement renews what is confirmed but never turns it back into a guess.
  const bool stays_confirmed = known && place.holder->optimistic == 0;
  const bool guess = optimistic && !stays_confirmed;
  table_.replace(place, {engine, generations_[engine], guess, now_tick & kTickMask});
}

void TablePrefixIndex::remove(EngineSlot engine, BlockHash hash, std::uint32_t now_tick) {
  const BlockTable::Position place = table_.find(hash, engine);
  if (place.holder == nullptr) return;
  // Events are late: this removal may tell of a copy older than the one a fresh placement is creating.
  const bool being_created = place.holder->optimistic == 1 && counts(*place.holder, now_tick);
  if (being_created) return;
  noteRemoved(*place.holder);
  table_.erase(place);
}

void TablePrefixIndex::recordPlacement(EngineSlot engine, std::uint64_t incarnation,
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

bool TablePrefixIndex::extend(std::span<const Holder> holders, std::uint32_t walk, std::uint32_t now_tick,
                              std::vector<PrefixMatch>& matches) const {
  bool any = false;
  for (const Holder& entry : holders) {
    std::uint32_t& last_walk = last_walk_[entry.engine];
    if (last_walk != walk - 1 || !counts(entry, now_tick)) continue;
    std::uint32_t& first_guess = first_guess_[entry.engine];
    if (walk == 1) {
      matches.push_back({entry.engine, 0, 0});
      first_guess = 0;
    }
    if (entry.optimistic == 1 && first_guess == 0) first_guess = walk;
    last_walk = walk;
    any = true;
  }
  return any;
}

std::vector<PrefixMatch> TablePrefixIndex::match(std::span<const BlockHash> blocks, TimePoint now) const {
  last_walk_.assign(slots_.size(), 0);
  first_guess_.resize(slots_.size());
  walk_positions_.assign(1, 0);
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
    // The same holders as of the block before: nobody falls out.
    if (set.fingerprint != 0 && set.fingerprint == fingerprint) continue;
    fingerprint = set.fingerprint;
    const auto walk = static_cast<std::uint32_t>(walk_positions_.size());
    if (!extend(set.holders, walk, now_tick, matches)) break;
    walk_positions_.push_back(position);
  }
  // An engine's prefix ends where the walk after its last one found it missing.
  walk_positions_.push_back(position);
  for (PrefixMatch& found : matches) {
    found.blocks = walk_positions_[last_walk_[found.engine] + 1];
    const std::uint32_t guess = first_guess_[found.engine];
    found.confirmed_blocks = guess == 0 ? found.blocks : walk_positions_[guess];
  }
  std::sort(matches.begin(), matches.end(),
            [](const PrefixMatch& left, const PrefixMatch& right) { return rankOf(left) < rankOf(right); });
  return matches;
}

std::size_t TablePrefixIndex::memoryBytes() const {
  return table_.memoryBytes() + slots_.capacity() * (sizeof(SlotState) + sizeof(std::uint16_t)) +
         (last_walk_.capacity() + first_guess_.capacity() + walk_positions_.capacity()) *
             sizeof(std::uint32_t);
}

}  // namespace

std::unique_ptr<PrefixIndex> makePrefixIndex(std::size_t maximum_entries) {
  return std::make_unique<TablePrefixIndex>(maximum_entries);
}

}  // namespace crankspur
