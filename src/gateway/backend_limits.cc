#include "gateway/backend_limits.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "base/hash.h"

namespace crankspur::gateway {
namespace {

/// A limit is reported for this long after the back end last named it to this gateway; gateways that still
/// receive responses of the back end go on to report it.
constexpr Duration kReportTime = std::chrono::seconds(10);
/// A back end that is listed again within this time is the same incarnation, with its limit.
constexpr Duration kUnlistedTime = std::chrono::seconds(60);
/// A gateway that has not reported for this long is not asked for permits. It spans several reports.
constexpr Duration kContactTime = std::chrono::milliseconds(1'200);
/// Time over which the rates are measured that tell how long a request has to wait for a permit.
constexpr Duration kRateTime = std::chrono::seconds(2);
constexpr double kMaxTimeToRoom = 10;

std::uint32_t toMilliseconds(Duration time) {
  return static_cast<std::uint32_t>(std::max(time, Duration(0)) / std::chrono::milliseconds(1));
}

TimePoint fromAge(std::uint32_t milliseconds, TimePoint now) {
  return now - std::chrono::milliseconds(milliseconds);
}

}  // namespace

BackendLimits::Limit::Limit(TimePoint now) : issuer(now), asked(kRateTime), admitted(kRateTime) {}

BackendLimits::Limit* BackendLimits::find(std::uint64_t incarnation) {
  const auto known = limits_.find(incarnation);
  return known == limits_.end() ? nullptr : &known->second;
}

const BackendLimits::Limit* BackendLimits::find(std::uint64_t incarnation) const {
  const auto known = limits_.find(incarnation);
  return known == limits_.end() ? nullptr : &known->second;
}

BackendLimits::Limit& BackendLimits::findOrAdd(std::uint64_t incarnation, TimePoint now) {
  return limits_.try_emplace(incarnation, now).first->second;
}

void BackendLimits::onSnapshot(const GatewaySnapshot& snapshot, const LimitObserver& on_change,
                               TimePoint now) {
  own_id_ = hashBytes(snapshot.own_name);
  gateways_ = snapshot.peer_count + 1;
  if (limits_.empty() && invalid_.empty()) return;
  absl::flat_hash_set<std::uint64_t> listed;
  for (const Backend& backend : snapshot.backends) listed.insert(backend.view.incarnation);
  absl::erase_if(invalid_, [&listed](const auto& item) { return !listed.contains(item.first); });
  for (auto& [incarnation, limit] : limits_) {
    const bool was_listed = std::exchange(limit.listed, listed.contains(incarnation));
    if (limit.listed == was_listed) continue;
    if (!limit.listed) limit.unlisted_at = now;
    const double named = limit.naming.perSecond();
    if (named == 0) continue;
    on_change(incarnation, limit.listed ? LimitChange{0, named} : LimitChange{named, 0});
  }
  std::erase_if(limits_, [now](const auto& item) {
    const Limit& limit = item.second;
    const bool ended = limit.naming.perSecond() == 0 && now - limit.naming.namedAt() > kReportTime;
    return ended || (!limit.listed && now - limit.unlisted_at > kUnlistedTime);
  });
}

std::optional<LimitChange> BackendLimits::onResponse(std::uint64_t incarnation, const LimitResponse& response,
                                                     TimePoint now) {
  if (!invalid_.empty()) invalid_.erase(incarnation);
  Limit* limit = response.per_second ? &findOrAdd(incarnation, now) : find(incarnation);
  if (limit == nullptr) return std::nullopt;
  const double previous = limit->naming.perSecond();
  if (response.per_second) {
    limit->naming.onNamed(*response.per_second, now, true);
  } else if (response.success) {
    limit->naming.onAbsent(response.sent_at, now);
  }
  return afterNaming(*limit, previous);
}

bool BackendLimits::onInvalidResponse(std::uint64_t incarnation, const std::string& text) {
  return std::exchange(invalid_[incarnation], text) != text;
}

std::optional<LimitChange> BackendLimits::afterNaming(Limit& limit, double previous) {
  if (limit.naming.hasEnded()) limit.naming.end();
  const double named = limit.naming.perSecond();
  if (named == previous) return std::nullopt;
  return LimitChange{previous, named};
}

void BackendLimits::onReport(const LoadDigest& digest, const LimitObserver& on_change, TimePoint now) {
  std::erase_if(heard_at_, [now](const auto& item) { return now - item.second > kContactTime; });
  heard_at_[hashBytes(digest.sender)] = now;
  applyReportedLimits(digest, on_change, now);
  applyPermitMessages(digest, now);
}

void BackendLimits::applyReportedLimits(const LoadDigest& digest, const LimitObserver& on_change,
                                        TimePoint now) {
  for (const BackendLimit& reported : digest.limits) {
    const bool ended = reported.milli_per_second == 0;
    if (ended && find(reported.backend) == nullptr) continue;
    Limit& limit = findOrAdd(reported.backend, now);
    const double previous = limit.naming.perSecond();
    limit.naming.onNamed(reported.milli_per_second / 1'000.0, fromAge(reported.age_milliseconds, now), false);
    if (const auto change = afterNaming(limit, previous)) on_change(reported.backend, *change);
  }
  for (const BackendLimitAbsence& reported : digest.limit_absences) {
    Limit* limit = find(reported.backend);
    if (limit == nullptr) continue;
    const double previous = limit->naming.perSecond();
    limit->naming.onReportedAbsence(
        {fromAge(reported.first_age_milliseconds, now), fromAge(reported.last_age_milliseconds, now)});
    if (const auto change = afterNaming(*limit, previous)) on_change(reported.backend, *change);
  }
}

void BackendLimits::applyPermitMessages(const LoadDigest& digest, TimePoint now) {
  const std::uint64_t sender = hashBytes(digest.sender);
  for (const PermitRequest& request : digest.permit_requests) {
    Limit* limit = find(request.backend);
    if (limit != nullptr && request.issuer == own_id_) limit->issuer.onRequest(sender, request, now);
  }
  for (const PermitGrant& grant : digest.permit_grants) {
    Limit* limit = find(grant.backend);
    if (limit != nullptr && grant.holder == own_id_ && limit->permits.issuer() == sender) {
      limit->permits.onGrant(grant, now);
    }
  }
}

/// Of the gateways that report, this one included, all gateways that hear the same ones select the same.
std::uint64_t BackendLimits::selectIssuer(std::uint64_t incarnation, TimePoint now) const {
  std::uint64_t selected = own_id_;
  for (const auto& [id, heard_at] : heard_at_) {
    if (now - heard_at > kContactTime) continue;
    if (combineHashes(id, incarnation) > combineHashes(selected, incarnation)) selected = id;
  }
  return selected;
}

void BackendLimits::updateIssuer(std::uint64_t incarnation, Limit& limit, TimePoint now) {
  limit.permits.setIssuer(selectIssuer(incarnation, now), now);
  limit.issuer.setLimit(limit.naming.effectivePerSecond(), gateways_);
}

/// This gateway takes its turn among those that request permits from it.
void BackendLimits::requestFromSelf(std::uint64_t incarnation, Limit& limit, TimePoint now) {
  if (limit.permits.issuer() != own_id_) return;
  const std::optional<PermitRequest> request = limit.permits.nextRequest(incarnation, now);
  if (request) limit.issuer.onRequest(own_id_, *request, now);
  limit.issuer.issue(now);
  if (const PermitGrant* grant = limit.issuer.unconfirmed(own_id_)) limit.permits.onGrant(*grant, now);
}

void BackendLimits::report(LoadDigest& digest, TimePoint now) {
  for (auto& [incarnation, limit] : limits_) {
    const LimitNaming& naming = limit.naming;
    if (naming.namedHere() && now - naming.namedAt() <= kReportTime) {
      // At least 1, since 0 reports that the limit has ended.
      const double least = naming.perSecond() > 0 ? 1.0 : 0.0;
      const auto milli = static_cast<std::uint32_t>(std::max(std::round(naming.perSecond() * 1'000), least));
      digest.limits.push_back({incarnation, milli, toMilliseconds(now - naming.namedAt())});
    }
    if (naming.perSecond() == 0) continue;
    const LimitAbsence& absence = naming.ownAbsence();
    if (absence.exists() && now - absence.last_at <= kReportTime) {
      digest.limit_absences.push_back(
          {incarnation, toMilliseconds(now - absence.first_at), toMilliseconds(now - absence.last_at)});
    }
    updateIssuer(incarnation, limit, now);
    requestFromSelf(incarnation, limit, now);
    if (limit.permits.issuer() != own_id_) {
      const std::optional<PermitRequest> request = limit.permits.nextRequest(incarnation, now);
      if (request) digest.permit_requests.push_back(*request);
    }
    limit.issuer.issue(now);
    for (const PermitGrant& grant : limit.issuer.unconfirmed()) {
      if (grant.holder != own_id_) digest.permit_grants.push_back(grant);
    }
  }
}

double BackendLimits::limitOf(std::uint64_t incarnation) const {
  const Limit* limit = find(incarnation);
  return limit == nullptr ? 0 : limit->naming.perSecond();
}

Duration BackendLimits::age(std::uint64_t incarnation, TimePoint now) const {
  const Limit* limit = find(incarnation);
  return limit == nullptr ? Duration(0) : now - limit->naming.namedAt();
}

bool BackendLimits::hasRoom(std::uint64_t incarnation, TimePoint now) {
  Limit* limit = find(incarnation);
  if (limit == nullptr || limit->naming.perSecond() == 0) return true;
  limit->asked.add(1, now);
  if (limit->permits.hasPermit(now)) return true;
  limit->permits.onWanted(now);
  updateIssuer(incarnation, *limit, now);
  requestFromSelf(incarnation, *limit, now);
  return limit->permits.hasPermit(now);
}

bool BackendLimits::admit(std::uint64_t incarnation, TimePoint now) {
  Limit* limit = find(incarnation);
  if (limit == nullptr || limit->naming.perSecond() == 0) return true;
  if (!limit->permits.use(now)) return false;
  limit->admitted.add(1, now);
  return true;
}

void BackendLimits::refund(std::uint64_t incarnation, TimePoint now) {
  Limit* limit = find(incarnation);
  if (limit != nullptr && limit->naming.perSecond() > 0) limit->permits.undo(now);
}

/// The time between two requests that this gateway may send, longer while each of them competes with others.
Duration BackendLimits::timeToRoom(std::uint64_t incarnation, TimePoint now) {
  Limit* limit = find(incarnation);
  if (limit == nullptr || limit->naming.perSecond() == 0) return Duration(0);
  const double per_second = limit->naming.perSecond();
  const double expected = std::max(limit->admitted.perSecond(now), per_second / gateways_);
  const double excess = std::max(limit->asked.perSecond(now) / expected, 1.0);
  const double seconds = std::min(excess / per_second, kMaxTimeToRoom);
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace crankspur::gateway
