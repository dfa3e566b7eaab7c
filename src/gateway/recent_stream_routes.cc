#include "gateway/recent_stream_routes.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace crankspur::gateway {
namespace {

using RouteKey = std::pair<std::string_view, std::string_view>;  ///< Host and path prefix.
using PoolsByRoute = std::map<RouteKey, PoolIds>;

PoolsByRoute poolsByRoute(const Configuration& configuration) {
  PoolsByRoute pools;
  for (const Route& route : configuration.routes) {
    pools[{route.host, route.path_prefix}] = poolIdsOf(route);
  }
  return pools;
}

/// @return whether one of the routes takes a part of the paths of `route`.
bool isSplitBy(const std::vector<RouteKey>& added, const Route& route) {
  return std::any_of(added.begin(), added.end(), [&route](const RouteKey& key) {
    return key.first == route.host && key.second.starts_with(route.path_prefix);
  });
}

/// @return routes of resumable streams that the next configuration drops, splits or moves to other pools.
/// Most routes stay as they are, and a configuration may have thousands.
Configuration movedRoutes(const Configuration& configuration, const Configuration& next) {
  const PoolsByRoute before = poolsByRoute(configuration);
  const PoolsByRoute after = poolsByRoute(next);
  std::vector<RouteKey> added;
  for (const auto& [key, pools] : after) {
    if (!before.contains(key)) added.push_back(key);
  }
  Configuration moved;
  for (const Route& route : configuration.routes) {
    if (route.repeatability != Repeatability::ResumableStream) continue;
    const auto found = after.find({route.host, route.path_prefix});
    const bool has_same_pools = found != after.end() && found->second == poolIdsOf(route);
    if (!has_same_pools || isSplitBy(added, route)) moved.routes.push_back(route);
  }
  return moved;
}

void addPools(const Configuration& configuration, std::string_view host, std::string_view path,
              PoolIds& pools) {
  const Route* route = configuration.findRoute(host, path);
  if (route == nullptr) return;
  for (const std::uint64_t pool : poolIdsOf(*route)) {
    if (std::find(pools.begin(), pools.end(), pool) == pools.end()) pools.push_back(pool);
  }
}

}  // namespace

void RecentStreamRoutes::onSnapshot(const GatewaySnapshot& snapshot, TimePoint now) {
  while (!replaced_.empty() && now - replaced_.front().replaced_at > kStreamResumeTime) replaced_.pop_front();
  if (snapshot.configuration == nullptr || snapshot.configuration == current_) return;
  if (current_ != nullptr) {
    Configuration moved = movedRoutes(*current_, *snapshot.configuration);
    if (!moved.routes.empty()) replaced_.push_back({std::move(moved), now});
  }
  current_ = snapshot.configuration;
}

PoolIds RecentStreamRoutes::poolsOf(std::string_view host, std::string_view path) const {
  PoolIds pools;
  if (current_ != nullptr) addPools(*current_, host, path, pools);
  for (const Replaced& replaced : replaced_) addPools(replaced.routes, host, path, pools);
  return pools;
}

}  // namespace crankspur::gateway
