#include "gateway/part_index.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace crankspur::gateway {

std::uint32_t blocksOf(std::uint32_t tokens) {
  return static_cast<std::uint32_t>((tokens + kTokensPerBlock - 1) / kTokensPerBlock);
}

std::string cacheScope(const std::string& weights_version, const std::string& isolated_tenant) {
  std::string scope = "w" + weights_version;
  if (!isolated_tenant.empty()) scope += "/" + isolated_tenant;
  return scope;
}

std::uint64_t partKey(const std::string& scope, const std::string& model, std::uint64_t part) {
  return combineHashes(hashBytes(model, hashBytes(scope)), part);
}

std::vector<KeyedPart> keyedParts(const std::string& scope, const std::string& model,
                                  const std::vector<PromptPart>& prompt) {
  const std::uint64_t seed = hashBytes(model, hashBytes(scope));
  std::vector<KeyedPart> parts;
  parts.reserve(prompt.size());
  for (const PromptPart& part : prompt) parts.push_back({combineHashes(seed, part.id), part.tokens});
  return parts;
}

void PartIndex::setIncarnation(EngineSlot engine, std::uint64_t incarnation) {
  if (engine >= engines_.size()) engines_.resize(engine + 1U);
  if (engines_[engine].incarnation == incarnation) return;
  removeAll(engine);
  engines_[engine].incarnation = incarnation;
}

PartIndex::EngineParts* PartIndex::findCurrent(EngineSlot engine, std::uint64_t incarnation) {
  if (engine >= engines_.size() || incarnation == 0) return nullptr;
  EngineParts& parts = engines_[engine];
  return parts.incarnation == incarnation ? &parts : nullptr;
}

void PartIndex::removeAll(EngineSlot engine) {
  const absl::flat_hash_set<std::uint64_t> keys = std::exchange(engines_[engine].keys, {});
  for (const std::uint64_t key : keys) erase(engine, key);
}

/// Removes the engine from the holders of a part. The caller updates the engine's set of keys.
void PartIndex::erase(EngineSlot engine, std::uint64_t key) {
  const auto found = holders_.find(key);
  Holders& holders = found->second;
  const auto holder = std::find_if(holders.begin(), holders.end(),
                                   [engine](const Holder& entry) { return entry.engine == engine; });
  *holder = holders.back();
  holders.pop_back();
  if (holders.empty()) holders_.erase(found);
  --entries_;
}

void PartIndex::evictIfFull() {
  if (entries_ < max_entries_) return;
  while (engines_[next_evicted_ % engines_.size()].keys.empty()) ++next_evicted_;
  const std::size_t engine = next_evicted_++ % engines_.size();
  absl::flat_hash_set<std::uint64_t>& keys = engines_[engine].keys;
  const std::uint64_t key = *keys.begin();
  keys.erase(keys.begin());
  erase(static_cast<EngineSlot>(engine), key);
}

void PartIndex::set(EngineSlot engine, std::uint64_t incarnation, KeyedPart part) {
  EngineParts* parts = findCurrent(engine, incarnation);
  if (parts == nullptr) return;
  if (part.tokens == 0) {
    if (parts->keys.erase(part.key) > 0) erase(engine, part.key);
    return;
  }
  if (!parts->keys.contains(part.key)) {
    evictIfFull();
    parts->keys.insert(part.key);
    holders_[part.key].push_back({engine, part.tokens});
    ++entries_;
    return;
  }
  for (Holder& holder : holders_[part.key]) {
    if (holder.engine == engine) holder.tokens = part.tokens;
  }
}

void PartIndex::clear(EngineSlot engine, std::uint64_t incarnation) {
  if (findCurrent(engine, incarnation) != nullptr) removeAll(engine);
}

/// An engine's prefix extends into a part only if the engine holds all previous parts completely.
std::vector<HeldPrefix> PartIndex::match(std::span<const KeyedPart> prompt) const {
  std::vector<HeldPrefix> matches;
  complete_parts_.assign(engines_.size(), 0);
  match_of_.resize(engines_.size());
  std::uint32_t before = 0;
  for (std::uint32_t position = 0; position < prompt.size(); ++position) {
    const KeyedPart& part = prompt[position];
    const auto found = holders_.find(part.key);
    if (found == holders_.end()) break;
    for (const Holder& holder : found->second) {
      if (complete_parts_[holder.engine] != position) continue;
      if (position == 0) {
        match_of_[holder.engine] = static_cast<std::uint32_t>(matches.size());
        matches.push_back({holder.engine, 0});
      }
      matches[match_of_[holder.engine]].tokens = before + std::min(holder.tokens, part.tokens);
      if (blocksOf(holder.tokens) >= blocksOf(part.tokens)) complete_parts_[holder.engine] = position + 1;
    }
    before += part.tokens;
  }
  std::sort(matches.begin(), matches.end(), [](const HeldPrefix& left, const HeldPrefix& right) {
    return left.tokens != right.tokens ? left.tokens > right.tokens : left.engine < right.engine;
  });
  return matches;
}

}  // namespace crankspur::gateway
