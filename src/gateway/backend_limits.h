#pragma once
/// @file The limits of requests per second that back ends name in their responses, each for all gateways
/// together. A limit is enforced like a tenant's quota, by the use that gateways report to each other. They
/// also report the limits: a gateway that has received no response of the back end keeps to its limit as
/// well. Pure decision code.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "admission/fleet_quotas.h"
#include "base/random.h"
#include "base/time.h"
#include "gateway/gateway_snapshot.h"
#include "internal_protocol/messages.h"

namespace crankspur::gateway {

/// A change of a limit in requests per second; 0: no limit.
struct LimitChange {
  double previous = 0;
  double limit = 0;
};

/// Receives the incarnation of a back end whose limit changes.
using LimitObserver = std::function<void(std::uint64_t, const LimitChange&)>;

/// Limits by incarnation of the back end. Back ends without a limit cost nothing. Not thread-safe.
class BackendLimits {
public:
  /// @param random must outlive the object.
  explicit BackendLimits(RandomSource& random);

  /// Forgets back ends that are no longer listed.
  /// @param on_change called with the incarnation of each of them that had a limit.
  void onSnapshot(const GatewaySnapshot& snapshot, const LimitObserver& on_change, TimePoint now);
  /// A back end responded to a request that was sent at `sent_at`.
  /// @param limit that the response names; empty: none. An earlier limit then ends if the request was sent
  /// after the limit was last named.
  std::optional<LimitChange> onResponse(std::uint64_t incarnation, std::optional<double> limit,
                                        TimePoint sent_at, TimePoint now);
  /// A back end named a limit that is no positive number.
  /// @return whether it differs from the last invalid one of this back end.
  bool onInvalidResponse(std::uint64_t incarnation, const std::string& text);
  /// Another gateway reported the limits that back ends named to it, and its use of them.
  /// @param on_change called with the incarnation of each back end whose limit changes.
  void onReport(const LoadDigest& digest, const LimitObserver& on_change, TimePoint now);
  /// Adds the limits that were named to this gateway, and its use of all limits.
  void report(LoadDigest& digest, TimePoint now);

  /// @return whether any back end has a limit.
  bool any() const { return !limits_.empty(); }
  /// @return requests per second; 0: no limit is known.
  double limitOf(std::uint64_t incarnation) const;
  /// @return time since the back end last named its limit or ended it; 0 if it is unknown.
  Duration age(std::uint64_t incarnation, TimePoint now) const;
  /// @return whether the limit allows no request now.
  bool isExhausted(std::uint64_t incarnation, TimePoint now);
  /// @return whether the back end may get one more request, which then counts. Always true without a limit.
  bool admit(std::uint64_t incarnation, TimePoint now);
  /// An admitted request did not reach the back end.
  void refund(std::uint64_t incarnation, TimePoint now);
  /// @return time until the limit is expected to have room.
  Duration timeToRoom(std::uint64_t incarnation, TimePoint now);

private:
  struct Limit {
    double per_second = 0;    ///< 0: ended.
    TimePoint named_at{};     ///< Time of the response that named it last, or that ended it.
    bool named_here = false;  ///< That response was received by this gateway.
  };

  std::optional<LimitChange> set(std::uint64_t incarnation, const Limit& limit, TimePoint now);

  std::map<std::uint64_t, Limit> limits_;  ///< Ordered, so that reports do not depend on chance.
  absl::flat_hash_map<std::uint64_t, std::string> invalid_;  ///< Last invalid limit of each back end.
  FleetQuotas quotas_;
};

}  // namespace crankspur::gateway
