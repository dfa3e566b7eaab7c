#pragma once
/// @file Issues the permits for requests to one back end that limits its requests per second. One gateway
/// issues the permits for all, and each gateway sends a request only with a permit that it holds. So the sum
/// over all gateways is bounded whatever they are asked for and however late their messages are.
///
/// Each gateway owns an equal share of the limit and delegates it for a limited time to the gateway that it
/// asks for permits. It delegates to one gateway at a time, so that several issuers, as during a partition,
/// never have more than the limit together. Pure decision code.

#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"
#include "internal_protocol/messages.h"

namespace crankspur::gateway {

/// A permit is used within this time after it was requested, or not at all.
inline constexpr Duration kPermitLifetime = std::chrono::milliseconds(1'500);
/// A share of the limit is delegated for this long after the last request for permits.
inline constexpr Duration kDelegationTime = std::chrono::milliseconds(1'000);

/// @return the time in milliseconds, as requests and grants carry it. It wraps around.
inline std::uint32_t permitClock(TimePoint time) {
  return static_cast<std::uint32_t>(time.time_since_epoch() / std::chrono::milliseconds(1));
}

/// See the file comment. Not thread-safe.
class PermitIssuer {
public:
  /// @param now from which on the limit accrues: nothing is available at the start, since what was sent
  /// before is unknown.
  explicit PermitIssuer(TimePoint now) : refilled_at_(now) {}

  /// @param per_second requests of all gateways together.
  /// @param gateways that own a share of the limit, this one included.
  void setLimit(double per_second, std::uint32_t gateways);
  /// A gateway requests permits, gives unused ones back, and delegates its share.
  /// @param holder id of that gateway.
  void onRequest(std::uint64_t holder, const PermitRequest& request, TimePoint now);
  /// Issues as many permits as the limit allows, to the gateways that have waited the longest first.
  void issue(TimePoint now);
  /// @return the permits of the gateway that it has not confirmed; null: there are none.
  const PermitGrant* unconfirmed(std::uint64_t holder) const;
  /// @return the unconfirmed permits of all gateways.
  std::vector<PermitGrant> unconfirmed() const;
  /// @return permits that are available or held by gateways.
  double inCirculation() const;

private:
  struct Holder {
    TimePoint delegated_at{};
    PermitRequest request;         ///< The last one.
    TimePoint served_at{};         ///< When it last got permits.
    PermitGrant grant;             ///< The last one.
    TimePoint issued_at{};         ///< Of the last grant.
    std::uint32_t settled = 0;     ///< Permits of it that are used, given back or expired.
    std::uint32_t given_back = 0;  ///< Permits of it that were given back.

    std::uint32_t outstanding() const { return grant.permits - settled; }
  };

  void refill(TimePoint now);
  void expire(TimePoint now);
  double share(TimePoint now) const;
  double maxInCirculation(TimePoint now) const;
  std::vector<Holder*> waiting(TimePoint now);
  void grant(Holder& holder, std::uint32_t permits, TimePoint now);

  double per_second_ = 0;
  std::uint32_t gateways_ = 1;
  double available_ = 0;  ///< Permits that are not issued.
  TimePoint refilled_at_;
  bool left_waiting_ = false;  ///< The last issue left gateways without permits.
  std::uint32_t next_grant_ = 0;
  std::map<std::uint64_t, Holder> holders_;  ///< Ordered, so that a seed replays exactly.
};

}  // namespace crankspur::gateway
