#pragma once
/// @file Choice of routers by rendezvous hashing with bounded load. Completions of one model meet one router
/// of the region while its load allows, so that it knows all work it sent to the model's engines; what
/// exceeds the bound goes to the next router in an order that all sidecars share. See
/// docs/design/0006-placement.md.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sidecar/caller_request.h"

namespace crankspur {

/// A router that may be chosen.
struct RouterCandidate {
  std::string name;
  std::string zone;
  std::string region;
};

/// A router holds at most this many times the mean of its group's requests in flight.
inline constexpr double kLoadBound = 1.25;
/// Completions of this sidecar that a router may hold whatever the others hold.
inline constexpr std::uint32_t kUnboundedInFlight = 64;

/// @return the hash that decides which routers a request prefers: of the model, or for operations of tenant,
/// operation and idempotency key.
std::uint64_t routingKey(const SubmitRequest& request);

/// The product's selector. Not thread-safe.
class RendezvousRouterSelector : public RouterSelector {
public:
  /// @param own_zone zone of the sidecar. @param own_region region of the sidecar.
  RendezvousRouterSelector(std::string own_zone, std::string own_region);
  /// Replaces the routers that may be used now (connected, neither leaving nor dead). Counts of requests in
  /// flight are kept by name.
  void setRouters(std::vector<RouterCandidate> routers);
  /// A request was submitted to the router.
  void noteStarted(const std::string& router);
  /// The request ended at the router, or moved away from it.
  void noteFinished(const std::string& router);
  std::vector<std::string> rank(const SubmitRequest& request) override;
  /// @return requests in flight at the router.
  std::uint32_t inFlight(const std::string& router) const;

private:
  enum class Distance { OwnZone, OwnRegion, OtherRegion };
  struct Ranked {
    Distance distance = Distance::OwnZone;
    bool over_bound = false;
    std::uint64_t score = 0;
    std::string name;
  };
  /// @return how far the router is; completions take all routers of the own region for equally near, since a
  /// hop between zones is short against what complete knowledge of the engines saves.
  Distance distanceOf(const RouterCandidate& router, RequestKind kind) const;
  /// @return requests that one router of a group may hold, one more request included.
  std::uint32_t bound(Distance distance, RequestKind kind) const;

  std::string own_zone_;
  std::string own_region_;
  std::vector<RouterCandidate> routers_;
  std::map<std::string, std::uint32_t> in_flight_;
};

}  // namespace crankspur
