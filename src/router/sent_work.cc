#include "router/sent_work.h"

#include <algorithm>

namespace crankspur {

void SentWork::onSnapshot(const RoutingSnapshot& snapshot) {
  for (const EngineView& engine : snapshot.engines) {
    engines_[engine.slot].load_measured_at = engine.load.measured_at;
  }
}

void SentWork::add(EngineSlot engine, DispatchId dispatch, std::uint32_t uncached_tokens, TimePoint now) {
  engines_[engine].items.push_back(Item{dispatch, now, uncached_tokens});
}

void SentWork::prefillDone(EngineSlot engine, DispatchId dispatch) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  for (Item& item : found->second.items) {
    if (item.dispatch == dispatch) item.tokens = 0;
  }
}

void SentWork::remove(EngineSlot engine, DispatchId dispatch) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  std::vector<Item>& items = found->second.items;
  const auto matches = [dispatch](const Item& item) { return item.dispatch == dispatch; };
  items.erase(std::remove_if(items.begin(), items.end(), matches), items.end());
}

std::uint32_t SentWork::pendingTokens(EngineSlot engine) const {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return 0;
  std::uint32_t tokens = 0;
  for (const Item& item : found->second.items) {
    if (item.sent_at > found->second.load_measured_at) tokens += item.tokens;
  }
  return tokens;
}

std::uint32_t SentWork::inFlight(EngineSlot engine) const {
  const auto found = engines_.find(engine);
  return found == engines_.end() ? 0 : static_cast<std::uint32_t>(found->second.items.size());
}

}  // namespace crankspur
