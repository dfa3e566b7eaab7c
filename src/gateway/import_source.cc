#include "gateway/import_source.h"

#include <algorithm>

#include "base/hash.h"

namespace crankspur::gateway {
namespace {

/// Fixed cost of an import of cached blocks, seconds.
constexpr double kImportBase = 0.002;
/// Factor of the transfer time between zones and between regions.
constexpr double kOtherZoneSlowdown = 2.0;
constexpr double kOtherRegionSlowdown = 10.0;
constexpr double kBitsPerByte = 8;
/// Prompts with fewer shared tokens are not saved to a store: their prefill takes no longer than a transfer.
constexpr std::uint32_t kMinSavedTokens = 256;

double zoneFactor(const EngineView& from, const EngineView& to) {
  if (from.region != to.region) return kOtherRegionSlowdown;
  return from.zone != to.zone ? kOtherZoneSlowdown : 1.0;
}

/// @return the transfer time of `tokens` in seconds.
double moveSeconds(const Backend& source, const EngineView& engine, const Pool& pool, std::uint32_t tokens) {
  const double bits = static_cast<double>(tokens) * static_cast<double>(pool.token_bytes) * kBitsPerByte;
  double rate = pool.link_bits_per_second;
  if (source.link_bits_per_second > 0) rate = std::min(rate, source.link_bits_per_second);
  return kImportBase + bits / rate * zoneFactor(source.view, engine);
}

bool canExport(const Backend& source, const BackendTable& table, TimePoint now) {
  return source.view.state == EngineState::Live && table.isHealthy(source.view.slot, now) &&
         !table.reach().isUnresponsive(source);
}

}  // namespace

Import findImport(const EngineView& engine, const Pool& pool, std::uint32_t prompt_tokens,
                  const ScopedPrompt& prompt, const GatewaySnapshot& snapshot, const BackendTable& table,
                  TimePoint now) {
  const std::uint32_t held = std::min(prompt.heldBy(engine.slot), prompt_tokens);
  Import import;
  import.cached = held;
  if (pool.link_bits_per_second <= 0) return import;
  std::uint32_t longest = 0;
  for (const HeldPrefix& match : prompt.matches) {
    if (match.tokens <= held || match.tokens < longest) break;
    const Backend* source = snapshot.backend(match.engine);
    if (source == nullptr || !canExport(*source, table, now)) continue;
    const std::uint32_t there = std::min(match.tokens, prompt_tokens);
    const double seconds = moveSeconds(*source, engine, pool, there - std::min(held, there));
    if (longest > 0 && seconds >= import.seconds) continue;
    longest = match.tokens;
    import.seconds = seconds;
    import.cached = there;
    import.from = source->view.address;
  }
  return import;
}

std::string selectStore(const ScopedPrompt& prompt, const GatewaySnapshot& snapshot) {
  if (prompt.shared_tokens < kMinSavedTokens) return {};
  const Backend* best = nullptr;
  double highest = 0;
  for (const Backend& backend : snapshot.backends) {
    if (!backend.is_kv_store || backend.view.state != EngineState::Live) continue;
    if (prompt.heldBy(backend.view.slot) >= prompt.shared_tokens) return {};
    const double value = affinity(prompt.parts.front().key, backend.view);
    if (best != nullptr && value <= highest) continue;
    best = &backend;
    highest = value;
  }
  return best == nullptr ? std::string() : best->view.address;
}

double affinity(std::uint64_t key, const EngineView& engine) {
  return static_cast<double>(combineHashes(engine.incarnation, key) >> 11) / 9007199254740992.0;
}

}  // namespace crankspur::gateway
