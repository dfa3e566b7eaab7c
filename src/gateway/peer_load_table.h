#pragma once
/// @file What the other gateways have at each engine, as their digests tell: without it all of them would
/// send to the engine that looks idle to each.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "internal_protocol/messages.h"

namespace crankspur::gateway {

/// Work at one engine.
struct PendingLoad {
  double waiting_tokens = 0;  ///< Prompt tokens sent whose first answer byte has not come.
  double in_flight = 0;       ///< Requests sent whose answer has not ended.
};

/// The work of the gateways that tell theirs. Not thread-safe.
class PeerLoadTable {
public:
  /// Takes a digest in place of the teller's one before.
  void onDigest(const std::string& teller, const LoadDigest& digest, TimePoint now);
  /// @return gateways whose work is told, those included that have had nothing to tell for some seconds.
  std::size_t tellers(TimePoint now) const;
  /// @return what they have at the engine together.
  PendingLoad at(std::uint64_t incarnation, TimePoint now) const;

private:
  struct Told {
    std::uint32_t waiting_tokens = 0;
    std::uint32_t in_flight = 0;
    TimePoint told_at{};
  };
  struct Teller {
    TimePoint told_at{};
    std::vector<std::uint64_t> engines;  ///< With an entry of this teller.
  };

  absl::flat_hash_map<std::string, Teller> tellers_;
  absl::flat_hash_map<std::uint64_t, absl::flat_hash_map<std::string, Told>> engines_;  ///< By incarnation.
};

}  // namespace crankspur::gateway
