#include "gateway/peer_load_table.h"

namespace crankspur::gateway {
namespace {

/// How long a digest is valid. A gateway with requests in flight sends several digests in this time.
constexpr Duration kDigestLifetime = std::chrono::milliseconds(700);
/// A gateway without requests sends no digests. For this long after its last one it still counts as one that
/// reports its load.
constexpr Duration kPeerLifetime = std::chrono::seconds(5);

}  // namespace

void PeerLoadTable::onDigest(const std::string& peer, const LoadDigest& digest, TimePoint now) {
  Peer& known = peers_[peer];
  for (const std::uint64_t engine : known.engines) {
    const auto found = engines_.find(engine);
    found->second.erase(peer);
    if (found->second.empty()) engines_.erase(found);
  }
  known.engines.clear();
  known.received_at = now;
  for (const EngineLoad& load : digest.loads) {
    const bool is_new = engines_[load.engine_incarnation]
                            .insert_or_assign(peer, PeerLoad{load.queued_tokens, load.running, now})
                            .second;
    if (is_new) known.engines.push_back(load.engine_incarnation);
  }
  absl::erase_if(peers_, [&](const auto& item) {
    return item.second.engines.empty() && now - item.second.received_at > kPeerLifetime;
  });
}

std::size_t PeerLoadTable::activePeers(TimePoint now) const {
  std::size_t count = 0;
  for (const auto& [name, peer] : peers_) {
    count += now - peer.received_at <= kPeerLifetime ? 1 : 0;
  }
  return count;
}

PendingLoad PeerLoadTable::at(std::uint64_t incarnation, TimePoint now) const {
  PendingLoad pending;
  const auto found = engines_.find(incarnation);
  if (found == engines_.end()) return pending;
  for (const auto& [peer, load] : found->second) {
    if (now - load.received_at > kDigestLifetime) continue;
    pending.waiting_tokens += load.waiting_tokens;
    pending.in_flight += load.in_flight;
  }
  return pending;
}

}  // namespace crankspur::gateway
