#pragma once
/// @file Which pool of a route gets the next request, so that each gets its share at any time, not just on
/// average.

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

#include "base/random.h"
#include "gateway/gateway_snapshot.h"

namespace crankspur::gateway {

/// Smooth weighted round robin for each route: after any number of requests each pool is less than one
/// request away from its share. Each gateway begins at a point of its own, so that the sum over gateways is
/// smooth too.
class RouteShares {
public:
  explicit RouteShares(RandomSource& random) : random_(random) {}
  /// Forgets routes that the configuration lacks, and the state of those whose shares changed.
  void configure(const Configuration& configuration);
  /// @return the index into `route.pools` of the pool whose turn it is; `route.pools` is not empty.
  std::size_t next(const Route& route);

private:
  struct State {
    std::vector<PoolShare> shares;
    std::vector<double> credits;
  };
  State& stateOf(const Route& route);

  RandomSource& random_;
  absl::flat_hash_map<std::string, State> routes_;
};

}  // namespace crankspur::gateway
