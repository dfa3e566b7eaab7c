#include "gateway/recent_gateways.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

/// Longer than a window of the retry budget, and than most partitions between gateways.
constexpr Duration kMemory = std::chrono::seconds(60);

}  // namespace

void RecentGateways::onSnapshot(const GatewaySnapshot& snapshot, TimePoint now) {
  const std::uint32_t divisor = std::max(snapshot.share_divisor, 1U);
  if (!divisors_.empty()) divisors_.back().replaced_at = now;
  while (!divisors_.empty() && divisors_.back().value <= divisor) divisors_.pop_back();
  while (!divisors_.empty() && divisors_.front().replaced_at + kMemory <= now) divisors_.pop_front();
  divisors_.push_back({divisor, TimePoint::max()});
  for (const PeerGateway& peer : snapshot.peers) peers_[peer.name] = now;
  absl::erase_if(peers_, [now](const auto& peer) { return peer.second + kMemory <= now; });
}

}  // namespace crankspur::gateway
