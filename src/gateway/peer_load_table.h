#pragma once
/// @file The load of the other gateways at each engine, from the digests that they send. Without it, all
/// gateways would send to the same engine that looks idle to each of them.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "internal_protocol/messages.h"

namespace crankspur::gateway {

/// Load at one engine.
struct PendingLoad {
  double waiting_tokens = 0;  ///< Prompt tokens of requests without a first response byte.
  double in_flight = 0;       ///< Requests whose response has not ended.
};

/// The load of the gateways that report theirs. Not thread-safe.
class PeerLoadTable {
public:
  /// Replaces the previous digest of the peer.
  void onDigest(const std::string& peer, const LoadDigest& digest, TimePoint now);
  /// @return gateways that report their load, including those that have had none to report for some seconds.
  std::size_t activePeers(TimePoint now) const;
  /// @return the total load of the peers at the engine.
  PendingLoad at(std::uint64_t incarnation, TimePoint now) const;

private:
  struct PeerLoad {
    std::uint32_t waiting_tokens = 0;
    std::uint32_t in_flight = 0;
    TimePoint received_at{};
  };
  struct Peer {
    TimePoint received_at{};
    std::vector<std::uint64_t> engines;  ///< Incarnations with an entry of this peer.
  };

  absl::flat_hash_map<std::string, Peer> peers_;
  /// By incarnation of the engine, then by peer.
  absl::flat_hash_map<std::uint64_t, absl::flat_hash_map<std::string, PeerLoad>> engines_;
};

}  // namespace crankspur::gateway
