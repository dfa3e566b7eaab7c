#pragma once
/// @file The limits of requests per second that back ends name in their responses, each for all gateways
/// together. A request is sent to a back end with a limit only with a permit; one gateway, alike at all of
/// them, issues the permits for a back end (permit_issuer.h). Gateways also report the limits: one that has
/// received no response of the back end keeps to its limit as well. Pure decision code.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "admission/decaying_rate.h"
#include "base/time.h"
#include "gateway/gateway_snapshot.h"
#include "gateway/limit_naming.h"
#include "gateway/permit_holder.h"
#include "gateway/permit_issuer.h"
#include "internal_protocol/messages.h"

namespace crankspur::gateway {

/// A change of a limit in requests per second; 0: no limit.
struct LimitChange {
  double previous = 0;
  double limit = 0;
};

/// Receives the incarnation of a back end whose limit changes.
using LimitObserver = std::function<void(std::uint64_t, const LimitChange&)>;

/// What a response says about the limit of its back end.
struct LimitResponse {
  std::optional<double> per_second;  ///< Empty: it names none.
  bool success = false;  ///< Refusals and errors may not name the limit that successful responses name.
  TimePoint sent_at{};   ///< When its request was sent.
};

/// Limits by incarnation of the back end. Back ends without a limit cost nothing. Not thread-safe.
class BackendLimits {
public:
  /// Back ends that are no longer listed keep their limits for some time: the platform may have lost their
  /// entries.
  /// @param on_change called for each of them that had a limit, and for those that are listed again.
  void onSnapshot(const GatewaySnapshot& snapshot, const LimitObserver& on_change, TimePoint now);
  std::optional<LimitChange> onResponse(std::uint64_t incarnation, const LimitResponse& response,
                                        TimePoint now);
  /// A back end named a limit that is no positive number.
  /// @return whether it differs from the last invalid one of this back end.
  bool onInvalidResponse(std::uint64_t incarnation, const std::string& text);
  /// Another gateway reported the limits that back ends named to it, requested permits, or issued some.
  /// @param on_change called with the incarnation of each back end whose limit changes.
  void onReport(const LoadDigest& digest, const LimitObserver& on_change, TimePoint now);
  /// Adds the limits that were named to this gateway, its requests for permits, and the permits that it
  /// issues.
  void report(LoadDigest& digest, TimePoint now);

  /// @return whether any back end has a limit.
  bool any() const { return !limits_.empty(); }
  /// @return requests per second as named by the back end; 0: no limit is known.
  double limitOf(std::uint64_t incarnation) const;
  /// @return time since the back end last named its limit or ended it; 0 if it is unknown.
  Duration age(std::uint64_t incarnation, TimePoint now) const;
  /// Notes that a request would be sent to the back end.
  /// @return whether the limit allows it now. Always true without a limit.
  bool hasRoom(std::uint64_t incarnation, TimePoint now);
  /// @return whether the back end may get one more request, which then counts. Always true without a limit.
  bool admit(std::uint64_t incarnation, TimePoint now);
  /// An admitted request did not reach the back end.
  void refund(std::uint64_t incarnation, TimePoint now);
  /// @return time until a request of this gateway is expected to find room.
  Duration timeToRoom(std::uint64_t incarnation, TimePoint now);

private:
  struct Limit {
    explicit Limit(TimePoint now);

    LimitNaming naming;
    PermitHolder permits;
    PermitIssuer issuer;  ///< Issues permits while this gateway is the one that gateways ask.
    bool listed = true;
    TimePoint unlisted_at{};
    DecayingRate asked;     ///< Requests that would have been sent.
    DecayingRate admitted;  ///< Requests that were sent.
  };

  Limit* find(std::uint64_t incarnation);
  const Limit* find(std::uint64_t incarnation) const;
  Limit& findOrAdd(std::uint64_t incarnation, TimePoint now);
  std::optional<LimitChange> afterNaming(Limit& limit, double previous);
  void applyReportedLimits(const LoadDigest& digest, const LimitObserver& on_change, TimePoint now);
  void applyPermitMessages(const LoadDigest& digest, TimePoint now);
  std::uint64_t selectIssuer(std::uint64_t incarnation, TimePoint now) const;
  void updateIssuer(std::uint64_t incarnation, Limit& limit, TimePoint now);
  void requestFromSelf(std::uint64_t incarnation, Limit& limit, TimePoint now);

  std::map<std::uint64_t, Limit> limits_;  ///< Ordered, so that reports do not depend on chance.
  absl::flat_hash_map<std::uint64_t, std::string> invalid_;  ///< Last invalid limit of each back end.
  std::uint64_t own_id_ = 0;
  std::uint32_t gateways_ = 1;
  /// When each other gateway last reported, by id. Also without limits, so that a gateway that is told of one
  /// knows whom to ask.
  std::map<std::uint64_t, TimePoint> heard_at_;
};

}  // namespace crankspur::gateway
