#pragma once
/// @file The serving set: the gateways that clients are directed to. In a large fleet only a few gateways
/// with high capacity serve in each zone. Few gateways that place requests can know each other's load, and
/// updates about engines and caches need to reach few recipients. The other gateways are on standby; they
/// still handle every request that reaches them.
///
/// Each gateway computes the set on its own, from membership and the notices of serving gateways. Views
/// differ briefly after a change; the only effect is that clients are directed to one more gateway. Pure
/// decision code.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "internal_protocol/messages.h"

namespace crankspur::gateway {

/// Size limits of the serving set.
struct ServingOptions {
  std::size_t min_per_zone = 2;      ///< With 2, one may fail and clients still stay in their zone.
  std::size_t all_serve_up_to = 12;  ///< In a fleet of up to this many gateways all of them serve.
  double max_utilization = 1.0;      ///< Maximum load of a serving gateway as a ratio of its stated capacity.
};

/// The serving set as seen by one gateway. Not thread-safe.
class ServingSet {
public:
  /// @param own member name of this gateway.
  ServingSet(std::string own, const ServingOptions& options);

  /// Applies the list of live members, which includes this gateway, and recomputes the set.
  /// @return whether the set changed.
  bool onMembers(const std::vector<MemberRecord>& members, TimePoint now);
  /// Records the notice of a gateway, which may be this one.
  void onNotice(const std::string& sender, const ServingNotice& notice, TimePoint now);
  /// Marks this gateway as shutting down, which removes it from the set at the next refresh.
  void leave();

  /// Recomputes the set.
  /// @return whether the set changed.
  bool refresh(TimePoint now);

  /// @return whether the fleet is small enough for all gateways to serve.
  bool allServe() const { return all_serve_; }
  /// @return member names of the selected gateways, sorted.
  const std::vector<std::string>& serving() const { return serving_; }
  /// @return whether clients are directed to the gateway. Always true in a small fleet.
  bool serves(const std::string& name) const;
  /// @return serving gateways of the zone by descending capacity; those of all zones if the zone has none.
  std::vector<std::string> servingInZone(const std::string& zone) const;
  /// @return the traffic that the zone's set is sized for, in requests per second, overload factor included.
  double demandOf(const std::string& zone) const;

private:
  struct Gateway {
    MemberRecord record;
    std::uint64_t tiebreaker = 0;  ///< Orders gateways of equal capacity.
    std::optional<ServingNotice> notice;
    TimePoint notice_received_at{};
    TimePoint serving_since{};   ///< TimePoint{}: not in the set.
    bool timed_out = false;      ///< Sent no notice for too long while in the set.
    TimePoint slow_until{};      ///< Was overloaded while others of its zone were not.
    TimePoint excluded_until{};  ///< Was removed as not eligible; may not be selected before.
  };
  /// Traffic estimate of a zone.
  struct Demand {
    double requests_per_second = 0;  ///< Smoothed; decays slowly.
    TimePoint decayed_at{};
    double overload_factor = 1;  ///< Scales the estimate up while all serving gateways are overloaded.
    TimePoint overloaded_at{};
    TimePoint overload_factor_changed_at{};
  };
  using Candidates = std::vector<Gateway*>;
  bool isSelected(const std::string& name) const;

  bool hasCurrentNotice(const Gateway& gateway, TimePoint now) const;
  bool isEligible(const Gateway& gateway, TimePoint now) const;
  void detectTimeouts(TimePoint now);
  void updateDemand(Demand& demand, const Candidates& zone, TimePoint now) const;
  void detectSlowGateways(const Candidates& zone, TimePoint now) const;
  static double effectiveCapacity(const Gateway& gateway, TimePoint now);
  std::vector<std::string> selectInZone(const Candidates& zone, const Demand& demand, TimePoint now) const;

  std::string own_;
  std::string own_zone_;
  ServingOptions options_;
  std::map<std::string, Gateway> gateways_;
  std::map<std::string, Demand> demands_;                    ///< By zone.
  std::map<std::string, std::vector<std::string>> by_zone_;  ///< Selected gateways by descending capacity.
  std::vector<std::string> serving_;
  bool all_serve_ = true;
  bool leaving_ = false;
  TimePoint last_received_at_{};  ///< Last notice from any other gateway.
};

}  // namespace crankspur::gateway
