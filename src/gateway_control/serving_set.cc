#include "gateway_control/serving_set.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "gateway_control/serving_timings.h"

namespace crankspur::gateway {
namespace {

/// A serving gateway of the own zone is excluded after this time without a notice: three notice intervals and
/// the wait for the next refresh. Other zones receive notices less often.
constexpr Duration kOwnZoneNoticeTimeout = kNoticeInterval * 3 + std::chrono::milliseconds(150);
constexpr Duration kOtherZoneNoticeTimeout = kNoticeInterval * kNoticesPerFleetNotice * 3;
/// Time allowed for the first notice: a newly selected gateway may not know yet that it serves.
constexpr Duration kFirstNoticeTimeout = std::chrono::seconds(2);
/// Share of its capacity that a gateway is rated at after it alone was overloaded, and for how long. Machines
/// can slow down by a factor of five or more for several seconds.
constexpr double kSlowCapacityFactor = 1.0 / 8;
constexpr Duration kSlowDuration = std::chrono::seconds(5);
/// The traffic estimate of a zone rises within seconds and decays by this factor per interval, so that a set
/// that grew for a burst is still large at the next one.
constexpr Duration kDemandDecayInterval = std::chrono::seconds(5);
constexpr double kDemandDecayFactor = 0.8;
/// Weight of one sample of the reported traffic, five samples per second. A momentary spike does not enlarge
/// the set.
constexpr double kDemandSmoothing = 0.2;
/// Minimum time that a gateway removed as not eligible stays out of the set. Prevents flapping while its
/// state is uncertain; each change of the set reassigns the followed caches.
constexpr Duration kExclusionTime = std::chrono::seconds(3);
/// While all serving gateways of a zone are overloaded, its traffic estimate is scaled up by this factor
/// every second; the scale decays as slowly as the estimate.
constexpr Duration kOverloadStep = std::chrono::seconds(1);
constexpr double kOverloadGrowth = 1.4;
constexpr double kMaxOverloadFactor = 8;

}  // namespace

ServingSet::ServingSet(std::string own, const ServingOptions& options)
    : own_(std::move(own)), options_(options) {}

/// A gateway that still sends notices is kept even if membership does not list it.
bool ServingSet::onMembers(const std::vector<MemberRecord>& members, TimePoint now) {
  std::map<std::string, Gateway> present;
  for (const MemberRecord& member : members) {
    const auto known = gateways_.find(member.name);
    Gateway gateway;
    if (known != gateways_.end()) gateway = std::move(known->second);
    const bool restarted = gateway.record.incarnation != member.incarnation;
    if (restarted && gateway.notice && gateway.notice->leaving) gateway.notice.reset();
    gateway.record = member;
    gateway.tiebreaker = hashBytes(member.name, hashBytes(member.zone));
    if (member.name == own_) own_zone_ = member.zone;
    present.emplace(member.name, std::move(gateway));
  }
  for (auto& [name, gateway] : gateways_) {
    if (!present.contains(name) && hasCurrentNotice(gateway, now)) present.emplace(name, std::move(gateway));
  }
  gateways_ = std::move(present);
  return refresh(now);
}

void ServingSet::onNotice(const std::string& sender, const ServingNotice& notice, TimePoint now) {
  if (sender != own_) last_received_at_ = now;
  const auto known = gateways_.find(sender);
  if (known == gateways_.end()) return;
  known->second.notice = notice;
  known->second.notice_received_at = now;
  known->second.timed_out = false;
}

void ServingSet::leave() {
  leaving_ = true;
}

bool ServingSet::hasCurrentNotice(const Gateway& gateway, TimePoint now) const {
  const bool own_zone = gateway.record.zone == own_zone_;
  return gateway.notice &&
         now - gateway.notice_received_at <= (own_zone ? kOwnZoneNoticeTimeout : kOtherZoneNoticeTimeout);
}

bool ServingSet::isEligible(const Gateway& gateway, TimePoint now) const {
  if (gateway.record.name == own_) return !leaving_;
  if (now < gateway.excluded_until) return false;
  const bool announced_leaving = gateway.notice && gateway.notice->leaving;
  if (announced_leaving || gateway.record.state == MemberState::Leaving) return false;
  // Its own notice takes precedence over the suspicion of others.
  if (hasCurrentNotice(gateway, now)) return true;
  return gateway.record.state == MemberState::Alive && gateway.record.incarnation != 0 && !gateway.timed_out;
}

/// If no other gateway sends notices, this gateway is itself disconnected and no timeout is recorded.
void ServingSet::detectTimeouts(TimePoint now) {
  if (now - last_received_at_ > kOwnZoneNoticeTimeout) return;
  for (auto& [name, gateway] : gateways_) {
    if (name == own_ || gateway.serving_since == TimePoint{} || hasCurrentNotice(gateway, now)) continue;
    const bool notice_since_selected = gateway.notice && gateway.notice_received_at >= gateway.serving_since;
    if (notice_since_selected || now - gateway.serving_since > kFirstNoticeTimeout) gateway.timed_out = true;
  }
}

void ServingSet::updateDemand(Demand& demand, const Candidates& zone, TimePoint now) const {
  double reported = 0;
  std::size_t serving = 0;
  std::size_t overloaded = 0;
  for (const Gateway* gateway : zone) {
    if (!hasCurrentNotice(*gateway, now)) continue;
    reported += gateway->notice->requests_per_second;
    if (gateway->serving_since == TimePoint{}) continue;
    ++serving;
    if (gateway->notice->pressed) ++overloaded;
  }
  if (reported >= demand.requests_per_second) {
    demand.requests_per_second += kDemandSmoothing * (reported - demand.requests_per_second);
    demand.decayed_at = now;
  } else if (now - demand.decayed_at >= kDemandDecayInterval) {
    demand.requests_per_second = std::max(reported, demand.requests_per_second * kDemandDecayFactor);
    demand.decayed_at = now;
  }
  if (serving > 0 && overloaded == serving) {
    demand.overloaded_at = now;
    if (now - demand.overload_factor_changed_at < kOverloadStep) return;
    demand.overload_factor = std::min(demand.overload_factor * kOverloadGrowth, kMaxOverloadFactor);
    demand.overload_factor_changed_at = now;
  } else if (now - std::max(demand.overloaded_at, demand.overload_factor_changed_at) >=
             kDemandDecayInterval) {
    demand.overload_factor = std::max(demand.overload_factor * kDemandDecayFactor, 1.0);
    demand.overload_factor_changed_at = now;
  }
}

/// A gateway that is overloaded while others of its zone are not is itself slow. It stays marked for a while,
/// because it is not overloaded any more once its clients have left.
void ServingSet::detectSlowGateways(const Candidates& zone, TimePoint now) const {
  const bool any_keeps_up = std::any_of(zone.begin(), zone.end(), [&](const Gateway* gateway) {
    return hasCurrentNotice(*gateway, now) && gateway->serving_since != TimePoint{} &&
           !gateway->notice->pressed;
  });
  if (!any_keeps_up) return;
  for (Gateway* gateway : zone) {
    if (hasCurrentNotice(*gateway, now) && gateway->notice->pressed)
      gateway->slow_until = now + kSlowDuration;
  }
}

double ServingSet::effectiveCapacity(const Gateway& gateway, TimePoint now) {
  const double capacity = std::max(gateway.record.capacity, 1U);
  return now < gateway.slow_until ? capacity * kSlowCapacityFactor : capacity;
}

/// Clients spread evenly over the selected gateways, so the one with the lowest capacity limits the total.
/// Selects the smallest number of gateways that can handle the traffic, or the number with the lowest
/// utilization if none can.
std::vector<std::string> ServingSet::selectInZone(const Candidates& zone, const Demand& demand,
                                                  TimePoint now) const {
  struct Ranked {
    const Gateway* gateway;
    double capacity;
  };
  std::vector<Ranked> ranked;
  for (const Gateway* gateway : zone) {
    if (isEligible(*gateway, now)) ranked.push_back({gateway, effectiveCapacity(*gateway, now)});
  }
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& left, const Ranked& right) {
    if (left.capacity != right.capacity) return left.capacity > right.capacity;
    return left.gateway->tiebreaker < right.gateway->tiebreaker;
  });
  const double traffic = demand.requests_per_second * demand.overload_factor;
  std::size_t selected_count = 0;
  double min_utilization = 0;
  for (std::size_t count = 1; count <= ranked.size(); ++count) {
    const double utilization = traffic / (static_cast<double>(count) * ranked[count - 1].capacity);
    const bool too_few = count < std::min(options_.min_per_zone, ranked.size());
    if (too_few) continue;
    if (selected_count == 0 || utilization < min_utilization) {
      selected_count = count;
      min_utilization = utilization;
    }
    if (utilization <= options_.max_utilization) break;
  }
  std::vector<std::string> selected;
  for (std::size_t index = 0; index < selected_count; ++index)
    selected.push_back(ranked[index].gateway->record.name);
  return selected;
}

bool ServingSet::refresh(TimePoint now) {
  detectTimeouts(now);
  const std::vector<std::string> before = serving_;
  all_serve_ = gateways_.size() <= options_.all_serve_up_to;
  std::map<std::string, Candidates> zones;
  for (auto& [name, gateway] : gateways_) zones[gateway.record.zone].push_back(&gateway);
  by_zone_.clear();
  serving_.clear();
  for (const auto& [zone, candidates] : zones) {
    Demand& demand = demands_[zone];
    updateDemand(demand, candidates, now);
    detectSlowGateways(candidates, now);
    std::vector<std::string> selected = selectInZone(candidates, demand, now);
    serving_.insert(serving_.end(), selected.begin(), selected.end());
    if (!selected.empty()) by_zone_[zone] = std::move(selected);
  }
  std::sort(serving_.begin(), serving_.end());
  for (auto& [name, gateway] : gateways_) {
    if (!isSelected(name)) {
      const bool became_ineligible = gateway.serving_since != TimePoint{} && !isEligible(gateway, now);
      if (became_ineligible) gateway.excluded_until = now + kExclusionTime;
      gateway.serving_since = TimePoint{};
    } else if (gateway.serving_since == TimePoint{}) {
      gateway.serving_since = now;
    }
  }
  return serving_ != before;
}

bool ServingSet::serves(const std::string& name) const {
  return all_serve_ || isSelected(name);
}

bool ServingSet::isSelected(const std::string& name) const {
  return std::binary_search(serving_.begin(), serving_.end(), name);
}

double ServingSet::demandOf(const std::string& zone) const {
  const auto found = demands_.find(zone);
  return found == demands_.end() ? 0 : found->second.requests_per_second * found->second.overload_factor;
}

std::vector<std::string> ServingSet::servingInZone(const std::string& zone) const {
  const auto found = by_zone_.find(zone);
  return found == by_zone_.end() ? serving_ : found->second;
}

}  // namespace crankspur::gateway
