#pragma once
/// @file Selection of routers by rendezvous hashing with bounded load. Completions of one model go to one
/// router of the region within its load bound, so that this router has a complete view of the load on the
/// model's engines. Requests above the bound go to the next router in an order shared by all sidecars. See
/// docs/design/0006-placement.md.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sidecar/caller_request.h"

namespace crankspur {

/// A router that may be selected.
struct RouterCandidate {
  std::string name;
  std::string zone;
  std::string region;
};

/// Upper bound of a router's requests in flight, as a multiple of the mean of its group.
inline constexpr double kLoadBound = 1.25;
/// Completions of this sidecar that a router may always have in flight, regardless of the mean.
inline constexpr std::uint32_t kMinInFlightBound = 64;

/// @return the rendezvous hash key of a request: of the model for completions; of tenant, operation and
/// idempotency key for operations.
std::uint64_t routingKey(const SubmitRequest& request);

/// Production implementation. Not thread-safe.
class RendezvousRouterSelector : public RouterSelector {
public:
  /// @param own_zone zone of the sidecar. @param own_region region of the sidecar.
  RendezvousRouterSelector(std::string own_zone, std::string own_region);
  /// Replaces the usable routers (connected, neither leaving nor dead). Counts of requests in flight are kept
  /// by name.
  void setRouters(std::vector<RouterCandidate> routers);
  /// A request was submitted to the router.
  void recordStarted(const std::string& router);
  /// A request ended at the router or moved to another router.
  void recordFinished(const std::string& router);
  std::vector<std::string> rank(const SubmitRequest& request) override;
  /// @return number of requests in flight at the router.
  std::uint32_t inFlight(const std::string& router) const;

private:
  enum class Distance { OwnZone, OwnRegion, OtherRegion };
  struct Ranked {
    Distance distance = Distance::OwnZone;
    bool over_bound = false;
    std::uint64_t score = 0;
    std::string name;
  };
  /// @return the distance to the router. For completions all routers of the own region are equally near: the
  /// latency between zones is small compared with the gain from a complete view of the engines.
  Distance distanceOf(const RouterCandidate& router, RequestKind kind) const;
  /// @return the maximum number of requests in flight at one router of a group, including one new request.
  std::uint32_t bound(Distance distance, RequestKind kind) const;

  std::string own_zone_;
  std::string own_region_;
  std::vector<RouterCandidate> routers_;
  std::map<std::string, std::uint32_t> in_flight_;
};

}  // namespace crankspur
