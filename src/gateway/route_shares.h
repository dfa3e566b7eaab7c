#pragma once
/// @file Selects the pool of a route for the next request, so that each pool gets its share at any time, not
/// only on average.

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

#include "base/random.h"
#include "gateway/gateway_snapshot.h"

namespace crankspur::gateway {

/// Smooth weighted round robin for each route: after any number of requests each pool is less than one
/// request away from its share. Each gateway starts with random credits, so that the sum over all gateways is
/// smooth too.
class RouteShares {
public:
  explicit RouteShares(RandomSource& random) : random_(random) {}
  /// Removes the state of routes that are not in the configuration or whose shares changed.
  void configure(const Configuration& configuration);
  /// @return the index into `route.pools` of the pool for the next request; `route.pools` must not be empty.
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
