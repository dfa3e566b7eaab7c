#include "gateway/route_shares.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

bool sameShares(const std::vector<PoolShare>& left, const std::vector<PoolShare>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const PoolShare& first, const PoolShare& second) {
                      return first.pool == second.pool && first.weight == second.weight;
                    });
}

}  // namespace

void RouteShares::configure(const Configuration& configuration) {
  absl::flat_hash_map<std::string, State> kept;
  for (const Route& route : configuration.routes) {
    const auto found = routes_.find(route.name);
    if (found == routes_.end() || !sameShares(found->second.shares, route.pools)) continue;
    kept[route.name] = std::move(found->second);
  }
  routes_ = std::move(kept);
}

RouteShares::State& RouteShares::stateOf(const Route& route) {
  State& state = routes_[route.name];
  if (state.credits.size() == route.pools.size()) return state;
  state.shares = route.pools;
  state.credits.clear();
  for (const PoolShare& share : route.pools) state.credits.push_back(share.weight * random_.unit());
  return state;
}

std::size_t RouteShares::next(const Route& route) {
  if (route.pools.size() == 1) return 0;
  State& state = stateOf(route);
  double total = 0;
  std::size_t best = 0;
  for (std::size_t index = 0; index < route.pools.size(); ++index) {
    total += route.pools[index].weight;
    state.credits[index] += route.pools[index].weight;
    if (state.credits[index] > state.credits[best]) best = index;
  }
  state.credits[best] -= total;
  return best;
}

}  // namespace crankspur::gateway
