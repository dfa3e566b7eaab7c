#pragma once
/// @file Choice of routers by rendezvous hashing with bounded load: requests whose prompts begin alike meet
/// the same router, and no router gets much more than its share.

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

/// Bytes at the start of a prompt that choose the router.
inline constexpr std::size_t kPromptHeadBytes = 1024;
/// A router holds at most this many times the mean of its zone's requests in flight.
inline constexpr double kLoadBound = 1.25;

/// @return the hash that decides which routers a request prefers: tenant, model, adapter and prompt head, or
/// for operations tenant, operation and idempotency key.
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
  Distance distanceOf(const RouterCandidate& router) const;
  /// @return requests that one router of a group may hold, one more request included.
  std::uint32_t bound(Distance distance) const;

  std::string own_zone_;
  std::string own_region_;
  std::vector<RouterCandidate> routers_;
  std::map<std::string, std::uint32_t> in_flight_;
};

}  // namespace crankspur
