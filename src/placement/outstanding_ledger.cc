#include "placement/outstanding_ledger.h"

#include <algorithm>

#include "placement/queue_estimator.h"

namespace crankspur {

void OutstandingLedger::onSnapshot(const RoutingSnapshot& snapshot) {
  for (const EngineView& engine : snapshot.engines) onLoadMeasured(engine.slot, engine.load.measured_at);
}

void OutstandingLedger::add(EngineSlot engine, std::uint64_t dispatch, std::uint32_t uncached_tokens,
                            TimePoint now) {
  engines_[engine].items.push_back({dispatch, now, uncached_tokens, true});
}

OutstandingLedger::Item* OutstandingLedger::find(EngineSlot engine, std::uint64_t dispatch) {
  const auto work = engines_.find(engine);
  if (work == engines_.end()) return nullptr;
  for (Item& item : work->second.items) {
    if (item.dispatch == dispatch) return &item;
  }
  return nullptr;
}

void OutstandingLedger::correct(EngineSlot engine, std::uint64_t dispatch, std::uint32_t uncached_tokens) {
  Item* item = find(engine, dispatch);
  if (item != nullptr) item->tokens = uncached_tokens;
}

void OutstandingLedger::prefillDone(EngineSlot engine, std::uint64_t dispatch, TimePoint now) {
  Item* item = find(engine, dispatch);
  if (item == nullptr || !item->waiting) return;
  item->waiting = false;
  engines_[engine].prefill_done_at = now;
}

Duration OutstandingLedger::longestWait(EngineSlot engine, TimePoint now) const {
  const auto work = engines_.find(engine);
  if (work == engines_.end()) return Duration(0);
  for (const Item& item : work->second.items) {
    if (item.waiting) return now - item.sent_at;
  }
  return Duration(0);
}

void OutstandingLedger::remove(EngineSlot engine, std::uint64_t dispatch) {
  const auto work = engines_.find(engine);
  if (work == engines_.end()) return;
  std::erase_if(work->second.items, [dispatch](const Item& item) { return item.dispatch == dispatch; });
}

std::vector<EngineOutstanding> OutstandingLedger::outstanding() const {
  std::vector<EngineOutstanding> all;
  for (const auto& [engine, work] : engines_) {
    if (work.items.empty()) continue;
    EngineOutstanding entry{engine, 0, static_cast<std::uint32_t>(work.items.size())};
    for (const Item& item : work.items) entry.waiting_tokens += item.waiting ? item.tokens : 0;
    all.push_back(entry);
  }
  return all;
}

std::uint32_t OutstandingLedger::pendingTokens(EngineSlot engine) const {
  const auto work = engines_.find(engine);
  if (work == engines_.end()) return 0;
  std::uint32_t tokens = 0;
  for (const Item& item : work->second.items) {
    if (item.waiting && item.sent_at > work->second.load_measured_at) tokens += item.tokens;
  }
  return tokens;
}

std::uint32_t OutstandingLedger::inFlight(EngineSlot engine) const {
  const auto work = engines_.find(engine);
  return work == engines_.end() ? 0 : static_cast<std::uint32_t>(work->second.items.size());
}

Duration OutstandingLedger::backlog(EngineSlot engine, double tokens_per_second, TimePoint now) const {
  const auto work = engines_.find(engine);
  if (work == engines_.end()) return Duration(0);
  TimePoint idle_at = work->second.prefill_done_at;
  for (const Item& item : work->second.items) {
    if (!item.waiting) continue;
    idle_at = std::max(idle_at, item.sent_at) + prefillTime(item.tokens, tokens_per_second);
  }
  return std::max(Duration(0), idle_at - now);
}

}  // namespace crankspur
