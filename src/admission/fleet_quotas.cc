#include "admission/fleet_quotas.h"

#include <algorithm>
#include <cmath>

#include "admission/reported_use_quota.h"
#include "base/hash.h"

namespace crankspur {
namespace {

/// Part of the tolerance that is added to the limits: estimates that are slightly too high would otherwise
/// reject requests below the limit. The rest is for reports that are lost or late.
constexpr double kUsedTolerance = 0.4;
/// A tenant's use is reported for this long after its last request.
constexpr Duration kReportTime = std::chrono::seconds(2);
/// A gateway that had clients and has not reported for this long is cut off, or has stopped.
constexpr Duration kSilentAfter = std::chrono::milliseconds(1'500);
/// How long a part of the quota is reserved for such a gateway. If it is cut off, its clients may stay this
/// long; if it has stopped, they have moved long before.
constexpr Duration kReserveTime = std::chrono::seconds(15);
constexpr Duration kCountInterval = std::chrono::milliseconds(100);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(200);

std::uint32_t toUnits(double value) {
  return static_cast<std::uint32_t>(std::clamp<double>(std::round(value), 0, UINT32_MAX));
}

}  // namespace

FleetQuotas::FleetQuotas(const QuotaTolerance& tolerance, RandomSource& random)
    : tolerance_(tolerance), random_(random) {}

void FleetQuotas::setLimit(std::string_view tenant, const QuotaLimit& limit, TimePoint now) {
  const std::uint64_t id = hashBytes(tenant);
  const auto found = tenants_.find(id);
  if (!limit.isLimited() && found == tenants_.end()) return;
  Tenant& known = found == tenants_.end() ? tenants_[id] : found->second;
  if (known.quota == nullptr) known.quota = std::make_unique<ReportedUseQuota>(random_, now);
  known.listed = true;
  QuotaLimit tolerated = limit;
  tolerated.window = tolerance_.window;
  if (limit.isLimited()) {
    tolerated.per_second *= 1 + tolerance_.overshoot * kUsedTolerance;
    tolerated.burst *= 1 + tolerance_.overshoot * kUsedTolerance;
    tolerated.burst += tolerance_.slack * kUsedTolerance;
  }
  known.quota->setLimit(tolerated, now);
}

void FleetQuotas::removeUnlisted() {
  absl::erase_if(tenants_, [](auto& item) { return !std::exchange(item.second.listed, false); });
}

/// @return what is known of the other gateways; counted at intervals, since it is asked for each request.
QuotaPeers FleetQuotas::peers(TimePoint now) {
  if (now < counted_at_ + kCountInterval && counted_at_ != TimePoint{}) return peers_;
  counted_at_ = now;
  absl::erase_if(reporters_,
                 [now](const auto& item) { return now - item.second.reported_at > kReserveTime; });
  double reporting = 1;
  double silent = 0;
  for (const auto& [peer, reporter] : reporters_) {
    if (!reporter.has_use) continue;
    (now - reporter.reported_at > kSilentAfter ? silent : reporting) += 1;
  }
  peers_ = {gateways_, reporting / (reporting + silent)};
  return peers_;
}

QuotaDecision FleetQuotas::admit(std::string_view tenant, double units, TimePoint now) {
  const auto found = tenants_.find(hashBytes(tenant));
  if (found == tenants_.end()) return {};
  Tenant& known = found->second;
  known.asked_at = now;
  if (known.quota->admit(units, peers(now), now)) return {};
  // Spread, so that requests that were rejected together do not return together.
  const double spread = 0.5 + random_.unit();
  const Duration room = std::max(known.quota->timeToRoom(now), kMinRetryAfter);
  return {false, Duration(static_cast<std::int64_t>(static_cast<double>(room.count()) * spread)),
          known.quota->state(now)};
}

bool FleetQuotas::isExhausted(std::string_view tenant, TimePoint now) {
  const auto found = tenants_.find(hashBytes(tenant));
  if (found == tenants_.end()) return false;
  const QuotaState state = found->second.quota->state(now);
  return state.limit.isLimited() && state.left <= 0;
}

void FleetQuotas::refund(std::string_view tenant, double units, TimePoint now) {
  const auto found = tenants_.find(hashBytes(tenant));
  if (found != tenants_.end()) found->second.quota->refund(units, now);
}

Duration FleetQuotas::timeToRoom(std::string_view tenant, TimePoint now) {
  const auto found = tenants_.find(hashBytes(tenant));
  return found == tenants_.end() ? Duration(0) : found->second.quota->timeToRoom(now);
}

void FleetQuotas::onReport(std::string_view peer, const std::vector<TenantUse>& uses, TimePoint now) {
  const std::uint64_t id = hashBytes(peer);
  reporters_[id] = {now, !uses.empty()};
  for (const TenantUse& use : uses) {
    const auto found = tenants_.find(use.tenant);
    if (found == tenants_.end()) continue;
    found->second.quota->onPeerUse(
        id, {use.admitted, double(use.admitted_per_second), double(use.asked_per_second)}, now);
  }
}

std::vector<TenantUse> FleetQuotas::report(TimePoint now) {
  std::vector<TenantUse> uses;
  for (auto& [id, tenant] : tenants_) {
    if (tenant.asked_at == TimePoint{} || now - tenant.asked_at > kReportTime) continue;
    const QuotaUse use = tenant.quota->ownUse(now);
    uses.push_back({id, use.admitted, toUnits(use.admitted_per_second), toUnits(use.asked_per_second)});
  }
  return uses;
}

}  // namespace crankspur
