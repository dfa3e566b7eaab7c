#pragma once
/// @file A tenant's quota: the rate and burst that all gateways together may admit for it. The interface of
/// the ways to divide a quota among gateways that learn of each other's use with a delay.

#include <cstdint>

#include "base/time.h"

namespace crankspur {

/// Units (requests or tokens) that all gateways together may admit for one tenant: in any window, the rate
/// times the window's length plus the burst.
struct QuotaLimit {
  double per_second = 0;  ///< 0: no limit.
  double burst = 0;       ///< Above the rate.
  Duration window = std::chrono::seconds(10);

  bool isLimited() const { return per_second > 0; }
  bool operator==(const QuotaLimit&) const = default;
};

/// Use of a tenant's quota by one gateway, as it reports it to the others.
struct QuotaUse {
  std::uint64_t admitted = 0;      ///< Units since the gateway started.
  double admitted_per_second = 0;  ///< Recent rate.
  double asked_per_second = 0;     ///< Recent rate, rejected requests included.
};

/// What a gateway knows of the others when it decides.
struct QuotaPeers {
  /// Gateways that place requests, this one included.
  std::uint32_t gateways = 1;
  /// Share of the quota that remains for the gateways in contact with each other, 0 to 1. The rest is
  /// reserved for gateways that have stopped reporting and may still have clients.
  double reachable_share = 1;
};

/// What a decision was based on, for operators.
struct QuotaState {
  QuotaLimit limit;             ///< As enforced: with a part of the tolerance.
  double left = 0;              ///< Units that are estimated to be left.
  double asked_per_second = 0;  ///< At all gateways.
  double reachable_share = 1;   ///< See QuotaPeers.
  Duration oldest_report{0};    ///< Age of the oldest report that is counted; 0: there is none.
};

/// One gateway's part in the quota of one tenant. Not thread-safe.
class TenantQuota {
public:
  virtual ~TenantQuota() = default;
  /// A configuration sets the limit. What has been admitted still counts.
  virtual void setLimit(const QuotaLimit& limit, TimePoint now) = 0;
  /// A request of the tenant asks for units.
  /// @return whether it is admitted; the units then count as used.
  virtual bool admit(double units, const QuotaPeers& peers, TimePoint now) = 0;
  /// An admitted request has not run and will not: its units are free again.
  virtual void refund(double units, TimePoint now) = 0;
  /// Another gateway reported its use.
  virtual void onPeerUse(std::uint64_t peer, const QuotaUse& use, TimePoint now) = 0;
  virtual QuotaUse ownUse(TimePoint now) = 0;
  virtual QuotaState state(TimePoint now) = 0;
  /// @return time until the quota is expected to have room again for rejected requests.
  virtual Duration timeToRoom(TimePoint now) = 0;
};

}  // namespace crankspur
