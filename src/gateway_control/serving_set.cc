#include "gateway_control/serving_set.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "gateway_control/serving_timings.h"

namespace crankspur::gateway {
namespace {

/// A gateway of the own zone that serves and has told nothing for so long is passed over: three notices and
/// the wait for the next look. Those of other zones are told less often.
constexpr Duration kOwnZoneSilence = kNoticeInterval * 3 + std::chrono::milliseconds(150);
constexpr Duration kOtherZoneSilence = kNoticeInterval * kNoticesPerWideNotice * 3;
/// A gateway that has just come into the set may not know it yet.
constexpr Duration kFirstNotice = std::chrono::seconds(2);
/// What a machine that falls behind alone is taken to carry, and for how long: machines turn slow by five
/// times and more, for seconds.
constexpr double kWeakShare = 1.0 / 8;
constexpr Duration kWeakTime = std::chrono::seconds(5);
/// The estimate of a zone's traffic rises within seconds and falls in such steps, so that a set that a burst
/// has widened is still there for the next one.
constexpr Duration kDemandStep = std::chrono::seconds(5);
constexpr double kDemandFall = 0.8;
/// Weight of one look at the traffic told, five a second: a moment's stampede does not widen the set.
constexpr double kDemandSmoothing = 0.2;
/// One that was taken out as unfit comes back no sooner, so that doubt about it does not make it come and go:
/// each change moves the following of caches.
constexpr Duration kAbsence = std::chrono::seconds(3);
/// While all serving gateways of a zone are in trouble, its traffic is taken to be so much heavier each
/// second; the factor falls as slowly as the estimate.
constexpr Duration kPressureStep = std::chrono::seconds(1);
constexpr double kPressureRise = 1.4;
constexpr double kMostPressure = 8;

}  // namespace

ServingSet::ServingSet(std::string own, const ServingOptions& options)
    : own_(std::move(own)), options_(options) {}

/// One whose notices come is there, whatever the others have concluded.
bool ServingSet::onMembers(const std::vector<MemberRecord>& members, TimePoint now) {
  std::map<std::string, Gateway> present;
  for (const MemberRecord& member : members) {
    const auto known = gateways_.find(member.name);
    Gateway gateway;
    if (known != gateways_.end()) gateway = std::move(known->second);
    const bool restarted = gateway.record.incarnation != member.incarnation;
    if (restarted && gateway.notice && gateway.notice->leaving) gateway.notice.reset();
    gateway.record = member;
    gateway.tie = hashBytes(member.name, hashBytes(member.zone));
    if (member.name == own_) own_zone_ = member.zone;
    present.emplace(member.name, std::move(gateway));
  }
  for (auto& [name, gateway] : gateways_) {
    if (!present.contains(name) && isFresh(gateway, now)) present.emplace(name, std::move(gateway));
  }
  gateways_ = std::move(present);
  return refresh(now);
}

void ServingSet::onNotice(const std::string& teller, const ServingNotice& notice, TimePoint now) {
  if (teller != own_) heard_at_ = now;
  const auto known = gateways_.find(teller);
  if (known == gateways_.end()) return;
  known->second.notice = notice;
  known->second.noticed_at = now;
  known->second.silent = false;
}

void ServingSet::leave() {
  leaving_ = true;
}

bool ServingSet::isFresh(const Gateway& gateway, TimePoint now) const {
  const bool own_zone = gateway.record.zone == own_zone_;
  return gateway.notice && now - gateway.noticed_at <= (own_zone ? kOwnZoneSilence : kOtherZoneSilence);
}

bool ServingSet::isFit(const Gateway& gateway, TimePoint now) const {
  if (gateway.record.name == own_) return !leaving_;
  if (now < gateway.absent_until) return false;
  const bool told_leaving = gateway.notice && gateway.notice->leaving;
  if (told_leaving || gateway.record.state == MemberState::Leaving) return false;
  // What it tells itself goes before what others suspect.
  if (isFresh(gateway, now)) return true;
  return gateway.record.state == MemberState::Alive && gateway.record.incarnation != 0 && !gateway.silent;
}

/// A gateway that hears nobody is itself cut off and concludes nothing.
void ServingSet::noteSilence(TimePoint now) {
  if (now - heard_at_ > kOwnZoneSilence) return;
  for (auto& [name, gateway] : gateways_) {
    if (name == own_ || gateway.serving_since == TimePoint{} || isFresh(gateway, now)) continue;
    const bool told_before = gateway.notice && gateway.noticed_at >= gateway.serving_since;
    if (told_before || now - gateway.serving_since > kFirstNotice) gateway.silent = true;
  }
}

void ServingSet::updateDemand(Demand& demand, const Candidates& zone, TimePoint now) const {
  double told = 0;
  std::size_t serving = 0;
  std::size_t pressed = 0;
  for (const Gateway* gateway : zone) {
    if (!isFresh(*gateway, now)) continue;
    told += gateway->notice->requests_per_second;
    if (gateway->serving_since == TimePoint{}) continue;
    ++serving;
    if (gateway->notice->pressed) ++pressed;
  }
  if (told >= demand.requests_per_second) {
    demand.requests_per_second += kDemandSmoothing * (told - demand.requests_per_second);
    demand.lowered_at = now;
  } else if (now - demand.lowered_at >= kDemandStep) {
    demand.requests_per_second = std::max(told, demand.requests_per_second * kDemandFall);
    demand.lowered_at = now;
  }
  if (serving > 0 && pressed == serving) {
    demand.pressed_at = now;
    if (now - demand.changed_at < kPressureStep) return;
    demand.pressure = std::min(demand.pressure * kPressureRise, kMostPressure);
    demand.changed_at = now;
  } else if (now - std::max(demand.pressed_at, demand.changed_at) >= kDemandStep) {
    demand.pressure = std::max(demand.pressure * kDemandFall, 1.0);
    demand.changed_at = now;
  }
}

/// One that falls behind while others of its zone do not is itself slow. It is remembered for a while, since
/// it no longer falls behind once its clients have gone.
void ServingSet::noteWeak(const Candidates& zone, TimePoint now) const {
  const bool any_keeps_up = std::any_of(zone.begin(), zone.end(), [&](const Gateway* gateway) {
    return isFresh(*gateway, now) && gateway->serving_since != TimePoint{} && !gateway->notice->pressed;
  });
  if (!any_keeps_up) return;
  for (Gateway* gateway : zone) {
    if (isFresh(*gateway, now) && gateway->notice->pressed) gateway->weak_until = now + kWeakTime;
  }
}

double ServingSet::strength(const Gateway& gateway, TimePoint now) {
  const double capacity = std::max(gateway.record.capacity, 1U);
  return now < gateway.weak_until ? capacity * kWeakShare : capacity;
}

/// Clients spread evenly over those that serve, so that the weakest of them bounds what all can carry. The
/// fewest that carry the traffic serve; if no number does, the one that comes nearest.
std::vector<std::string> ServingSet::chooseIn(const Candidates& zone, const Demand& demand,
                                              TimePoint now) const {
  struct Ranked {
    const Gateway* gateway;
    double strength;
  };
  std::vector<Ranked> ranked;
  for (const Gateway* gateway : zone) {
    if (isFit(*gateway, now)) ranked.push_back({gateway, strength(*gateway, now)});
  }
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& left, const Ranked& right) {
    if (left.strength != right.strength) return left.strength > right.strength;
    return left.gateway->tie < right.gateway->tie;
  });
  const double traffic = demand.requests_per_second * demand.pressure;
  std::size_t width = 0;
  double least_use = 0;
  for (std::size_t count = 1; count <= ranked.size(); ++count) {
    const double use = traffic / (static_cast<double>(count) * ranked[count - 1].strength);
    const bool too_few = count < std::min(options_.least_in_zone, ranked.size());
    if (too_few) continue;
    if (width == 0 || use < least_use) {
      width = count;
      least_use = use;
    }
    if (use <= options_.most_use) break;
  }
  std::vector<std::string> chosen;
  for (std::size_t index = 0; index < width; ++index) chosen.push_back(ranked[index].gateway->record.name);
  return chosen;
}

bool ServingSet::refresh(TimePoint now) {
  noteSilence(now);
  const std::vector<std::string> before = serving_;
  everyone_serves_ = gateways_.size() <= options_.everyone_up_to;
  std::map<std::string, Candidates> zones;
  for (auto& [name, gateway] : gateways_) zones[gateway.record.zone].push_back(&gateway);
  by_zone_.clear();
  serving_.clear();
  for (const auto& [zone, candidates] : zones) {
    Demand& demand = demands_[zone];
    updateDemand(demand, candidates, now);
    noteWeak(candidates, now);
    std::vector<std::string> chosen = chooseIn(candidates, demand, now);
    serving_.insert(serving_.end(), chosen.begin(), chosen.end());
    if (!chosen.empty()) by_zone_[zone] = std::move(chosen);
  }
  std::sort(serving_.begin(), serving_.end());
  for (auto& [name, gateway] : gateways_) {
    if (!isChosen(name)) {
      const bool unfit = gateway.serving_since != TimePoint{} && !isFit(gateway, now);
      if (unfit) gateway.absent_until = now + kAbsence;
      gateway.serving_since = TimePoint{};
    } else if (gateway.serving_since == TimePoint{}) {
      gateway.serving_since = now;
    }
  }
  return serving_ != before;
}

bool ServingSet::serves(const std::string& name) const {
  return everyone_serves_ || isChosen(name);
}

bool ServingSet::isChosen(const std::string& name) const {
  return std::binary_search(serving_.begin(), serving_.end(), name);
}

double ServingSet::demandOf(const std::string& zone) const {
  const auto found = demands_.find(zone);
  return found == demands_.end() ? 0 : found->second.requests_per_second * found->second.pressure;
}

std::vector<std::string> ServingSet::servingIn(const std::string& zone) const {
  const auto found = by_zone_.find(zone);
  return found == by_zone_.end() ? serving_ : found->second;
}

}  // namespace crankspur::gateway
