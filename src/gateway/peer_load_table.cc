#include "gateway/peer_load_table.h"

namespace crankspur::gateway {
namespace {

/// A digest counts for so long: a gateway with work tells it several times within.
constexpr Duration kLifetime = std::chrono::milliseconds(700);
/// A gateway without work tells nothing; for so long it counts as one that would tell.
constexpr Duration kTellerMemory = std::chrono::seconds(5);

}  // namespace

void PeerLoadTable::onDigest(const std::string& teller, const LoadDigest& digest, TimePoint now) {
  Teller& known = tellers_[teller];
  for (const std::uint64_t engine : known.engines) {
    const auto place = engines_.find(engine);
    place->second.erase(teller);
    if (place->second.empty()) engines_.erase(place);
  }
  known.engines.clear();
  known.told_at = now;
  for (const EngineLoad& load : digest.loads) {
    const bool is_new = engines_[load.engine_incarnation]
                            .insert_or_assign(teller, Told{load.queued_tokens, load.running, now})
                            .second;
    if (is_new) known.engines.push_back(load.engine_incarnation);
  }
  absl::erase_if(tellers_, [&](const auto& item) {
    return item.second.engines.empty() && now - item.second.told_at > kTellerMemory;
  });
}

std::size_t PeerLoadTable::tellers(TimePoint now) const {
  std::size_t count = 0;
  for (const auto& [name, teller] : tellers_) {
    count += now - teller.told_at <= kTellerMemory ? 1 : 0;
  }
  return count;
}

PendingLoad PeerLoadTable::at(std::uint64_t incarnation, TimePoint now) const {
  PendingLoad work;
  const auto place = engines_.find(incarnation);
  if (place == engines_.end()) return work;
  for (const auto& [teller, told] : place->second) {
    if (now - told.told_at > kLifetime) continue;
    work.waiting_tokens += told.waiting_tokens;
    work.in_flight += told.in_flight;
  }
  return work;
}

}  // namespace crankspur::gateway
