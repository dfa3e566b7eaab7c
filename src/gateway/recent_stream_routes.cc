#include "gateway/recent_stream_routes.h"

#include <algorithm>
#include <iterator>

namespace crankspur::gateway {
namespace {

Configuration streamRoutesOf(const Configuration& configuration) {
  Configuration reduced;
  std::copy_if(configuration.routes.begin(), configuration.routes.end(), std::back_inserter(reduced.routes),
               [](const Route& route) { return route.repeatability == Repeatability::ResumableStream; });
  return reduced;
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
  if (current_ != nullptr) replaced_.push_back({streamRoutesOf(*current_), now});
  current_ = snapshot.configuration;
}

PoolIds RecentStreamRoutes::poolsOf(std::string_view host, std::string_view path) const {
  PoolIds pools;
  if (current_ != nullptr) addPools(*current_, host, path, pools);
  for (const Replaced& replaced : replaced_) addPools(replaced.routes, host, path, pools);
  return pools;
}

}  // namespace crankspur::gateway
