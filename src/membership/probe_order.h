#pragma once
/// @file Order in which members are probed: one shuffled round over the same zone and one over other zones.

#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "membership/member_table.h"

namespace crankspur {

/// Selects probe targets.
class ProbeOrder {
public:
  /// @param own_zone_share fraction of probes sent within the zone.
  ProbeOrder(std::string zone, double own_zone_share)
      : zone_(std::move(zone)), own_zone_share_(own_zone_share) {}

  /// @return the next live member to probe. Each member is selected once per round.
  std::optional<std::string> next(const MemberTable& table, RandomSource& random);
  /// @return up to `count` distinct Alive members other than `excluded`, in random order.
  static std::vector<std::string> sample(const MemberTable& table, const std::string& excluded,
                                         std::size_t count, RandomSource& random);
  /// @return a random Dead member.
  static std::optional<std::string> sampleDead(const MemberTable& table, RandomSource& random);

private:
  std::optional<std::string> nextInRound(std::vector<std::string>& round, bool in_zone,
                                         const MemberTable& table, RandomSource& random);
  void refill(std::vector<std::string>& round, bool in_zone, const MemberTable& table,
              RandomSource& random) const;

  std::string zone_;
  double own_zone_share_;
  std::vector<std::string> own_zone_round_;
  std::vector<std::string> other_zones_round_;
};

}  // namespace crankspur
