#include "sidecar/router_selector.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string_view>
#include <tuple>
#include <utility>

#include "base/hash.h"

namespace crankspur {

namespace {

std::uint64_t appendHash(std::uint64_t hash, std::string_view text) {
  return combineHashes(hash, hashBytes(text));
}

}  // namespace

std::uint64_t routingKey(const SubmitRequest& request) {
  if (request.kind == RequestKind::Completion) return hashBytes(request.model);
  const std::uint64_t hash = appendHash(hashBytes(request.tenant), request.operation);
  return appendHash(hash, request.idempotency_key);
}

RendezvousRouterSelector::RendezvousRouterSelector(std::string own_zone, std::string own_region)
    : own_zone_(std::move(own_zone)), own_region_(std::move(own_region)) {}

void RendezvousRouterSelector::setRouters(std::vector<RouterCandidate> routers) {
  routers_ = std::move(routers);
}

void RendezvousRouterSelector::recordStarted(const std::string& router) {
  ++in_flight_[router];
}

void RendezvousRouterSelector::recordFinished(const std::string& router) {
  const auto found = in_flight_.find(router);
  if (found == in_flight_.end()) return;
  if (--found->second == 0) in_flight_.erase(found);
}

std::uint32_t RendezvousRouterSelector::inFlight(const std::string& router) const {
  const auto found = in_flight_.find(router);
  return found == in_flight_.end() ? 0 : found->second;
}

RendezvousRouterSelector::Distance RendezvousRouterSelector::distanceOf(const RouterCandidate& router,
                                                                        RequestKind kind) const {
  if (router.region != own_region_) return Distance::OtherRegion;
  if (kind == RequestKind::Completion) return Distance::OwnRegion;
  return router.zone == own_zone_ ? Distance::OwnZone : Distance::OwnRegion;
}

std::uint32_t RendezvousRouterSelector::bound(Distance distance, RequestKind kind) const {
  std::uint32_t routers = 0;
  std::uint32_t requests = 1;
  for (const RouterCandidate& router : routers_) {
    if (distanceOf(router, kind) != distance) continue;
    ++routers;
    requests += inFlight(router.name);
  }
  if (routers == 0) return 0;
  const auto mean_bound = static_cast<std::uint32_t>(std::ceil(kLoadBound * requests / routers));
  return kind == RequestKind::Completion ? std::max(mean_bound, kMinInFlightBound) : mean_bound;
}

std::vector<std::string> RendezvousRouterSelector::rank(const SubmitRequest& request) {
  const std::uint64_t key = routingKey(request);
  const std::array<std::uint32_t, 3> bounds = {bound(Distance::OwnZone, request.kind),
                                               bound(Distance::OwnRegion, request.kind),
                                               bound(Distance::OtherRegion, request.kind)};
  std::vector<Ranked> ranked;
  ranked.reserve(routers_.size());
  for (const RouterCandidate& router : routers_) {
    const Distance distance = distanceOf(router, request.kind);
    const bool over_bound = inFlight(router.name) + 1 > bounds[static_cast<std::size_t>(distance)];
    ranked.push_back({distance, over_bound, hashBytes(router.name, key), router.name});
  }
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& left, const Ranked& right) {
    return std::tie(left.distance, left.over_bound, right.score, left.name) <
           std::tie(right.distance, right.over_bound, left.score, right.name);
  });
  std::vector<std::string> names;
  names.reserve(ranked.size());
  for (Ranked& candidate : ranked) names.push_back(std::move(candidate.name));
  return names;
}

}  // namespace crankspur
