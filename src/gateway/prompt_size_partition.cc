#include "gateway/prompt_size_partition.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "base/hash.h"

namespace crankspur::gateway {
namespace {

/// Long or short prompts with less than this share of the prefill time get no engines of their own.
constexpr double kMinShare = 0.05;
/// Minimum share of the engines for long and for short prompts, so that neither group is overloaded and each
/// tolerates the loss of an engine.
constexpr double kMinEngineShare = 0.25;

}  // namespace

void PromptSizePartition::onSnapshot(const GatewaySnapshot& snapshot) {
  absl::flat_hash_map<std::string, std::vector<std::pair<std::uint64_t, EngineSlot>>> ordered;
  for (const Backend& backend : snapshot.backends) {
    const EngineView& engine = backend.view;
    const bool stays = engine.state == EngineState::Live || engine.state == EngineState::Ejected;
    if (stays) ordered[engine.pool].emplace_back(hashBytes(engine.name), engine.slot);
  }
  ranks_.clear();
  for (auto& [pool, engines] : ordered) {
    std::sort(engines.begin(), engines.end());
    pools_[pool].engines = engines.size();
    for (std::size_t rank = 0; rank < engines.size(); ++rank) ranks_[engines[rank].second] = rank;
  }
}

void PromptSizePartition::observe(const std::string& pool, bool is_long, double seconds, TimePoint now) {
  Pool& entry = pools_[pool];
  (is_long ? entry.long_prompts : entry.short_prompts).add(seconds, now);
  const double long_rate = entry.long_prompts.perSecond(now);
  entry.long_share = long_rate / std::max(long_rate + entry.short_prompts.perSecond(now), 1e-9);
}

bool PromptSizePartition::suits(const EngineView& engine, bool is_long) const {
  const auto pool = pools_.find(engine.pool);
  const auto rank = ranks_.find(engine.slot);
  if (pool == pools_.end() || rank == ranks_.end() || pool->second.engines < 2) return true;
  const double share = pool->second.long_share;
  if (share < kMinShare || share > 1 - kMinShare) return true;
  const auto engines = static_cast<double>(pool->second.engines);
  const double min_engines = std::max(std::floor(kMinEngineShare * engines), 1.0);
  const double for_long = std::clamp(std::round(share * engines), min_engines, engines - min_engines);
  return (static_cast<double>(rank->second) < for_long) == is_long;
}

}  // namespace crankspur::gateway
