#include "gateway/backend_limits.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace crankspur::gateway {
namespace {

/// Reports of use are whole numbers, too coarse for a few requests per second over many gateways.
constexpr double kUnitsPerRequest = 1'000;
/// Requests above the rate in a window: the limit may be used unevenly.
constexpr double kBurstRequests = 1;
constexpr QuotaTolerance kTolerance{std::chrono::seconds(4), 0, 0};
/// A limit is reported for this long after the back end last named it to this gateway; gateways that still
/// receive responses of the back end go on to report it.
constexpr Duration kReportTime = std::chrono::seconds(10);

std::string quotaName(std::uint64_t incarnation) {
  return "back end " + std::to_string(incarnation);
}

QuotaLimit quotaOf(double per_second) {
  QuotaLimit quota;
  quota.per_second = per_second * kUnitsPerRequest;
  quota.burst = per_second > 0 ? kBurstRequests * kUnitsPerRequest : 0;
  return quota;
}

std::uint32_t toMilliseconds(Duration time) {
  return static_cast<std::uint32_t>(time / std::chrono::milliseconds(1));
}

}  // namespace

BackendLimits::BackendLimits(RandomSource& random) : quotas_(kTolerance, random) {}

void BackendLimits::onSnapshot(const GatewaySnapshot& snapshot, const LimitObserver& on_change,
                               TimePoint now) {
  quotas_.setGateways(snapshot.peer_count + 1);
  if (limits_.empty() && invalid_.empty()) return;
  absl::flat_hash_set<std::uint64_t> listed;
  for (const Backend& backend : snapshot.backends) listed.insert(backend.view.incarnation);
  absl::erase_if(invalid_, [&listed](const auto& item) { return !listed.contains(item.first); });
  std::erase_if(limits_, [&](const auto& item) {
    const auto& [incarnation, limit] = item;
    const bool is_listed = listed.contains(incarnation);
    if (!is_listed && limit.per_second > 0) on_change(incarnation, {limit.per_second, 0});
    const bool expired = limit.per_second == 0 && now - limit.named_at > kReportTime;
    return expired || !is_listed;
  });
  for (const auto& [incarnation, limit] : limits_) {
    quotas_.setLimit(quotaName(incarnation), quotaOf(limit.per_second), now);
  }
  quotas_.removeUnlisted();
}

std::optional<LimitChange> BackendLimits::onResponse(std::uint64_t incarnation, std::optional<double> limit,
                                                     TimePoint sent_at, TimePoint now) {
  if (!invalid_.empty()) invalid_.erase(incarnation);
  if (limit) return set(incarnation, {*limit, now, true}, now);
  const auto known = limits_.find(incarnation);
  const bool ends =
      known != limits_.end() && known->second.per_second > 0 && sent_at > known->second.named_at;
  return ends ? set(incarnation, {0, now, true}, now) : std::nullopt;
}

bool BackendLimits::onInvalidResponse(std::uint64_t incarnation, const std::string& text) {
  return std::exchange(invalid_[incarnation], text) != text;
}

std::optional<LimitChange> BackendLimits::set(std::uint64_t incarnation, const Limit& limit, TimePoint now) {
  const double previous = std::exchange(limits_[incarnation], limit).per_second;
  if (limit.per_second == previous) return std::nullopt;
  quotas_.setLimit(quotaName(incarnation), quotaOf(limit.per_second), now);
  return LimitChange{previous, limit.per_second};
}

void BackendLimits::onReport(const LoadDigest& digest, const LimitObserver& on_change, TimePoint now) {
  for (const BackendLimit& reported : digest.limits) {
    const TimePoint named_at = now - std::chrono::milliseconds(reported.age_milliseconds);
    const auto known = limits_.find(reported.backend);
    const bool ended = reported.milli_per_second == 0;
    if (known == limits_.end() ? ended : named_at <= known->second.named_at) continue;
    const Limit limit{reported.milli_per_second / 1'000.0, named_at, false};
    if (const auto change = set(reported.backend, limit, now)) on_change(reported.backend, *change);
  }
  if (any()) quotas_.onReport(digest.sender, digest.tenants, now);
}

void BackendLimits::report(LoadDigest& digest, TimePoint now) {
  for (const auto& [incarnation, limit] : limits_) {
    const Duration age = now - limit.named_at;
    if (!limit.named_here || age > kReportTime) continue;
    // At least 1, since 0 reports that the limit has ended.
    const auto least = limit.per_second > 0 ? 1.0 : 0.0;
    const auto milli = static_cast<std::uint32_t>(std::max(std::round(limit.per_second * 1'000), least));
    digest.limits.push_back({incarnation, milli, toMilliseconds(age)});
  }
  if (!any()) return;
  for (const TenantUse& use : quotas_.report(now)) digest.tenants.push_back(use);
}

double BackendLimits::limitOf(std::uint64_t incarnation) const {
  const auto known = limits_.find(incarnation);
  return known == limits_.end() ? 0 : known->second.per_second;
}

Duration BackendLimits::age(std::uint64_t incarnation, TimePoint now) const {
  const auto known = limits_.find(incarnation);
  return known == limits_.end() ? Duration(0) : now - known->second.named_at;
}

bool BackendLimits::isExhausted(std::uint64_t incarnation, TimePoint now) {
  return limitOf(incarnation) > 0 && quotas_.isExhausted(quotaName(incarnation), now);
}

bool BackendLimits::admit(std::uint64_t incarnation, TimePoint now) {
  return limitOf(incarnation) == 0 || quotas_.admit(quotaName(incarnation), kUnitsPerRequest, now).admitted;
}

void BackendLimits::refund(std::uint64_t incarnation, TimePoint now) {
  if (limitOf(incarnation) > 0) quotas_.refund(quotaName(incarnation), kUnitsPerRequest, now);
}

Duration BackendLimits::timeToRoom(std::uint64_t incarnation, TimePoint now) {
  return limitOf(incarnation) > 0 ? quotas_.timeToRoom(quotaName(incarnation), now) : Duration(0);
}

}  // namespace crankspur::gateway
