#include "gateway_control/zone_work.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

/// A digest counts for so long: a gateway with work tells it several times within.
constexpr Duration kLifetime = std::chrono::milliseconds(700);

}  // namespace

void ZoneWork::onDigest(const std::string& teller, const LoadDigest& digest, TimePoint now) {
  tellers_[teller] = {digest, now};
  std::erase_if(tellers_, [now](const auto& item) { return now - item.second.told_at > kLifetime; });
}

LoadDigest ZoneWork::total(const std::string& zone, std::uint32_t gateways, TimePoint now) const {
  std::map<std::uint64_t, EngineLoad> sums;
  for (const auto& [name, told] : tellers_) {
    if (now - told.told_at > kLifetime) continue;
    for (const EngineLoad& load : told.digest.loads) {
      EngineLoad& sum = sums[load.engine_incarnation];
      sum.engine_incarnation = load.engine_incarnation;
      sum.queued_tokens += load.queued_tokens;
      sum.running += load.running;
    }
  }
  LoadDigest total;
  total.zone = zone;
  total.gateways = gateways;
  for (auto& [incarnation, sum] : sums) total.loads.push_back(std::move(sum));
  return total;
}

std::vector<std::string> zoneWorkReceivers(const std::vector<MemberRecord>& members, const std::string& own) {
  std::map<std::string, std::vector<std::string>> zones;
  std::string own_zone;
  for (const MemberRecord& member : members) {
    const bool lives = member.state == MemberState::Alive && member.incarnation != 0;
    if (!lives && member.name != own) continue;
    zones[member.zone].push_back(member.name);
    if (member.name == own) own_zone = member.zone;
  }
  for (auto& [zone, names] : zones) std::sort(names.begin(), names.end());
  const std::vector<std::string>& mates = zones[own_zone];
  const auto rank =
      static_cast<std::size_t>(std::lower_bound(mates.begin(), mates.end(), own) - mates.begin());
  std::vector<std::string> receivers;
  for (const auto& [zone, names] : zones) {
    if (zone == own_zone) continue;
    for (std::size_t index = rank; index < names.size(); index += mates.size()) {
      receivers.push_back(names[index]);
    }
  }
  return receivers;
}

}  // namespace crankspur::gateway
