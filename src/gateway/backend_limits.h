#pragma once
/// @file The limits of requests per second that back ends name in their responses, each for all gateways
/// together. Pure decision code.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "gateway/gateway_snapshot.h"

namespace crankspur::gateway {

/// A change of a limit in requests per second; 0: no limit.
struct LimitChange {
  double previous = 0;
  double limit = 0;
};

/// Limits by incarnation of the back end. Not thread-safe.
class BackendLimits {
public:
  /// Forgets back ends that are no longer listed.
  void onSnapshot(const GatewaySnapshot& snapshot);
  /// A back end responded to a request that was sent at `sent_at`.
  /// @param limit that the response names; empty: none. An earlier limit then ends if the request was sent
  /// after the limit was last named.
  std::optional<LimitChange> onResponse(std::uint64_t incarnation, std::optional<double> limit,
                                        TimePoint sent_at, TimePoint now);
  /// @return requests per second; 0: no limit is known.
  double limitOf(std::uint64_t incarnation) const;

private:
  struct Limit {
    double per_second = 0;
    TimePoint named_at{};
  };

  absl::flat_hash_map<std::uint64_t, Limit> limits_;
};

}  // namespace crankspur::gateway
