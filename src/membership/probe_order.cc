#include "membership/probe_order.h"

#include <algorithm>

namespace crankspur {

namespace {

void shuffle(std::vector<std::string>& names, RandomSource& random) {
  for (std::size_t index = names.size(); index > 1; --index) {
    std::swap(names[index - 1], names[random.uniform(0, index - 1)]);
  }
}

bool isLive(const Member& member) {
  return member.record.state != MemberState::Dead;
}

}  // namespace

std::optional<std::string> ProbeOrder::next(const MemberTable& table, RandomSource& random) {
  const bool in_zone = random.chance(own_zone_share_);
  std::vector<std::string>& first = in_zone ? own_zone_round_ : other_zones_round_;
  std::vector<std::string>& second = in_zone ? other_zones_round_ : own_zone_round_;
  if (auto name = nextInRound(first, in_zone, table, random)) return name;
  return nextInRound(second, !in_zone, table, random);
}

std::optional<std::string> ProbeOrder::nextInRound(std::vector<std::string>& round, bool in_zone,
                                                   const MemberTable& table, RandomSource& random) {
  for (int pass = 0; pass < 2; ++pass) {
    while (!round.empty()) {
      std::string name = std::move(round.back());
      round.pop_back();
      const Member* member = table.find(name);
      if (member != nullptr && isLive(*member)) return name;
    }
    refill(round, in_zone, table, random);
  }
  return std::nullopt;
}

void ProbeOrder::refill(std::vector<std::string>& round, bool in_zone, const MemberTable& table,
                        RandomSource& random) const {
  for (const auto& [name, member] : table.members()) {
    if (isLive(member) && (member.record.zone == zone_) == in_zone) round.push_back(name);
  }
  shuffle(round, random);
}

std::vector<std::string> ProbeOrder::sample(const MemberTable& table, const std::string& excluded,
                                            std::size_t count, RandomSource& random) {
  std::vector<std::string> names;
  for (const auto& [name, member] : table.members()) {
    if (member.record.state == MemberState::Alive && name != excluded) names.push_back(name);
  }
  shuffle(names, random);
  names.resize(std::min(count, names.size()));
  return names;
}

std::optional<std::string> ProbeOrder::sampleDead(const MemberTable& table, RandomSource& random) {
  std::vector<std::string> names;
  for (const auto& [name, member] : table.members()) {
    if (!isLive(member)) names.push_back(name);
  }
  if (names.empty()) return std::nullopt;
  return names[random.uniform(0, names.size() - 1)];
}

}  // namespace crankspur
