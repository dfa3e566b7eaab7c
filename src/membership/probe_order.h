#pragma once
/// @file Order in which members are probed: a shuffled round within the own zone and one outside it.

#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "membership/member_table.h"

namespace crankspur {

/// Chooses probe targets.
class ProbeOrder {
public:
  /// @param own_zone_share share of probes that stay in the zone.
  ProbeOrder(std::string zone, double own_zone_share) : zone_(std::move(zone)), share_(own_zone_share) {}

  /// @return the next live member to probe; each of a zone is met once before one is met again.
  std::optional<std::string> next(const MemberTable& table, RandomSource& random);
  /// @return up to `count` distinct live members in random order, `excluded` left out.
  static std::vector<std::string> draw(const MemberTable& table, const std::string& excluded,
                                       std::size_t count, RandomSource& random);
  /// @return a random dead member.
  static std::optional<std::string> drawDead(const MemberTable& table, RandomSource& random);

private:
  std::optional<std::string> nextOf(std::vector<std::string>& round, bool in_zone, const MemberTable& table,
                                    RandomSource& random);
  void refill(std::vector<std::string>& round, bool in_zone, const MemberTable& table,
              RandomSource& random) const;

  std::string zone_;
  double share_;
  std::vector<std::string> own_zone_round_;
  std::vector<std::string> other_zones_round_;
};

}  // namespace crankspur
