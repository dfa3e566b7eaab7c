#include "sim/experiment/fleet.h"

#include <fmt/format.h>

#include "base/hash.h"

namespace crankspur::experiment {

void WorkLedger::add(std::uint64_t dispatch, std::span<const BlockHash> blocks, std::uint32_t uncached_tokens,
                     const standin::EngineTimings& timings, TimePoint now) {
  const std::uint32_t chunks =
      (uncached_tokens + timings.prefill_chunk_tokens - 1) / timings.prefill_chunk_tokens;
  const Duration prefill(
      static_cast<std::int64_t>(uncached_tokens / timings.prefill_tokens_per_second * 1e6));
  idle_at_ = std::max(idle_at_, now) + prefill + timings.prefill_chunk_base * chunks;
  for (const BlockHash block : blocks) ++planned_blocks_[block];
  dispatches_.emplace(dispatch, std::vector<BlockHash>(blocks.begin(), blocks.end()));
}

void WorkLedger::remove(std::uint64_t dispatch) {
  const auto entry = dispatches_.find(dispatch);
  if (entry == dispatches_.end()) return;
  for (const BlockHash block : entry->second) {
    const auto planned = planned_blocks_.find(block);
    if (--planned->second == 0) planned_blocks_.erase(planned);
  }
  dispatches_.erase(entry);
  if (dispatches_.empty()) idle_at_ = TimePoint{};
}

void WorkLedger::clear() {
  *this = WorkLedger();
}

std::uint32_t WorkLedger::plannedPrefix(std::span<const BlockHash> blocks, std::uint32_t cached) const {
  while (cached < blocks.size() && planned_blocks_.contains(blocks[cached])) ++cached;
  return cached;
}

Fleet::Fleet(const Site& site, sim::EventQueue& queue, std::uint64_t seed)
    : site_(site), queue_(queue), ledgers_(site.engines) {
  for (std::uint32_t index = 0; index < site.engines; ++index) {
    standin::EngineOptions options;
    options.name = fmt::format("engine{}", index);
    options.models.push_back({kModel, kWeights, {}});
    engines_.push_back(std::make_unique<EngineHost>(queue, options, site.timings, combineHashes(seed, index),
                                                    static_cast<EngineSlot>(index), index % site.zones));
    EngineHost* host = engines_.back().get();
    host->setImportResolver([this, host](const standin::ImportQuery& query) { resolveImport(*host, query); });
  }
}

Duration Fleet::delay(std::uint32_t from_zone, std::uint32_t to_zone) const {
  return from_zone == to_zone ? site_.delay_in_zone : site_.delay_between_zones;
}

std::uint32_t Fleet::longestHeldPrefix(std::span<const BlockHash> blocks) const {
  std::uint32_t longest = 0;
  for (const auto& engine : engines_) {
    if (engine->up()) longest = std::max(longest, engine->model().cachedPrefixLength(blocks));
  }
  return longest;
}

void Fleet::crash(EngineSlot slot, Duration down) {
  ledgers_[slot].clear();
  engines_[slot]->crash(down);
}

void Fleet::resolveImport(EngineHost& target, const standin::ImportQuery& query) {
  for (const auto& source : engines_) {
    if (source->address() != query.address) continue;
    const Duration one_way = delay(target.zone(), source->zone());
    queue_.after(one_way, [this, &target, source = source.get(), query, one_way] {
      if (!source->up() || source->frozen()) return;
      const std::uint32_t held = source->model().cachedPrefixLength(query.blocks);
      const std::uint64_t incarnation = source->model().incarnation();
      queue_.after(one_way, [&target, query, held, incarnation] {
        target.onImportResponse(query.request_id, query.attempt, held, incarnation);
      });
    });
    return;
  }
}

}  // namespace crankspur::experiment
