#pragma once
/// @file Enforces a tenant's quota by the use that the gateways report to each other several times a second.
/// Each gateway estimates what the whole fleet has admitted: in a token bucket of the rate and burst, and in
/// a sliding window of QuotaLimit::window. While the bucket has units left, everything is admitted, whichever
/// gateway the tenant's clients are connected to. A tenant that asks for more than its rate for long still
/// gets what the window allows, spread evenly over time: each request is admitted with the probability at
/// which all gateways together admit that much. Reports that are a quarter of a second old could otherwise
/// use up the same units at all gateways at once.

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>

#include "admission/decaying_rate.h"
#include "admission/tenant_quota.h"
#include "base/random.h"

namespace crankspur {

/// See the file comment.
class ReportedUseQuota : public TenantQuota {
public:
  /// @param random must outlive the object.
  ReportedUseQuota(RandomSource& random, TimePoint now);

  void setLimit(const QuotaLimit& limit, TimePoint now) override;
  bool admit(double units, const QuotaPeers& peers, TimePoint now) override;
  void refund(double units, TimePoint now) override;
  void onPeerUse(std::uint64_t peer, const QuotaUse& use, TimePoint now) override;
  QuotaUse ownUse(TimePoint now) override;
  QuotaState state(TimePoint now) override;
  Duration timeToRoom(TimePoint now) override;

private:
  static constexpr std::size_t kSlices = 32;  ///< Of the window.
  struct Peer {
    QuotaUse use;
    TimePoint reported_at{};
    bool lapsed = false;  ///< It has stopped reporting.
    double settled = 0;   ///< Units that were taken for it then.
  };
  /// Use of the other gateways that recent reports do not include yet.
  struct PeerDemand {
    double unreported = 0;        ///< Units, expected since their last reports.
    double asked_per_second = 0;  ///< Of all of them.
  };

  void advance(TimePoint now);
  void advanceSlices(TimePoint now);
  void take(double units);
  void takeFromBucket(double units);
  void settleLapsedPeers(TimePoint now);
  double windowLimit() const;
  double sustainedRate() const;
  double scarceLevel() const;
  PeerDemand peerDemand(TimePoint now) const;
  void consume(double units, TimePoint now);

  RandomSource& random_;
  QuotaLimit limit_;
  double share_ = 1;  ///< QuotaPeers::reachable_share of the last decision.
  /// Units left of a token bucket of the rate and burst from which everything is taken that is asked for,
  /// also if it is rejected: it fills up only once the tenant asks for less than its rate.
  double bucket_ = 0;
  TimePoint advanced_to_;
  std::array<double, kSlices> slices_{};  ///< Estimated units admitted by the fleet.
  std::size_t current_slice_ = 0;
  TimePoint slice_began_at_;
  double in_window_ = 0;  ///< Sum of slices_.
  double admitted_ = 0;   ///< Units that this gateway has admitted.
  double refunded_ = 0;   ///< Units of requests that did not run, not yet used for other requests.
  DecayingRate admitted_rate_;
  DecayingRate asked_rate_;
  absl::flat_hash_map<std::uint64_t, Peer> peers_;
};

}  // namespace crankspur
