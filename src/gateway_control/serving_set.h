#pragma once
/// @file Which gateways clients are sent to. In a large fleet a few strong gateways of each zone serve:
/// requests that are placed by few gateways are placed by what those know of each other, and what a gateway
/// needs to know of engines and caches is told to few. The others stand by: they take whatever comes.
///
/// Every gateway works the set out for itself, from membership and from the notices of those that serve.
/// Views differ for a while after a change; that only sends clients to a gateway more. Pure decision code.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "internal_protocol/messages.h"

namespace crankspur::gateway {

/// How many gateways serve.
struct ServingOptions {
  std::size_t min_per_zone = 2;      ///< One may fail without the zone's clients going elsewhere.
  std::size_t all_serve_up_to = 12;  ///< In a fleet of at most so many gateways all serve.
  double max_utilization = 1.0;      ///< Share of its stated capacity that a serving gateway uses at most.
};

/// The set as one gateway sees it. Not thread-safe.
class ServingSet {
public:
  /// @param own member name of this gateway.
  ServingSet(std::string own, const ServingOptions& options);

  /// Takes the live members, this one included, and works the set out anew.
  /// @return whether it differs from the one before.
  bool onMembers(const std::vector<MemberRecord>& members, TimePoint now);
  /// Takes the notice of a gateway, this one included.
  void onNotice(const std::string& sender, const ServingNotice& notice, TimePoint now);
  /// This gateway stops as planned.
  void leave();

  /// Works the set out anew.
  /// @return whether it differs from the one before.
  bool refresh(TimePoint now);

  /// @return whether the fleet is so small that all gateways serve.
  bool allServe() const { return all_serve_; }
  /// @return names of those that serve, sorted.
  const std::vector<std::string>& serving() const { return serving_; }
  /// @return whether clients are sent to the gateway: in a small fleet to each.
  bool serves(const std::string& name) const;
  /// @return those of the zone, the strongest first; of all zones if the zone has none.
  std::vector<std::string> servingInZone(const std::string& zone) const;
  /// @return the zone's traffic that the set was made for, requests a second, overload_factor included.
  double demandOf(const std::string& zone) const;

private:
  /// One gateway.
  struct Gateway {
    MemberRecord record;
    std::uint64_t tiebreaker = 0;  ///< Orders gateways of equal effectiveCapacity.
    std::optional<ServingNotice> notice;
    TimePoint notice_received_at{};
    TimePoint serving_since{};   ///< TimePoint{}: it is not in the set.
    bool silent = false;         ///< Was in the set and told nothing for too long.
    TimePoint slow_until{};      ///< Fell behind while others of its zone did not.
    TimePoint excluded_until{};  ///< Was taken out as unfit, and comes back no sooner.
  };
  /// What is remembered of a zone's traffic.
  struct Demand {
    double requests_per_second = 0;  ///< Smoothed, and falling slowly.
    TimePoint decayed_at{};
    double overload_factor = 1;  ///< Factor by which gateways in trouble say that the figures are too low.
    TimePoint overloaded_at{};
    TimePoint overload_factor_changed_at{};  ///< When `overload_factor` changed last.
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
  std::map<std::string, std::vector<std::string>> by_zone_;  ///< Those that serve, the strongest first.
  std::vector<std::string> serving_;
  bool all_serve_ = true;
  bool leaving_ = false;
  TimePoint last_received_at_{};  ///< When any other gateway told something.
};

}  // namespace crankspur::gateway
